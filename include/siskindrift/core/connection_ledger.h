// Bounds the connections that a process has open together.
#pragma once

#include <cstddef>
#include <limits>
#include <mutex>
#include <set>
#include <tuple>

#include "siskindrift/core/clock.h"

namespace siskindrift::core {

/// Who is at the other end of a connection.
enum class connection_kind : unsigned char {
    external, ///< Callers, operators and others that the deployment doesn't control.
    internal, ///< Other processes of the deployment, and upstreams.
};

/// An open connection that can be closed for another one.
class connection_holder {
public:
    connection_holder() = default;
    connection_holder(const connection_holder&) = delete;
    connection_holder& operator=(const connection_holder&) = delete;
    virtual ~connection_holder() = default;

    /// Closes the connection, soon, if no message is handled on it. Called while the ledger is
    /// locked, possibly on another thread: the work must be posted.
    virtual void close_waiting() = 0;
};

class connection_slot;

/// All open connections of a process, and their limit. At the limit, a new connection takes the
/// place of the one that has waited longest for a message: of those that never received one first.
/// External connections leave a quarter of the limit to others. Thread-safe.
class connection_ledger {
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    /// A connection is closed for another one only after it has waited for so long.
    static constexpr milliseconds patience{1000};

    /// @param limit of the connections of both kinds together.
    explicit connection_ledger(std::size_t limit = unlimited);
    /// @param time must outlive the ledger.
    connection_ledger(std::size_t limit, const clock& time) : m_limit(limit), m_clock(time) {}
    connection_ledger(const connection_ledger&) = delete;
    connection_ledger& operator=(const connection_ledger&) = delete;
    ~connection_ledger() = default;

    /// Returns whether a further connection may be opened, and closes one for it if necessary.
    [[nodiscard]] bool admit(connection_kind kind);
    /// Returns the number of open connections.
    [[nodiscard]] std::size_t open() const;

private:
    friend class connection_slot;

    using waiting_order = std::tuple<bool, time_point, connection_slot*>;

    /// Asks the connection to close that has waited longest, of those that have or never have
    /// received a message. Returns false if none has waited for long.
    bool close_one(bool received_before, time_point now);

    std::size_t m_limit;
    const clock& m_clock;
    mutable std::mutex m_mutex;
    std::size_t m_open = 0;
    std::size_t m_closing = 0; ///< Those asked to close.
    std::set<waiting_order> m_waiting;
};

/// The place of one open connection in the ledger, which must outlive it, as must the holder.
class connection_slot {
public:
    /// @param holder null if the connection can't be closed for another one.
    connection_slot(connection_ledger& ledger, connection_holder* holder);
    connection_slot(const connection_slot&) = delete;
    connection_slot& operator=(const connection_slot&) = delete;
    ~connection_slot();

    /// The connection waits for a message from now on.
    void begin_waiting();
    /// A message was received completely.
    void end_waiting();

private:
    friend class connection_ledger;

    void leave_waiting(); // the ledger is locked

    connection_ledger& m_ledger;
    connection_holder* m_holder;
    time_point m_waiting_since{};
    bool m_waiting = false;
    bool m_received = false; ///< A message, at any time.
    bool m_asked = false;    ///< To close.
};

} // namespace siskindrift::core
