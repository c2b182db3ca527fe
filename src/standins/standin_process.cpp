#include "standin_process.h"

#include <boost/json.hpp>

#include "standin_upstream.h"

namespace siskindrift::standins {

namespace json = boost::json;

void event_log::write(json::object line)
{
    m_file << json::serialize(line) << "\n" << std::flush;
}

standin_process::standin_process(standin_settings settings)
    : m_settings(std::move(settings)), m_signals(m_context, SIGTERM, SIGINT),
      m_event_log(m_settings.event_log_path), m_store(m_settings.store), m_client(m_context, *this),
      m_fault_server(m_context, http::server_limits{}, *this)
{
}

standin_process::~standin_process() = default;

int standin_process::run()
{
    std::string error;
    for (const auto& settings : m_settings.upstreams) {
        auto upstream = std::make_shared<standin_upstream>(*this, settings);
        if (!upstream->start(error)) {
            std::fprintf(stderr, "%s\n", error.c_str());
            return 1;
        }
        m_upstreams[settings.id] = std::move(upstream);
    }
    if (!m_settings.fault_address.empty() &&
        !m_fault_server.listen(m_settings.fault_address, error)) {
        std::fprintf(stderr, "%s\n", error.c_str());
        return 1;
    }
    m_signals.async_wait([this](boost::system::error_code, int) { m_context.stop(); });
    m_context.run();
    return 0;
}

void standin_process::announce(const std::string& body)
{
    http::client_call call;
    call.id = m_next_call++;
    call.address = m_settings.entries[m_next_entry];
    call.path = "/v1/announce";
    call.body = body;
    call.headers = {{"Content-Type", "application/json"}};
    call.repeatable = true;
    call.connect_timeout = core::milliseconds{300};
    call.head_timeout = core::milliseconds{500};
    m_client.start(std::move(call));
    // Any entry VM accepts announcements. Taking turns spreads the work and tolerates the loss of
    // any of them.
    m_next_entry = (m_next_entry + 1) % m_settings.entries.size();
}

void standin_process::on_end(std::uint64_t, const http::call_end& end)
{
    if (end.result != http::call_result::complete) {
        m_next_entry = (m_next_entry + 1) % m_settings.entries.size();
    }
}

void standin_process::on_request(std::uint64_t, http::server_request request,
                                 std::shared_ptr<http::responder> responder)
{
    boost::system::error_code error;
    const auto body = json::parse(request.body, error);
    if (error || !body.is_object()) {
        responder->respond(400, {}, "a fault is ordered by a JSON object\n");
        return;
    }
    const auto& command = body.as_object();
    const auto* upstream = command.if_contains("upstream");
    const auto* fault = command.if_contains("fault");
    const auto* count = command.if_contains("count");
    bool injected = false;
    for (const auto& [id, target] : m_upstreams) {
        if (upstream == nullptr || fault == nullptr || upstream->as_string() != id) {
            continue;
        }
        injected = target->inject_fault(std::string{fault->as_string()},
                                        count == nullptr ? 1 : count->to_number<std::uint32_t>());
    }
    responder->respond(injected ? 200 : 404, {}, "{}\n");
}

bool read_standin_settings(const std::string& text, standin_settings& settings, std::string& error)
{
    boost::system::error_code failed;
    const auto document = json::parse(text, failed);
    if (failed || !document.is_object()) {
        error = "the settings are not a JSON object";
        return false;
    }
    try {
        const auto& root = document.as_object();
        settings.event_log_path = root.at("ledger").as_string();
        settings.fault_address = root.at("fault_address").as_string();
        settings.store.loads_per_second = root.at("loads_per_second").to_number<double>();
        for (const auto& entry : root.at("entries").as_array()) {
            settings.entries.emplace_back(entry.as_string());
        }
        for (const auto& item : root.at("upstreams").as_array()) {
            const auto& from = item.as_object();
            upstream_settings upstream;
            upstream.id = from.at("id").as_string();
            upstream.kind = from.at("kind").as_string();
            upstream.address = from.at("address").as_string();
            upstream.failure_domain = from.at("failure_domain").as_string();
            if (const auto* base = from.if_contains("base_model")) {
                upstream.base_model = base->as_string();
            }
            if (const auto* service = from.if_contains("service")) {
                upstream.service = service->as_string();
            }
            if (const auto* slots = from.if_contains("slots")) {
                upstream.slots = slots->to_number<std::uint32_t>();
            }
            if (const auto* batch = from.if_contains("batch")) {
                upstream.batch = batch->to_number<std::uint32_t>();
            }
            if (const auto* fencing = from.if_contains("fencing")) {
                upstream.checks_fencing = fencing->as_string() == "checked";
            }
            settings.upstreams.push_back(std::move(upstream));
        }
    }
    catch (const std::exception& fault) {
        error = fault.what();
        return false;
    }
    if (settings.entries.empty()) {
        error = "entries must name at least one address";
        return false;
    }
    return true;
}

} // namespace siskindrift::standins
