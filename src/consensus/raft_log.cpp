#include "siskindrift/consensus/raft_log.h"

#include <utility>

namespace siskindrift::consensus {

void raft_log::reset(std::uint64_t base_index, std::uint64_t base_term)
{
    m_base_index = base_index;
    m_base_term = base_term;
    m_bytes = 0;
    m_entries.clear();
}

std::uint64_t raft_log::last_term() const
{
    return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<std::uint64_t> raft_log::term_at(std::uint64_t index) const
{
    if (index == m_base_index) {
        return m_base_term;
    }
    if (index < m_base_index || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const wire::log_entry_t& raft_log::at(std::uint64_t index) const
{
    return m_entries.at(index - m_base_index - 1);
}

void raft_log::append(wire::log_entry_t entry)
{
    m_bytes += entry.data.size();
    m_entries.push_back(std::move(entry));
}

void raft_log::truncate_from(std::uint64_t index)
{
    while (last_index() >= index && !m_entries.empty()) {
        m_bytes -= m_entries.back().data.size();
        m_entries.pop_back();
    }
}

void raft_log::compact_to(std::uint64_t index)
{
    const auto term = term_at(index);
    if (!term) {
        return;
    }
    while (m_base_index < index) {
        m_bytes -= m_entries.front().data.size();
        m_entries.pop_front();
        ++m_base_index;
    }
    m_base_term = *term;
}

} // namespace siskindrift::consensus
