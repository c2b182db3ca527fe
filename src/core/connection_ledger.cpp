#include "siskindrift/core/connection_ledger.h"

namespace siskindrift::core {

namespace {

const boottime_clock system_clock;

} // namespace

connection_ledger::connection_ledger(std::size_t limit) : connection_ledger(limit, system_clock) {}

bool connection_ledger::admit(connection_kind kind)
{
    const auto now = m_clock.now();
    const std::lock_guard lock{m_mutex};
    const auto limit = kind == connection_kind::external ? m_limit - m_limit / 4 : m_limit;
    return m_open - m_closing < limit || close_one(false, now) || close_one(true, now);
}

bool connection_ledger::close_one(bool received_before, time_point now)
{
    const auto first = m_waiting.lower_bound({received_before, time_point::min(), nullptr});
    if (first == m_waiting.end() || std::get<0>(*first) != received_before ||
        now - std::get<1>(*first) < patience) {
        return false;
    }
    auto& slot = *std::get<2>(*first);
    slot.leave_waiting();
    slot.m_asked = true;
    ++m_closing;
    slot.m_holder->close_waiting();
    return true;
}

std::size_t connection_ledger::open() const
{
    const std::lock_guard lock{m_mutex};
    return m_open;
}

connection_slot::connection_slot(connection_ledger& ledger, connection_holder* holder)
    : m_ledger(ledger), m_holder(holder)
{
    const std::lock_guard lock{m_ledger.m_mutex};
    ++m_ledger.m_open;
}

connection_slot::~connection_slot()
{
    const std::lock_guard lock{m_ledger.m_mutex};
    leave_waiting();
    --m_ledger.m_open;
    if (m_asked) {
        --m_ledger.m_closing;
    }
}

void connection_slot::begin_waiting()
{
    const auto now = m_ledger.m_clock.now();
    const std::lock_guard lock{m_ledger.m_mutex};
    if (m_holder == nullptr || m_waiting || m_asked) {
        return;
    }
    m_waiting = true;
    m_waiting_since = now;
    m_ledger.m_waiting.insert({m_received, m_waiting_since, this});
}

void connection_slot::end_waiting()
{
    const std::lock_guard lock{m_ledger.m_mutex};
    leave_waiting();
    m_received = true;
    if (m_asked) { // too late to close it
        m_asked = false;
        --m_ledger.m_closing;
    }
}

void connection_slot::leave_waiting()
{
    if (m_waiting) {
        m_ledger.m_waiting.erase({m_received, m_waiting_since, this});
        m_waiting = false;
    }
}

} // namespace siskindrift::core
