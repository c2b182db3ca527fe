#include "load_run.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <iostream>

#include "siskindrift/core/idempotency_key.h"
#include "siskindrift/standins/token_model.h"

namespace siskindrift::apps {
namespace {

namespace json = boost::json;

constexpr std::uint64_t refresh_call_id_base = 1ULL << 62;
constexpr core::milliseconds refresh_interval{1000};
constexpr core::milliseconds resend_interval{300};
constexpr std::chrono::seconds response_wait_limit{
    40}; // after the end of the time in which requests are started

double ms_between(core::time_point from, core::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

json::object quantiles(const observe::latency_histogram& histogram)
{
    return {{"p50", histogram.quantile(0.50)},
            {"p95", histogram.quantile(0.95)},
            {"p99", histogram.quantile(0.99)}};
}

} // namespace

load_run::load_run(load_options options)
    : m_options(std::move(options)), m_random(m_options.seed), m_timer(m_context),
      m_refresh_timer(m_context), m_client(m_context, *this), m_endpoints(m_options.entries)
{
    if (!m_options.records_path.empty()) {
        m_records.open(m_options.records_path);
    }
    double sum = 0.0;
    for (std::uint32_t rank = 1; rank <= m_options.adapters; ++rank) {
        sum += 1.0 / std::pow(rank, m_options.zipf);
        m_cumulative_weights.push_back(sum);
    }
}

int load_run::run()
{
    m_run_started_at = m_clock.now();
    refresh_endpoints();
    schedule();
    const auto duration = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(m_options.seconds));
    m_context.run_for(duration);
    while (!m_open_requests.empty() &&
           m_clock.now() < m_run_started_at + duration + response_wait_limit) {
        m_context.run_for(core::milliseconds{20});
    }
    for (auto& [call, request] : m_open_requests) {
        record_result(request, false);
    }
    print_summary();
    return m_wrong_text + m_wrong_adapter == 0 ? 0 : 1;
}

void load_run::schedule()
{
    const double start_s = static_cast<double>(m_started_count) / m_options.rate;
    if (start_s >= m_options.seconds) {
        return;
    }
    m_timer.expires_at(m_run_started_at + std::chrono::duration_cast<core::duration>(
                                              std::chrono::duration<double>(start_s)));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            start_request();
            schedule();
        }
    });
}

std::uint32_t load_run::choose_adapter()
{
    const double threshold =
        std::uniform_real_distribution<double>{0.0, m_cumulative_weights.back()}(m_random);
    const auto found =
        std::lower_bound(m_cumulative_weights.begin(), m_cumulative_weights.end(), threshold);
    auto rank = static_cast<std::uint32_t>(found - m_cumulative_weights.begin());
    const bool popularity_shifted =
        m_options.shift_at > 0.0 &&
        ms_between(m_run_started_at, m_clock.now()) >= m_options.shift_at * 1000.0;
    constexpr std::uint32_t rank_shift = 997; // moves the popular ranks to rarely used adapters
    return popularity_shifted ? (rank + rank_shift) % m_options.adapters : rank;
}

void load_run::start_request()
{
    ++m_started_count;
    request_state request;
    request.number = m_started_count;
    request.started_at = m_clock.now();
    request.service =
        !m_options.service.empty() &&
        std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < m_options.service_share;
    request.idempotency_key = core::make_idempotency_key(m_clock.wall_ms(), m_random(), m_random());
    if (!request.service) {
        std::array<char, 32> name{};
        std::snprintf(name.data(), name.size(), "adapter-%05u@1", choose_adapter());
        request.adapter = name.data();
        request.prompt = "request " + std::to_string(m_started_count) + " of seed " +
                         std::to_string(m_options.seed);
    }
    request.endpoint_index = m_random() % std::max<std::size_t>(1, m_endpoints.size());
    (request.service ? m_service_requests : m_model_requests) += 1;
    const auto number = request.number;
    m_open_requests[number] = std::move(request);
    send(number);
}

void load_run::send(std::uint64_t number)
{
    const auto found = m_open_requests.find(number);
    if (found == m_open_requests.end()) {
        return;
    }
    auto& request = found->second;
    ++request.sends;
    request.status = 0;
    request.verdict.clear();
    request.body.clear();
    request.text.clear();
    request.done_received = false;
    request.events = {};
    http::client_call call;
    call.id = number;
    call.address = m_endpoints[request.endpoint_index % m_endpoints.size()];
    call.headers = {{"Authorization", "Bearer " + m_options.team_key},
                    {"Content-Type", "application/json"},
                    {"Siskindrift-Deadline-Ms", std::to_string(m_options.deadline_ms)}};
    if (request.service) {
        call.path = "/v1/services/" + m_options.service + "/submit";
        call.headers.emplace_back("Idempotency-Key", request.idempotency_key);
        call.headers.emplace_back("Siskindrift-Idempotent", "false");
        call.body = json::serialize(json::value{{"filing", request.number}});
    }
    else {
        call.path = "/v1/completions";
        call.repeatable = true;
        call.body = json::serialize(json::value{{"model", request.adapter},
                                                {"prompt", request.prompt},
                                                {"max_tokens", m_options.tokens},
                                                {"stream", true}});
    }
    call.connect_timeout = core::milliseconds{500};
    call.head_timeout = core::milliseconds{m_options.deadline_ms + 3000};
    call.progress_timeout = core::milliseconds{8000};
    m_client.start(std::move(call));
}

void load_run::on_head(std::uint64_t call, const http::client_head& head)
{
    const auto found = m_open_requests.find(call);
    if (found == m_open_requests.end()) {
        return;
    }
    auto& request = found->second;
    request.status = head.status;
    request.verdict = head.header("Siskindrift-Verdict");
    request.reason = head.header("Siskindrift-Reason");
    request.reported_adapter = head.header("Siskindrift-Adapter");
    request.request_id = head.header("Siskindrift-Request-Id");
}

void load_run::on_data(std::uint64_t call, const std::string& bytes)
{
    if (call == m_refresh_call) {
        m_refresh_body += bytes;
        return;
    }
    const auto found = m_open_requests.find(call);
    if (found == m_open_requests.end()) {
        return;
    }
    auto& request = found->second;
    request.body += bytes;
    if (request.service || request.status != 200) {
        return;
    }
    for (const auto& data : request.events.feed(bytes)) {
        handle_event(request, data);
    }
}

void load_run::handle_event(request_state& request, const std::string& data)
{
    if (data == "[DONE]") {
        request.done_received = true;
        return;
    }
    boost::system::error_code error;
    const auto event = json::parse(data, error);
    const auto* object = error ? nullptr : event.if_object();
    if (object == nullptr) {
        return;
    }
    if (const auto* verdict = object->if_contains("verdict")) {
        request.verdict = verdict->as_string();
        request.reason = object->at("reason").as_string();
        return;
    }
    if (const auto model = requests::parse_model_event(data)) {
        if (request.first_token_at == core::time_point{}) {
            request.first_token_at = m_clock.now();
        }
        request.text += model->text;
    }
}

void load_run::on_end(std::uint64_t call, const http::call_end& end)
{
    if (call == m_refresh_call) {
        if (end.result == http::call_result::complete) {
            update_endpoints(m_refresh_body);
        }
        else {
            ++m_refresh_entry_index;
        }
        return;
    }
    const auto found = m_open_requests.find(call);
    if (found == m_open_requests.end()) {
        return;
    }
    auto& request = found->second;
    if (end.result == http::call_result::not_sent) {
        // No byte was sent, so going on to the next endpoint doesn't count as a resend.
        ++request.endpoint_index;
        --request.sends;
        resend_later(call, core::milliseconds{20});
        return;
    }
    // A stream that failed carries its verdict and then ends without its last chunk; its status was
    // sent before it failed.
    const bool failed_stream = request.status == 200 && request.verdict != "ran";
    const bool complete_response =
        !request.verdict.empty() && (failed_stream || end.result == http::call_result::complete);
    const bool refused = complete_response && request.verdict == "not_run" && request.status >= 429;
    if ((!complete_response || refused) && request.sends <= m_options.resends) {
        ++request.endpoint_index;
        resend_later(call, resend_interval);
        return;
    }
    record_result(request, complete_response);
    m_open_requests.erase(call);
}

void load_run::resend_later(std::uint64_t call, core::duration delay)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, call](boost::system::error_code) { send(call); });
}

bool load_run::has_correct_text(const request_state& request) const
{
    if (request.service) {
        return request.body.find(request.idempotency_key) != std::string::npos;
    }
    return request.done_received &&
           request.text ==
               standins::expected_text(request.adapter, request.prompt, m_options.tokens);
}

void load_run::record_result(request_state& request, bool complete_response)
{
    const auto now = m_clock.now();
    const auto verdict = complete_response ? request.verdict : std::string{"none"};
    ++m_verdicts[verdict];
    if (verdict != "ran") {
        ++m_reasons[complete_response ? request.reason : "connection"];
        m_idempotent_failed += request.service ? 0 : 1;
        m_service_requests_unknown += request.service && verdict != "not_run" ? 1 : 0;
        m_no_response += complete_response ? 0 : 1;
    }
    bool correct = true;
    if (verdict == "ran") {
        correct = has_correct_text(request);
        m_wrong_text += correct ? 0 : 1;
        m_wrong_adapter += request.service || request.reported_adapter == request.adapter ? 0 : 1;
        m_total_latency.record(ms_between(request.started_at, now));
        if (!request.service) {
            m_first_token_latency.record(ms_between(request.started_at, request.first_token_at));
        }
    }
    if (m_records.is_open()) {
        m_records << json::value{{"number", request.number},
                                 {"service", request.service},
                                 {"key", request.idempotency_key},
                                 {"adapter", request.adapter},
                                 {"request_id", request.request_id},
                                 {"verdict", verdict},
                                 {"reason", request.reason},
                                 {"sends", request.sends},
                                 {"right", correct},
                                 {"due_s",
                                  ms_between(m_run_started_at, request.started_at) / 1000.0},
                                 {"ms", ms_between(request.started_at, now)},
                                 {"first_ms",
                                  request.first_token_at == core::time_point{}
                                      ? -1.0
                                      : ms_between(request.started_at, request.first_token_at)}}
                  << "\n";
    }
}

void load_run::refresh_endpoints()
{
    m_refresh_call = refresh_call_id_base + m_started_count + 1;
    m_refresh_body.clear();
    http::client_call call;
    call.id = m_refresh_call;
    call.method = "GET";
    call.address = m_options.entries[m_refresh_entry_index % m_options.entries.size()];
    call.path = "/v1/endpoints?caller=load-" + std::to_string(m_options.seed);
    call.connect_timeout = core::milliseconds{300};
    call.head_timeout = core::milliseconds{800};
    m_client.start(std::move(call));
    m_refresh_timer.expires_after(refresh_interval);
    m_refresh_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            refresh_endpoints();
        }
    });
}

void load_run::update_endpoints(const std::string& body)
{
    boost::system::error_code error;
    const auto document = json::parse(body, error);
    const auto* object = error ? nullptr : document.if_object();
    const auto* list = object == nullptr ? nullptr : object->if_contains("endpoints");
    if (list == nullptr || !list->is_array() || list->as_array().empty()) {
        return;
    }
    m_endpoints.clear();
    for (const auto& item : list->as_array()) {
        m_endpoints.emplace_back(item.as_string());
    }
}

void load_run::print_summary()
{
    json::object reasons;
    for (const auto& [reason, count] : m_reasons) {
        reasons[reason] = count;
    }
    const auto share = [](std::uint64_t part, std::uint64_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    const json::object summary{
        {"requests", m_model_requests + m_service_requests},
        {"ran", m_verdicts["ran"]},
        {"not_run", m_verdicts["not_run"]},
        {"may_have_run", m_verdicts["may_have_run"]},
        {"no_answer", m_no_response},
        {"wrong_text", m_wrong_text},
        {"wrong_adapter", m_wrong_adapter},
        {"idempotent_failed_share", share(m_idempotent_failed, m_model_requests)},
        {"non_idempotent_unknown_share", share(m_service_requests_unknown, m_service_requests)},
        {"first_token_ms", quantiles(m_first_token_latency)},
        {"total_ms", quantiles(m_total_latency)},
        {"reasons", reasons}};
    std::cout << json::serialize(summary) << "\n";
}

} // namespace siskindrift::apps
