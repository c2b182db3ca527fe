// Parsing of caller requests and formatting of responses.
#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <xxhash.h>

#include "siskindrift/config/catalog.h"
#include "siskindrift/config/schema.h"
#include "siskindrift/core/idempotency_key.h"
#include "siskindrift/requests/request.h"

namespace siskindrift::requests {
namespace {

namespace json = boost::json;
using core::reason;
using core::verdict;

constexpr std::string_view completions_target = "/v1/completions";
constexpr std::string_view chat_target = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::uint32_t default_max_tokens = 128;
constexpr std::uint32_t max_tokens_limit = 65'536;
constexpr std::size_t max_key_length = 128;

std::nullopt_t refuse(refusal& why, std::uint16_t status, reason code, std::string message)
{
    why = {status, {verdict::not_run, code}, std::move(message)};
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

bool read_headers(const raw_request& raw, caller_request& request, refusal& why)
{
    if (!raw.idempotent.empty()) {
        if (raw.idempotent != "true" && raw.idempotent != "false") {
            refuse(why, 400, reason::bad_request, "Siskindrift-Idempotent must be true or false");
            return false;
        }
        request.idempotent = raw.idempotent == "true";
        request.idempotent_specified = true;
    }
    if (!raw.deadline_ms.empty()) {
        constexpr std::uint64_t max_deadline_ms = 3'600'000;
        const auto deadline = parse_number(raw.deadline_ms);
        if (!deadline || *deadline == 0 || *deadline > max_deadline_ms) {
            refuse(why, 400, reason::bad_request,
                   "Siskindrift-Deadline-Ms must be a whole number from 1 to 3600000");
            return false;
        }
        request.deadline = core::milliseconds{*deadline};
    }
    if (!raw.priority.empty()) {
        const auto priority = parse_number(raw.priority);
        if (!priority || *priority > 9) {
            refuse(why, 400, reason::bad_request, "Siskindrift-Priority must be from 0 to 9");
            return false;
        }
        request.priority = static_cast<std::uint8_t>(*priority);
    }
    if (raw.idempotency_key.size() > max_key_length) {
        refuse(why, 400, reason::key_malformed, "Idempotency-Key is longer than 128 characters");
        return false;
    }
    request.key = raw.idempotency_key;
    return true;
}

bool has_input(const json::object& body, route kind)
{
    if (kind == route::completions) {
        const auto* prompt = body.if_contains("prompt");
        return prompt != nullptr && prompt->is_string();
    }
    const auto* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
        return false;
    }
    return std::all_of(
        messages->as_array().begin(), messages->as_array().end(), [](const auto& message) {
            const auto* object = message.if_object();
            const auto* content = object == nullptr ? nullptr : object->if_contains("content");
            return content != nullptr && content->is_string();
        });
}

std::optional<caller_request> map_model(const raw_request& raw, caller_request request,
                                        refusal& why)
{
    core::error_message error_text;
    auto document = config::parse_json(raw.body, error_text);
    if (!document || !document->is_object()) {
        return refuse(why, 400, reason::bad_request,
                      document ? "the body must be a JSON object" : error_text.text());
    }
    auto& body = document->as_object();
    const auto* model = body.if_contains("model");
    if (model == nullptr || !model->is_string() || !config::split_model(model->as_string())) {
        return refuse(why, 400, reason::bad_request, "model must be a text \"adapter@version\"");
    }
    request.adapter = core::adapter_version{std::string{model->as_string()}};
    if (!has_input(body, request.kind)) {
        return refuse(why, 400, reason::bad_request,
                      request.kind == route::chat
                          ? "messages must be a list of objects with a text content"
                          : "prompt must be a text");
    }
    if (const auto* stream = body.if_contains("stream")) {
        if (!stream->is_bool()) {
            return refuse(why, 400, reason::bad_request, "stream must be true or false");
        }
        request.stream = stream->as_bool();
    }
    request.max_tokens = default_max_tokens;
    if (const auto* tokens = body.if_contains("max_tokens")) {
        boost::system::error_code error;
        const auto number = tokens->to_number<std::int64_t>(error);
        if (error || number < 1 || number > max_tokens_limit) {
            return refuse(why, 400, reason::bad_request, "max_tokens must be from 1 to 65536");
        }
        request.max_tokens = static_cast<std::uint32_t>(number);
    }
    body["max_tokens"] = request.max_tokens;
    body["stream"] = true; // always streamed, so that stalls of the upstream are detected
    request.path = raw.target;
    request.body = json::serialize(body);
    return request;
}

std::optional<caller_request> map_service(const raw_request& raw, caller_request request,
                                          refusal& why)
{
    const auto rest = std::string_view{raw.target}.substr(services_prefix.size());
    const auto slash = rest.find('/');
    const auto name = rest.substr(0, slash);
    if (name.empty() || slash == std::string_view::npos) {
        return refuse(why, 404, reason::unknown_route,
                      "a service is called as /v1/services/{service}/{path}");
    }
    request.kind = route::service;
    request.service = name;
    request.path = rest.substr(slash);
    request.body = raw.body;
    request.content_type = raw.content_type.empty() ? "application/json" : raw.content_type;
    return request;
}

json::object chunk_base(const caller_request& request, const char* object)
{
    return {{"id", request.id.value()}, {"object", object}, {"model", request.adapter.value()}};
}

} // namespace

std::optional<caller_request> parse_request(const raw_request& raw, refusal& why)
{
    caller_request request;
    if (!read_headers(raw, request, why)) {
        return std::nullopt;
    }
    request.body_hash = XXH3_64bits(raw.body.data(), raw.body.size()) ^
                        XXH3_64bits(raw.target.data(), raw.target.size());
    if (raw.target.starts_with(services_prefix)) {
        return map_service(raw, std::move(request), why);
    }
    if (raw.target == completions_target || raw.target == chat_target) {
        request.kind = raw.target == chat_target ? route::chat : route::completions;
        return map_model(raw, std::move(request), why);
    }
    return refuse(why, 404, reason::unknown_route, "no such path");
}

std::uint16_t http_status_of(core::outcome result)
{
    switch (result.reason) {
    case reason::bad_request:
    case reason::key_required:
    case reason::key_malformed:
    case reason::key_in_future:
        return 400;
    case reason::unauthorized:
        return 401;
    case reason::forbidden:
        return 403;
    case reason::unknown_route:
    case reason::unknown_model:
    case reason::unknown_service:
        return 404;
    case reason::key_reused_with_other_body:
    case reason::key_expired:
    case reason::claim_held:
        return 409;
    case reason::body_too_large:
        return 413;
    case reason::team_rate_limit:
    case reason::team_concurrency_limit:
    case reason::team_queue_limit:
        return 429;
    default:
        break;
    }
    if (result.verdict == verdict::not_run) {
        return 503;
    }
    return result.reason == reason::deadline_passed || result.reason == reason::upstream_silent
               ? 504
               : 502;
}

std::string error_body(core::outcome result, std::string_view message, std::string_view request_id)
{
    const auto status = http_status_of(result);
    const char* type = status < 500 ? "invalid_request_error" : "server_error";
    return json::serialize(json::value{{"error",
                                        {{"message", message},
                                         {"type", type},
                                         {"code", core::to_string(result.reason)},
                                         {"verdict", core::to_string(result.verdict)},
                                         {"reason", core::to_string(result.reason)},
                                         {"request_id", request_id}}}});
}

std::string stream_event(const caller_request& request, std::string_view text)
{
    json::object chunk;
    json::object choice{{"index", 0}, {"finish_reason", nullptr}};
    if (request.kind == route::chat) {
        chunk = chunk_base(request, "chat.completion.chunk");
        choice["delta"] = json::object{{"content", text}};
    }
    else {
        chunk = chunk_base(request, "text_completion");
        choice["text"] = text;
    }
    chunk["choices"] = json::array{std::move(choice)};
    return "data: " + json::serialize(chunk) + "\n\n";
}

std::string stream_end_events(const caller_request& request, const final_response& response)
{
    json::object end{{"request_id", request.id.value()},
                     {"verdict", core::to_string(response.outcome.verdict)},
                     {"reason", core::to_string(response.outcome.reason)},
                     {"adapter", request.adapter.value()}};
    auto text = "event: verdict\ndata: " + json::serialize(end) + "\n\n";
    if (response.outcome.verdict == verdict::ran) {
        text += "data: [DONE]\n\n";
    }
    return text;
}

std::string response_body(const caller_request& request, std::string_view text,
                          std::uint32_t tokens)
{
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    json::object response;
    if (request.kind == route::chat) {
        response = chunk_base(request, "chat.completion");
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    }
    else {
        response = chunk_base(request, "text_completion");
        choice["text"] = text;
    }
    response["choices"] = json::array{std::move(choice)};
    response["usage"] = json::object{{"completion_tokens", tokens}};
    return json::serialize(response);
}

std::optional<std::string> response_text(std::string_view body)
{
    boost::system::error_code error;
    const auto document = json::parse(body, error);
    if (error) {
        return std::nullopt;
    }
    const auto* text = document.find_pointer("/choices/0/text", error);
    if (text == nullptr) {
        text = document.find_pointer("/choices/0/message/content", error);
    }
    if (text == nullptr || !text->is_string()) {
        return std::nullopt;
    }
    return std::string{text->as_string()};
}

std::string resume_body(const std::string& body, bool chat, std::string_view delivered,
                        std::uint32_t tokens)
{
    auto document = json::parse(body).as_object();
    if (chat) {
        document["messages"].as_array().push_back({{"role", "assistant"}, {"content", delivered}});
        document["continue_final_message"] = true;
        document["add_generation_prompt"] = false;
    }
    else {
        document["prompt"] = std::string{document["prompt"].as_string()} + std::string{delivered};
    }
    const auto asked = document["max_tokens"].to_number<std::uint32_t>();
    document["max_tokens"] = asked - std::min(asked, tokens);
    return json::serialize(document);
}

std::optional<model_event> parse_model_event(std::string_view data)
{
    boost::system::error_code error;
    const auto document = json::parse(data, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    model_event event;
    const auto& object = document.as_object();
    if (const auto* model = object.if_contains("model"); model != nullptr && model->is_string()) {
        event.model = model->as_string();
    }
    const auto* choices = object.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->as_array().empty() ||
        !choices->as_array().front().is_object()) {
        return event;
    }
    const auto& choice = choices->as_array().front().as_object();
    if (const auto* text = choice.if_contains("text"); text != nullptr && text->is_string()) {
        event.text = text->as_string();
    }
    if (const auto* delta = choice.if_contains("delta"); delta != nullptr && delta->is_object()) {
        const auto* content = delta->as_object().if_contains("content");
        event.text = content != nullptr && content->is_string() ? content->as_string().c_str() : "";
    }
    const auto* finish = choice.if_contains("finish_reason");
    event.finished = finish != nullptr && finish->is_string();
    return event;
}

std::vector<std::string> sse_data_splitter::feed(std::string_view bytes)
{
    m_buffer += bytes;
    std::vector<std::string> events;
    std::size_t begin = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', begin)) {
        auto line = std::string_view{m_buffer}.substr(begin, end - begin);
        begin = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        constexpr std::string_view field = "data:";
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        events.emplace_back(line);
    }
    m_buffer.erase(0, begin);
    return events;
}

bool sse_data_splitter::exceeds_event_limit() const
{
    constexpr std::size_t max_event_bytes = 1024UL * 1024;
    return m_buffer.size() > max_event_bytes;
}

} // namespace siskindrift::requests
