#include "siskindrift/gateway/relay_codec.h"

#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace siskindrift::gateway {
namespace {

constexpr std::string_view header_prefix = "Siskindrift-Relay-";
constexpr std::string_view sent_header = "Siskindrift-Relay-Sent";
constexpr std::string_view may_have_run_header = "Siskindrift-Relay-May-Have-Run";
constexpr std::string_view tried_header = "Siskindrift-Relay-Tried";
constexpr std::string_view pin_header = "Siskindrift-Relay-Pin";
constexpr std::string_view software_header = "Siskindrift-Relay-Software";
constexpr std::string_view upstream_header = "Siskindrift-Relay-Upstream";
constexpr std::string_view born_header = "Siskindrift-Relay-Born";
constexpr std::string_view verdict_header = "Siskindrift-Relay-Verdict";
constexpr std::string_view counted_header = "Siskindrift-Relay-Counted";
constexpr std::string_view reason_header = "Siskindrift-Relay-Reason";

// Versions and ids come from other programs and may contain any bytes.
std::string to_hex(const std::string& text)
{
    return boost::algorithm::hex_lower(text);
}

std::optional<std::string> from_hex(const std::string& text)
{
    try {
        return boost::algorithm::unhex(text);
    }
    catch (const boost::algorithm::hex_decode_error&) {
        return std::nullopt;
    }
}

std::optional<std::string> find(const http::header_list& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (boost::algorithm::iequals(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

template <class Number = unsigned>
std::optional<Number> find_number(const http::header_list& headers, std::string_view name)
{
    const auto text = find(headers, name);
    Number value = 0;
    if (!text) {
        return std::nullopt;
    }
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{value} : std::nullopt;
}

} // namespace

http::header_list encode_relay_request(const relay_request& request)
{
    http::header_list headers{
        {std::string{sent_header}, std::to_string(request.attempts_sent)},
        {std::string{may_have_run_header}, std::to_string(request.may_have_run)}};
    if (request.counted) {
        headers.emplace_back(counted_header, "1");
    }
    for (const auto& upstream : request.tried_upstreams) {
        headers.emplace_back(tried_header, to_hex(upstream));
    }
    if (request.pin) {
        headers.emplace_back(pin_header, to_hex(request.pin->version) + "," +
                                             to_hex(request.pin->upstream) + "," +
                                             std::to_string(request.pin->born_ms));
    }
    return headers;
}

std::optional<relay_request> decode_relay_request(const http::header_list& headers)
{
    const auto sent = find_number(headers, sent_header);
    const auto may_have_run = find_number(headers, may_have_run_header);
    if (!sent || !may_have_run) {
        return std::nullopt;
    }
    relay_request request;
    request.attempts_sent = *sent;
    request.may_have_run = *may_have_run;
    request.counted = find(headers, counted_header).has_value();
    for (const auto& [key, value] : headers) {
        const auto upstream =
            boost::algorithm::iequals(key, tried_header) ? from_hex(value) : std::nullopt;
        if (upstream) {
            request.tried_upstreams.insert(*upstream);
        }
    }
    if (const auto pin = find(headers, pin_header)) {
        const auto first = pin->find(',');
        const auto second = pin->rfind(',');
        const auto version = from_hex(pin->substr(0, first));
        if (first == std::string::npos || first == second || !version) {
            return std::nullopt;
        }
        software_pin decoded;
        decoded.version = *version;
        decoded.upstream = from_hex(pin->substr(first + 1, second - first - 1)).value_or("");
        std::from_chars(pin->data() + second + 1, pin->data() + pin->size(), decoded.born_ms);
        request.pin = decoded;
    }
    return request;
}

http::header_list encode_relay_answer(const relay_answer& answer)
{
    http::header_list headers{
        {std::string{sent_header}, std::to_string(answer.attempts_sent)},
        {std::string{may_have_run_header}, std::to_string(answer.may_have_run)},
        {std::string{software_header}, to_hex(answer.software_version)},
        {std::string{upstream_header}, to_hex(answer.upstream)},
        {std::string{born_header}, std::to_string(answer.born_ms)}};
    if (answer.own_verdict) {
        headers.emplace_back(verdict_header,
                             std::to_string(static_cast<unsigned>(*answer.own_verdict)));
        headers.emplace_back(reason_header, std::to_string(static_cast<unsigned>(answer.reason)));
    }
    return headers;
}

std::optional<relay_answer> decode_relay_answer(const http::header_list& headers)
{
    const auto sent = find_number(headers, sent_header);
    const auto may_have_run = find_number(headers, may_have_run_header);
    const auto software = from_hex(find(headers, software_header).value_or(""));
    if (!sent || !may_have_run || !software) {
        return std::nullopt;
    }
    relay_answer answer;
    answer.attempts_sent = *sent;
    answer.may_have_run = *may_have_run;
    answer.software_version = *software;
    answer.upstream = from_hex(find(headers, upstream_header).value_or("")).value_or("");
    answer.born_ms = find_number<std::uint64_t>(headers, born_header).value_or(0);
    if (const auto number = find_number(headers, verdict_header)) {
        answer.own_verdict = core::verdict_from(static_cast<std::uint8_t>(*number))
                                 .value_or(core::verdict::may_have_run);
        const auto reason = find_number(headers, reason_header).value_or(0);
        answer.reason = core::reason_from(static_cast<std::uint16_t>(reason));
    }
    return answer;
}

void remove_relay_headers(http::header_list& headers)
{
    std::erase_if(headers, [](const auto& header) {
        return boost::algorithm::istarts_with(header.first, header_prefix);
    });
}

} // namespace siskindrift::gateway
