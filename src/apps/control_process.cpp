#include "control_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <thread>

#include "resource_limits.h"
#include "siskindrift/config/catalog.h"
#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds tick_interval{10};
constexpr core::milliseconds handover_timeout{1000}; // for the election of a successor
constexpr std::uint64_t max_segment_bytes = 64UL * 1024 * 1024;
constexpr int network_thread_count = 2;

bool is_operator_request(const wire::control_request_t& request)
{
    switch (request.body.type) {
    case wire::control_body::apply_change:
    case wire::control_body::form_cluster:
    case wire::control_body::change_member:
    case wire::control_body::transfer_leadership:
        return true;
    default:
        return false;
    }
}

} // namespace

std::optional<std::string> catalog_checker::check(const std::map<std::string, std::string>&,
                                                  const wire::apply_change_t& change) const
{
    if (change.change_id.empty() || change.operations.empty()) {
        return "a change needs an id and at least one operation";
    }
    std::string errors;
    for (const auto& operation : change.operations) {
        if (operation->remove) {
            continue;
        }
        if (const auto error = config::check_entry(operation->key, operation->value)) {
            errors += *error + "\n";
        }
    }
    return errors.empty() ? std::nullopt : std::optional{errors};
}

control_process::control_process(config::control_settings settings)
    : m_settings(std::move(settings)), m_memory(memory_limit(m_settings.memory_bytes)),
      m_connections(connection_limit(m_settings.max_descriptors)),
      m_mesh(std::make_shared<net::mesh>(m_context, mesh_options(m_memory, m_connections), *this))
{
}

bool control_process::start()
{
    std::optional<consensus::recovered_state> recovered;
    m_storage =
        replica_storage::open(m_settings.data_folder, recovered, max_segment_bytes, m_clock);
    if (!m_storage) {
        return false;
    }
    control::control_options options;
    options.compact_after = m_settings.compact_after;
    m_core = std::make_unique<control::control_core>(m_storage->identity(), std::move(*recovered),
                                                     options, core::random_nonzero(), m_clock,
                                                     &m_checker);
    std::string error;
    if (!m_mesh->listen(m_settings.address, error)) {
        observe::error("cannot_listen", {{"reason", error}});
        return false;
    }
    return true;
}

int control_process::run()
{
    if (!start()) {
        return 1;
    }
    boost::asio::signal_set signals{m_context, SIGTERM, SIGINT};
    signals.async_wait([this](boost::system::error_code failed, int) {
        if (!failed) {
            m_stopping = true;
            m_wake.notify_one();
        }
    });
    const auto guard = boost::asio::make_work_guard(m_context);
    std::vector<std::thread> workers;
    for (int i = 0; i < network_thread_count; ++i) {
        workers.emplace_back([this] { m_context.run(); });
    }
    observe::info("started", {{"address", m_settings.address}});
    const int status = run_loop();
    m_mesh->stop();
    m_context.stop();
    for (auto& worker : workers) {
        worker.join();
    }
    observe::info("stopped", {{"status", status}});
    return status;
}

int control_process::run_loop()
{
    bool handover_started = false;
    core::time_point stop_at{};
    while (true) {
        std::vector<input> inputs;
        {
            std::unique_lock lock{m_mutex};
            m_wake.wait_for(lock, tick_interval, [this] { return !m_inputs.empty(); });
            inputs.swap(m_inputs);
        }
        if (!handle_inputs(std::move(inputs))) {
            return 1;
        }
        if (!m_stopping) {
            continue;
        }
        if (!handover_started) {
            handover_started = true;
            stop_at = m_clock.now() + handover_timeout;
            m_core->prepare_stop();
        }
        if (m_clock.now() >= stop_at || !m_core->raft().is_leader()) {
            handle_inputs({});
            return 0;
        }
    }
}

bool control_process::handle_inputs(std::vector<input> inputs)
{
    for (auto& item : inputs) {
        handle_message(std::move(item));
    }
    m_core->tick();
    const auto result =
        m_storage->run_cycle(*m_core, [this](const auto& messages) { send(messages); });
    if (result != storage_result::done) {
        return false;
    }
    for (auto& reply : m_core->take_replies()) {
        m_mesh->reply(reply.client, wire::make_envelope(std::move(reply.reply)));
    }
    return true;
}

void control_process::handle_message(input item)
{
    if (const auto* request = item.message.body.Ascontrol_request()) {
        if (!is_permitted(*request)) {
            wire::control_reply_t refusal;
            refusal.id = request->id;
            refusal.outcome = wire::control_outcome::refused;
            refusal.detail = "wrong operator token";
            m_mesh->reply(item.from, wire::make_envelope(std::move(refusal)));
            return;
        }
        m_core->on_request(item.from, *request);
        return;
    }
    m_core->on_peer(item.message);
}

bool control_process::is_permitted(const wire::control_request_t& request) const
{
    return !is_operator_request(request) ||
           config::is_operator(m_settings.operator_token_hashes, request.token);
}

void control_process::send(const std::vector<consensus::outgoing_message>& messages)
{
    for (const auto& item : messages) {
        m_mesh->send(item.address, item.message);
    }
}

void control_process::on_message(net::connection_id from, wire::envelope_t message)
{
    constexpr std::size_t max_inputs = 100'000; // further messages are dropped
    const std::lock_guard lock{m_mutex};
    if (m_inputs.size() < max_inputs) {
        m_inputs.push_back({from, std::move(message)});
        m_wake.notify_one();
    }
}

void control_process::on_bad_frame(core::reason reason)
{
    observe::warn("bad_frame", {{"reason", core::to_string(reason)}});
}

void control_process::on_connection_refused(core::reason reason)
{
    observe::warn("connection_refused", {{"reason", core::to_string(reason)}});
}

} // namespace siskindrift::apps
