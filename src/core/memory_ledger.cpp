#include "siskindrift/core/memory_ledger.h"

#include <tuple>

namespace siskindrift::core {

std::uint64_t memory_ledger::total() const
{
    const std::lock_guard lock{m_mutex};
    return m_total;
}

void memory_ledger::set(memory_account& account, std::uint64_t bytes, bool end_known)
{
    const std::lock_guard lock{m_mutex};
    const auto before = account.m_bytes;
    if (account.m_asked) {
        m_being_released = m_being_released - before + bytes;
    }
    m_total = m_total - before + bytes;
    account.m_bytes = bytes;
    account.m_end_known = end_known;
    if (bytes == 0) {
        account.m_asked = false;
        m_accounts.erase(&account);
        return;
    }
    m_accounts.insert(&account);
    if (bytes > before) {
        enforce_limit();
    }
}

void memory_ledger::enforce_limit()
{
    while (m_total - m_being_released > m_limit) {
        memory_account* largest = nullptr;
        for (auto* account : m_accounts) {
            if (!account->m_asked &&
                (largest == nullptr || std::tuple{!account->m_end_known, account->m_bytes} >
                                           std::tuple{!largest->m_end_known, largest->m_bytes})) {
                largest = account;
            }
        }
        if (largest == nullptr) {
            return;
        }
        largest->m_asked = true;
        m_being_released += largest->m_bytes;
        largest->m_holder.release_memory();
    }
}

} // namespace siskindrift::core
