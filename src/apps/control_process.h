// The control process: storage and sockets around a `control_core`.
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

/// Checks changes against the schema of configuration entries.
class catalog_checker final : public control::change_checker {
public:
    [[nodiscard]] std::optional<std::string>
    check(const std::map<std::string, std::string>& current,
          const wire::apply_change_t& change) const override;
};

/// Runs one control replica. One driver thread owns the core and the storage; the workers
/// only read and write sockets. Everything that arrives while a sync runs shares the next.
class control_process final : public net::mesh_handler {
public:
    explicit control_process(config::control_settings settings);
    ~control_process() override = default;

    /// Serves until stopped. Returns the process's exit status.
    int run();

private:
    struct input {
        net::connection_id from = 0;
        wire::envelope_t message;
    };

    void on_message(net::connection_id from, wire::envelope_t message) override;
    void on_link(const std::string&, bool) override {}
    void on_bad_frame(core::reason why) override;

    bool start();
    int drive();
    bool cycle(std::vector<input> inputs);
    void take(input item);
    [[nodiscard]] bool permitted(const wire::control_request_t& request) const;
    void send(const std::vector<consensus::outgoing_message>& messages);

    config::control_settings m_settings;
    core::boottime_clock m_clock;
    catalog_checker m_checker;
    boost::asio::io_context m_context;
    std::shared_ptr<net::mesh> m_mesh;
    std::unique_ptr<replica_storage> m_folder;
    std::unique_ptr<control::control_core> m_core;

    std::mutex m_mutex; ///< Guards the two below; a leaf of the lock order.
    std::condition_variable m_wake;
    std::vector<input> m_inputs;
    std::atomic<bool> m_stopping{false};
};

} // namespace siskindrift::apps
