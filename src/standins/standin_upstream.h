// One stand-in upstream: an engine with continuous batching, or a plain service.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "siskindrift/http/server.h"
#include "siskindrift/standins/token_model.h"
#include "standin_process.h"

namespace siskindrift::standins {

/// All members are used on the stand-in's one thread.
class standin_upstream final : public http::server_handler,
                               public std::enable_shared_from_this<standin_upstream> {
public:
    standin_upstream(standin_process& owner, upstream_settings settings);

    bool start(std::string& error);
    /// Arms a fault. Returns false for an unknown one.
    bool inject(const std::string& fault, std::uint32_t count);

private:
    struct sequence {
        std::shared_ptr<http::responder> answer;
        std::string adapter;
        std::string request_id;
        std::string key;
        std::string shown_adapter; ///< What the answer claims.
        bool chat = false;
        std::uint32_t left = 0;
        std::uint32_t made = 0;
        std::optional<token_model> model;
        bool lose = false;
        bool head_sent = false;
        std::string shown_id;
        std::uint64_t run = 0;
    };

    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> answer) override;
    void on_caller_disconnected(std::uint64_t exchange) override;
    void on_refused(core::reason) override {}

    void load(const http::server_request& request, std::shared_ptr<http::responder> answer);
    void unload(const http::server_request& request, std::shared_ptr<http::responder> answer);
    void complete(std::uint64_t exchange, const http::server_request& request,
                  std::shared_ptr<http::responder> answer);
    void serve(const http::server_request& request, std::shared_ptr<http::responder> answer);
    bool old_fencing(const http::server_request& request);
    void step();
    void emit(sequence& running);
    void schedule_step();
    void finish(std::uint64_t exchange, bool whole);
    void announce();
    void restart_empty();
    bool take_fault(const std::string& name);
    [[nodiscard]] std::uint32_t running_on(const std::string& adapter) const;
    [[nodiscard]] std::string announcement() const;
    void note(boost::json::object line);
    void run_later(core::duration wait, std::function<void()> action);

    standin_process& m_owner;
    upstream_settings m_settings;
    http::server m_server;
    boost::asio::steady_timer m_step_timer;
    boost::asio::steady_timer m_announce_timer;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_next_run = 1;
    bool m_leaving = false;
    bool m_stepping = false;
    std::set<std::string> m_adapters;
    std::set<std::string> m_loading;
    std::map<std::uint64_t, sequence> m_running;
    std::deque<std::uint64_t> m_waiting; ///< Exchanges beyond the batch.
    std::set<std::uint64_t> m_frozen;    ///< Exchanges whose connections went silent.
    std::map<std::string, std::uint32_t> m_faults;
    std::string m_previous_id;
    std::string m_previous_adapter;
    std::deque<std::pair<core::time_point, std::string>> m_reports; ///< Lagging announcements.
};

} // namespace siskindrift::standins
