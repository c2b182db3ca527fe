// Control process: connects a `control_core` to its storage and its network connections.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "replica_storage.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/control/control_core.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::apps {

/// Validates configuration changes against the schemas of their entries.
class catalog_checker final : public control::change_checker {
public:
    /// @param current configuration before the change; not used.
    /// @param change proposed operations; removals need no validation.
    /// @return what is wrong, with one line for each invalid entry; none if the change is valid.
    [[nodiscard]] std::optional<std::string>
    check(const std::map<std::string, std::string>& current,
          const wire::apply_change_t& change) const override;
};

/// The process of one control replica. The thread that calls `run` owns the core and the
/// storage; the network threads only read and write sockets. Messages that arrive while the
/// log is being synced are handled as one batch and share the next sync.
class control_process final : public net::mesh_handler {
public:
    /// @param settings validated settings.
    explicit control_process(config::control_settings settings);
    ~control_process() override = default;

    /// Serves until SIGTERM or SIGINT and the handover of leadership that follows.
    /// @return exit status of the process: 1 if the data folder or the address can't be used
    ///         or the storage has failed, otherwise 0.
    int run();

private:
    /// A message and the connection that it arrived on.
    struct input {
        net::connection_id from = 0;
        wire::envelope_t message;
    };

    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_connection_state(const std::string&, bool) override {}
    void on_bad_frame(core::reason reason) override;
    void on_connection_refused(core::reason reason) override;

    bool start();
    /// Runs the core until the process stops; returns the exit status of the process.
    int run_loop();
    /// Handles a batch of messages and sends the replies. Returns false if the storage fails.
    bool handle_inputs(std::vector<input> inputs);
    void handle_message(input item);
    /// Returns whether the request needs no operator token or carries a valid one.
    [[nodiscard]] bool is_permitted(const wire::control_request_t& request) const;
    void send(const std::vector<consensus::outgoing_message>& messages);

    config::control_settings m_settings;
    core::boottime_clock m_clock;
    core::memory_ledger m_memory; ///< Of requests, responses and messages.
    core::connection_ledger m_connections;
    catalog_checker m_checker;
    boost::asio::io_context m_context;
    std::shared_ptr<net::mesh> m_mesh;
    std::unique_ptr<replica_storage> m_storage;
    std::unique_ptr<control::control_core> m_core;

    std::mutex m_mutex; ///< Guards `m_inputs`. No other lock is taken while it is held.
    std::condition_variable m_wake;
    std::vector<input> m_inputs;
    std::atomic<bool> m_stopping{false};
};

} // namespace siskindrift::apps
