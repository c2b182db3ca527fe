// Bounds the bytes that all connections of a process keep together.
#pragma once

#include <cstdint>
#include <limits>
#include <mutex>
#include <unordered_set>

namespace siskindrift::core {

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

/// The bytes of all accounts of a process, and their limit. When they exceed it, the accounts that
/// keep most are asked to release theirs, until the rest is within the limit: at first those whose
/// end isn't known. Thread-safe.
class memory_ledger {
public:
    static constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();

    /// @param limit of the bytes of all accounts together.
    explicit memory_ledger(std::uint64_t limit = unlimited) : m_limit(limit) {}
    memory_ledger(const memory_ledger&) = delete;
    memory_ledger& operator=(const memory_ledger&) = delete;
    ~memory_ledger() = default;

    /// Returns the bytes of all accounts.
    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] std::uint64_t limit() const { return m_limit; }

private:
    friend class memory_account;

    void set(memory_account& account, std::uint64_t bytes, bool end_known);
    void enforce_limit();

    std::uint64_t m_limit;
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

    /// Sets how many bytes the holder keeps, which may make the ledger ask any holder to release
    /// its own. An account that has been asked is asked again only after it was set to 0.
    /// @param end_known whether the holder knows that it will hardly keep more.
    void set(std::uint64_t bytes, bool end_known = false)
    {
        if (bytes != m_bytes || end_known != m_end_known) {
            m_ledger.set(*this, bytes, end_known);
        }
    }

private:
    friend class memory_ledger;

    memory_ledger& m_ledger;
    memory_holder& m_holder;
    std::uint64_t m_bytes = 0;
    bool m_end_known = false;
    bool m_asked = false; ///< To release its bytes.
};

} // namespace siskindrift::core
