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

constexpr std::uint64_t refresh_bit = 1ULL << 62;
constexpr core::milliseconds refresh_every{1000};
constexpr core::milliseconds resend_pause{300};
constexpr std::chrono::seconds tail{40}; // for the last answers

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
      m_refresh(m_context), m_client(m_context, *this), m_endpoints(m_options.entries)
{
    if (!m_options.records_path.empty()) {
        m_records.open(m_options.records_path);
    }
    double sum = 0.0;
    for (std::uint32_t rank = 1; rank <= m_options.adapters; ++rank) {
        sum += 1.0 / std::pow(rank, m_options.zipf);
        m_cumulative.push_back(sum);
    }
}

int load_run::run()
{
    m_begun = m_clock.now();
    refresh_endpoints();
    schedule();
    const auto length = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(m_options.seconds));
    m_context.run_for(length);
    while (!m_open.empty() && m_clock.now() < m_begun + length + tail) {
        m_context.run_for(core::milliseconds{20});
    }
    for (auto& [call, one] : m_open) {
        conclude(one, false);
    }
    print_summary();
    return m_wrong_text + m_wrong_adapter == 0 ? 0 : 1;
}

void load_run::schedule()
{
    const double due_s = static_cast<double>(m_fired) / m_options.rate;
    if (due_s >= m_options.seconds) {
        return;
    }
    m_timer.expires_at(
        m_begun + std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(due_s)));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            fire();
            schedule();
        }
    });
}

std::uint32_t load_run::draw_adapter()
{
    const double point = std::uniform_real_distribution<double>{0.0, m_cumulative.back()}(m_random);
    const auto found = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), point);
    auto rank = static_cast<std::uint32_t>(found - m_cumulative.begin());
    const bool shifted = m_options.shift_at > 0.0 &&
                         ms_between(m_begun, m_clock.now()) >= m_options.shift_at * 1000.0;
    constexpr std::uint32_t shift = 997; // moves the hot ranks to adapters that were cold
    return shifted ? (rank + shift) % m_options.adapters : rank;
}

void load_run::fire()
{
    ++m_fired;
    shot one;
    one.number = m_fired;
    one.due = m_clock.now();
    one.service = !m_options.service.empty() && std::uniform_real_distribution<double>{0.0, 1.0}(
                                                    m_random) < m_options.service_share;
    one.key = core::make_idempotency_key(m_clock.wall_ms(), m_random(), m_random());
    if (!one.service) {
        std::array<char, 32> name{};
        std::snprintf(name.data(), name.size(), "adapter-%05u@1", draw_adapter());
        one.adapter = name.data();
        one.prompt =
            "request " + std::to_string(m_fired) + " of seed " + std::to_string(m_options.seed);
    }
    one.endpoint = m_random() % std::max<std::size_t>(1, m_endpoints.size());
    (one.service ? m_services : m_models) += 1;
    const auto number = one.number;
    m_open[number] = std::move(one);
    send(number);
}

void load_run::send(std::uint64_t number)
{
    const auto found = m_open.find(number);
    if (found == m_open.end()) {
        return;
    }
    auto& one = found->second;
    ++one.sends;
    one.status = 0;
    one.verdict.clear();
    one.body.clear();
    one.text.clear();
    one.done_marker = false;
    one.events = {};
    http::client_call call;
    call.id = number;
    call.address = m_endpoints[one.endpoint % m_endpoints.size()];
    call.headers = {{"Authorization", "Bearer " + m_options.team_key},
                    {"Content-Type", "application/json"},
                    {"Siskindrift-Deadline-Ms", std::to_string(m_options.deadline_ms)}};
    if (one.service) {
        call.path = "/v1/services/" + m_options.service + "/submit";
        call.headers.emplace_back("Idempotency-Key", one.key);
        call.headers.emplace_back("Siskindrift-Idempotent", "false");
        call.body = json::serialize(json::value{{"filing", one.number}});
    }
    else {
        call.path = "/v1/completions";
        call.repeatable = true;
        call.body = json::serialize(json::value{{"model", one.adapter},
                                                {"prompt", one.prompt},
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
    const auto found = m_open.find(call);
    if (found == m_open.end()) {
        return;
    }
    auto& one = found->second;
    one.status = head.status;
    one.verdict = head.header("Siskindrift-Verdict");
    one.reason = head.header("Siskindrift-Reason");
    one.shown_adapter = head.header("Siskindrift-Adapter");
    one.request_id = head.header("Siskindrift-Request-Id");
}

void load_run::on_data(std::uint64_t call, const std::string& bytes)
{
    if (call == m_refresh_call) {
        m_refresh_body += bytes;
        return;
    }
    const auto found = m_open.find(call);
    if (found == m_open.end()) {
        return;
    }
    auto& one = found->second;
    one.body += bytes;
    if (one.service || one.status != 200) {
        return;
    }
    for (const auto& data : one.events.feed(bytes)) {
        take_event(one, data);
    }
}

void load_run::take_event(shot& one, const std::string& data)
{
    if (data == "[DONE]") {
        one.done_marker = true;
        return;
    }
    boost::system::error_code error;
    const auto event = json::parse(data, error);
    const auto* object = error ? nullptr : event.if_object();
    if (object == nullptr) {
        return;
    }
    if (const auto* verdict = object->if_contains("verdict")) {
        one.verdict = verdict->as_string();
        one.reason = object->at("reason").as_string();
        return;
    }
    if (const auto model = requests::parse_model_event(data)) {
        if (one.first_token == core::time_point{}) {
            one.first_token = m_clock.now();
        }
        one.text += model->text;
    }
}

void load_run::on_end(std::uint64_t call, http::call_result how)
{
    if (call == m_refresh_call) {
        if (how == http::call_result::complete) {
            take_endpoints(m_refresh_body);
        }
        else {
            ++m_refresh_entry;
        }
        return;
    }
    const auto found = m_open.find(call);
    if (found == m_open.end()) {
        return;
    }
    auto& one = found->second;
    if (how == http::call_result::not_sent) {
        // Nothing left; a caller goes on to its next address at no cost.
        ++one.endpoint;
        --one.sends;
        resend_later(call, core::milliseconds{20});
        return;
    }
    const bool answered = how == http::call_result::complete && !one.verdict.empty();
    const bool refused = answered && one.verdict == "not_run" && one.status >= 429;
    if ((!answered || refused) && one.sends <= m_options.resends) {
        ++one.endpoint;
        resend_later(call, resend_pause);
        return;
    }
    conclude(one, answered);
    m_open.erase(call);
}

void load_run::resend_later(std::uint64_t call, core::duration pause)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, pause);
    timer->async_wait([this, timer, call](boost::system::error_code) { send(call); });
}

bool load_run::text_right(const shot& one) const
{
    if (one.service) {
        return one.body.find(one.key) != std::string::npos;
    }
    return one.done_marker &&
           one.text == standins::expected_text(one.adapter, one.prompt, m_options.tokens);
}

void load_run::conclude(shot& one, bool answered)
{
    const auto now = m_clock.now();
    const auto verdict = answered ? one.verdict : std::string{"none"};
    ++m_verdicts[verdict];
    if (verdict != "ran") {
        ++m_reasons[answered ? one.reason : "connection"];
        m_idempotent_failed += one.service ? 0 : 1;
        m_services_unknown += one.service && verdict != "not_run" ? 1 : 0;
        m_no_answer += answered ? 0 : 1;
    }
    bool right = true;
    if (verdict == "ran") {
        right = text_right(one);
        m_wrong_text += right ? 0 : 1;
        m_wrong_adapter += one.service || one.shown_adapter == one.adapter ? 0 : 1;
        m_total.record(ms_between(one.due, now));
        if (!one.service) {
            m_first_token.record(ms_between(one.due, one.first_token));
        }
    }
    if (m_records.is_open()) {
        m_records << json::value{{"number", one.number},
                                 {"service", one.service},
                                 {"key", one.key},
                                 {"adapter", one.adapter},
                                 {"request_id", one.request_id},
                                 {"verdict", verdict},
                                 {"reason", one.reason},
                                 {"sends", one.sends},
                                 {"right", right},
                                 {"due_s", ms_between(m_begun, one.due) / 1000.0},
                                 {"ms", ms_between(one.due, now)},
                                 {"first_ms", one.first_token == core::time_point{}
                                                  ? -1.0
                                                  : ms_between(one.due, one.first_token)}}
                  << "\n";
    }
}

void load_run::refresh_endpoints()
{
    m_refresh_call = refresh_bit + m_fired + 1;
    m_refresh_body.clear();
    http::client_call call;
    call.id = m_refresh_call;
    call.method = "GET";
    call.address = m_options.entries[m_refresh_entry % m_options.entries.size()];
    call.path = "/v1/endpoints?caller=load-" + std::to_string(m_options.seed);
    call.connect_timeout = core::milliseconds{300};
    call.head_timeout = core::milliseconds{800};
    m_client.start(std::move(call));
    m_refresh.expires_after(refresh_every);
    m_refresh.async_wait([this](boost::system::error_code error) {
        if (!error) {
            refresh_endpoints();
        }
    });
}

void load_run::take_endpoints(const std::string& body)
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
        {"requests", m_models + m_services},
        {"ran", m_verdicts["ran"]},
        {"not_run", m_verdicts["not_run"]},
        {"may_have_run", m_verdicts["may_have_run"]},
        {"no_answer", m_no_answer},
        {"wrong_text", m_wrong_text},
        {"wrong_adapter", m_wrong_adapter},
        {"idempotent_failed_share", share(m_idempotent_failed, m_models)},
        {"non_idempotent_unknown_share", share(m_services_unknown, m_services)},
        {"first_token_ms", quantiles(m_first_token)},
        {"total_ms", quantiles(m_total)},
        {"reasons", reasons}};
    std::cout << json::serialize(summary) << "\n";
}

} // namespace siskindrift::apps
