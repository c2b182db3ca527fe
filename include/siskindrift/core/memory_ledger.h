// Bounds the bytes that all connections of a process keep together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <unordered_set>

#include "siskindrift/core/clock.h"

namespace siskindrift::core {

/// What bytes are kept for.
enum class memory_use : std::uint8_t {
    awaited,    ///< A connection, or a whole request whose caller waits for the response.
    ending,     ///< A response whose end is known.
    open_ended, ///< A response whose end isn't known.
    receiving,  ///< A message that isn't received completely.
};

/// Keeps bytes, and drops them when the process has too many.
class memory_holder {
public:
    memory_holder() = default;
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;
    virtual ~memory_holder() = default;

    /// Drops what the holder keeps, soon. Called while the ledger is locked, possibly on another
    /// thread: the work must be posted.
    virtual void release_memory() = 0;
};

class memory_account;

/// The bytes of all accounts of a process, and their limit. When they exceed it, accounts are asked
/// to release theirs until the rest is within the limit: first incomplete messages of which no
/// `progress_bytes` came within `patience`, the longest stalled first; then, the largest first,
/// responses without a known end, other incomplete messages and responses with a known end. What is
/// awaited is never asked for. Thread-safe.
class memory_ledger {
public:
    static constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();
    /// Incomplete messages that stall for so long are released for others.
    static constexpr milliseconds patience{1000};
    /// A message that comes in smaller steps counts as stalled.
    static constexpr std::uint64_t progress_bytes = 64UL * 1024;
    /// Larger messages may use three quarters of the limit, so that small ones are still received.
    static constexpr std::uint64_t small_message_bytes = 64UL * 1024;

    /// @param limit of the bytes of all accounts together.
    explicit memory_ledger(std::uint64_t limit = unlimited);
    /// @param time must outlive the ledger.
    memory_ledger(std::uint64_t limit, const clock& time) : m_limit(limit), m_clock(time) {}
    memory_ledger(const memory_ledger&) = delete;
    memory_ledger& operator=(const memory_ledger&) = delete;
    ~memory_ledger() = default;

    /// Returns the bytes of all accounts.
    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] std::uint64_t limit() const { return m_limit; }
    /// Returns the limit for all of a large message, if nothing else is kept.
    [[nodiscard]] std::uint64_t largest_message() const { return m_limit - m_limit / 4; }

private:
    friend class memory_account;

    void set(memory_account& account, std::uint64_t bytes, memory_use use);
    bool reserve(memory_account& account, std::uint64_t bytes, memory_use use,
                 std::uint64_t received);
    void store(memory_account& account, std::uint64_t bytes, memory_use use);
    void enforce_limit();
    void release(memory_account& account);
    /// Returns the incomplete message that has stalled longest; null if there is none.
    [[nodiscard]] memory_account* longest_stalled(const memory_account* except) const;
    [[nodiscard]] memory_account* largest() const;

    std::uint64_t m_limit;
    const clock& m_clock;
    mutable std::mutex m_mutex;
    std::uint64_t m_total = 0;
    std::uint64_t m_being_released = 0;
    std::unordered_set<memory_account*> m_accounts; ///< Those that keep anything.
};

/// The bytes of one holder. Its changes must not overlap; the ledger and the holder must outlive
/// it.
class memory_account {
public:
    memory_account(memory_ledger& ledger, memory_holder& holder)
        : m_ledger(ledger), m_holder(holder)
    {
    }
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    ~memory_account() { set(0); }

    /// Sets how many bytes the holder keeps of a response, which may make the ledger ask any holder
    /// to release its own. An account that has been asked is asked again only after it was set to
    /// 0.
    /// @param end_known whether the holder knows that it will hardly keep more.
    void set(std::uint64_t bytes, bool end_known = false)
    {
        set(bytes, end_known ? memory_use::ending : memory_use::open_ended);
    }
    /// As above.
    /// @param use of the bytes.
    void set(std::uint64_t bytes, memory_use use)
    {
        if (bytes != m_bytes || use != m_use) {
            m_ledger.set(*this, bytes, use);
        }
    }

    /// Reserves bytes before the holder keeps them. To make room, the ledger asks other holders to
    /// release messages that have stalled.
    /// @param bytes that the holder will keep in all.
    /// @param use of the bytes.
    /// @param received bytes of the incomplete message that have come so far.
    /// @return false if there is no room, or if this holder was asked to release its bytes; the
    /// account is unchanged then.
    [[nodiscard]] bool reserve(std::uint64_t bytes, memory_use use, std::uint64_t received = 0)
    {
        return m_ledger.reserve(*this, bytes, use, received);
    }

private:
    friend class memory_ledger;

    memory_ledger& m_ledger;
    memory_holder& m_holder;
    std::uint64_t m_bytes = 0;
    memory_use m_use = memory_use::open_ended;
    std::uint64_t m_received = 0;            ///< Of an incomplete message, at its last progress.
    std::optional<time_point> m_progress_at; ///< Set while a message is incomplete.
    bool m_asked = false;                    ///< To release its bytes.
};

/// Makes the allocator return large freed blocks to the system at once, so that freed bytes don't
/// count as used by the process. Called once, at the start of a process.
void return_freed_memory();

} // namespace siskindrift::core
