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

/// A stand-in upstream. All members are used on the one thread of the process.
class standin_upstream final : public http::server_handler,
                               public std::enable_shared_from_this<standin_upstream> {
public:
    standin_upstream(standin_process& process, upstream_settings settings);

    /// Listens and begins to send announcements.
    /// @param[out] error what failed if the result is false.
    bool start(std::string& error);
    /// Injects a fault.
    /// @param fault "fail_load", "hang_load", "refuse", "lose_answer", "late", "crossed",
    ///        "wrong_adapter" or "lose_order", which affect single requests, or "restart_empty",
    ///        "freeze_connections", "leave" or "serve", which affect the whole upstream.
    /// @param count number of requests that it affects, for faults of single requests.
    /// @return false if the fault is unknown.
    bool inject_fault(const std::string& fault, std::uint32_t count);

private:
    /// A running completion.
    struct sequence {
        std::shared_ptr<http::responder> responder;
        std::string adapter;
        std::string request_id;
        std::string key;
        std::string reported_adapter; ///< In the response; differs from `adapter` by a fault.
        bool chat = false;
        std::uint32_t tokens_left = 0;
        std::uint32_t tokens_generated = 0;
        std::optional<token_model> model;
        bool drop_response = false; ///< Closes the connection instead of ending the response.
        bool head_sent = false;
        std::string reported_request_id; ///< In the response; differs from `request_id` by a fault.
        std::uint64_t run_id = 0;
    };

    void on_request(std::uint64_t exchange, http::server_request request,
                    std::shared_ptr<http::responder> responder) override;
    void on_caller_disconnected(std::uint64_t exchange) override;
    void on_refused(core::reason) override {}

    void load_adapter(const http::server_request& request,
                      std::shared_ptr<http::responder> responder);
    void unload_adapter(const http::server_request& request,
                        std::shared_ptr<http::responder> responder);
    void start_completion(std::uint64_t exchange, const http::server_request& request,
                          std::shared_ptr<http::responder> responder);
    void run_service_request(const http::server_request& request,
                             std::shared_ptr<http::responder> responder);
    /// Returns whether the request is to be rejected because its fencing number is below the
    /// highest seen so far, and records the rejection; never rejects unless `checks_fencing` is
    /// set.
    bool reject_stale_fencing(const http::server_request& request);
    /// Runs one decoding step: sends one token for each sequence of the batch.
    void step();
    void emit(sequence& running);
    void schedule_step();
    /// Removes a sequence and records its end.
    /// @param complete whether all tokens were generated.
    void finish(std::uint64_t exchange, bool complete);
    void announce();
    /// Acts like a restarted process: drops all requests and adapters.
    void restart_empty();
    /// Returns whether the fault is to happen now and counts it down.
    bool consume_fault(const std::string& name);
    [[nodiscard]] std::uint32_t running_count(const std::string& adapter) const;
    [[nodiscard]] std::string make_announcement() const;
    void record_event(boost::json::object line);
    void run_later(core::duration delay, std::function<void()> action);

    standin_process& m_process;
    upstream_settings m_settings;
    http::server m_server;
    boost::asio::steady_timer m_step_timer;
    boost::asio::steady_timer m_announce_timer;
    std::uint64_t m_incarnation;
    std::uint64_t m_announcement_sequence = 0;
    std::uint64_t m_highest_fencing = 0;
    std::uint64_t m_next_run_id = 1;
    bool m_leaving = false;
    bool m_stepping = false; ///< A decoding step is scheduled.
    std::set<std::string> m_adapters;
    std::set<std::string> m_loading;
    std::map<std::uint64_t, sequence> m_running;
    std::deque<std::uint64_t> m_waiting; ///< Not used.
    std::set<std::uint64_t> m_frozen;    ///< Exchanges that get no more data.
    std::map<std::string, std::uint32_t> m_faults;
    std::string m_previous_request_id;
    std::string m_previous_adapter;
    /// Announcements and when they were made; the first is the latest one that is at least
    /// `load_report_delay` old, if there is any.
    std::deque<std::pair<core::time_point, std::string>> m_delayed_announcements;
};

} // namespace siskindrift::standins
