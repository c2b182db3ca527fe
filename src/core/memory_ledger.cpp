#include "siskindrift/core/memory_ledger.h"

#include <malloc.h>
#include <tuple>

namespace siskindrift::core {

namespace {

const boottime_clock system_clock;

} // namespace

memory_ledger::memory_ledger(std::uint64_t limit) : memory_ledger(limit, system_clock) {}

std::uint64_t memory_ledger::total() const
{
    const std::lock_guard lock{m_mutex};
    return m_total;
}

void memory_ledger::set(memory_account& account, std::uint64_t bytes, memory_use use)
{
    const std::lock_guard lock{m_mutex};
    const auto before = account.m_bytes;
    store(account, bytes, use);
    if (bytes > before) {
        enforce_limit();
    }
}

bool memory_ledger::reserve(memory_account& account, std::uint64_t bytes, memory_use use,
                            std::uint64_t received)
{
    const std::lock_guard lock{m_mutex};
    if (account.m_asked) {
        return false;
    }
    if (bytes > account.m_bytes) {
        const auto limit = bytes > small_message_bytes ? largest_message() : m_limit;
        const auto kept = [&] { return m_total - m_being_released - account.m_bytes; };
        while (kept() + bytes > limit) {
            auto* stalled = longest_stalled(&account);
            if (stalled == nullptr) {
                return false;
            }
            release(*stalled);
        }
    }
    store(account, bytes, use);
    if (account.m_progress_at && received >= account.m_received + progress_bytes) {
        account.m_progress_at = m_clock.now();
        account.m_received = received;
    }
    return true;
}

void memory_ledger::store(memory_account& account, std::uint64_t bytes, memory_use use)
{
    if (account.m_asked) {
        m_being_released = m_being_released - account.m_bytes + bytes;
    }
    m_total = m_total - account.m_bytes + bytes;
    account.m_bytes = bytes;
    account.m_use = use;
    if (bytes == 0 || use != memory_use::receiving) {
        account.m_progress_at.reset();
    }
    else if (!account.m_progress_at) {
        account.m_progress_at = m_clock.now();
        account.m_received = 0;
    }
    if (bytes == 0) {
        account.m_asked = false;
        m_accounts.erase(&account);
    }
    else {
        m_accounts.insert(&account);
    }
}

void memory_ledger::enforce_limit()
{
    while (m_total - m_being_released > m_limit) {
        auto* next = longest_stalled(nullptr);
        next = next != nullptr ? next : largest();
        if (next == nullptr) {
            return;
        }
        release(*next);
    }
}

void memory_ledger::release(memory_account& account)
{
    account.m_asked = true;
    m_being_released += account.m_bytes;
    account.m_holder.release_memory();
}

memory_account* memory_ledger::longest_stalled(const memory_account* except) const
{
    const auto now = m_clock.now();
    memory_account* longest = nullptr;
    for (auto* account : m_accounts) {
        if (account == except || account->m_asked || !account->m_progress_at ||
            now - *account->m_progress_at < patience) {
            continue;
        }
        if (longest == nullptr || *account->m_progress_at < *longest->m_progress_at) {
            longest = account;
        }
    }
    return longest;
}

memory_account* memory_ledger::largest() const
{
    const auto order = [](const memory_account& account) {
        constexpr int first = 2;
        const int use = account.m_use == memory_use::open_ended  ? first
                        : account.m_use == memory_use::receiving ? first - 1
                                                                 : 0;
        return std::tuple{use, account.m_bytes};
    };
    memory_account* found = nullptr;
    for (auto* account : m_accounts) {
        if (!account->m_asked && account->m_use != memory_use::awaited &&
            (found == nullptr || order(*account) > order(*found))) {
            found = account;
        }
    }
    return found;
}

void return_freed_memory()
{
    // Setting either threshold also stops the allocator from raising both by itself.
    constexpr int threshold_bytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    ::mallopt(M_TRIM_THRESHOLD, threshold_bytes);
}

} // namespace siskindrift::core
