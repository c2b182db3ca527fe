#include "siskindrift/state/session_table.h"

namespace siskindrift::state {

void session_table::begin_term(const std::map<std::string, wire::vm_info_t>& vms,
                               core::time_point now)
{
    m_sessions.clear();
    for (const auto& [name, vm] : vms) {
        start(name, vm.incarnation, now);
    }
}

void session_table::start(const std::string& vm, std::uint64_t incarnation, core::time_point now)
{
    auto& entry = m_sessions[vm];
    if (entry.incarnation != incarnation) {
        entry = session{};
        entry.incarnation = incarnation;
    }
    entry.expires_at = now + m_options.expiry_delay();
}

bool session_table::renew(const std::string& vm, std::uint64_t incarnation, core::time_point now)
{
    const auto found = m_sessions.find(vm);
    if (found == m_sessions.end() || found->second.incarnation != incarnation ||
        found->second.expired) {
        return false;
    }
    found->second.expires_at = now + m_options.expiry_delay();
    return true;
}

std::vector<wire::expire_vm_t> session_table::take_expired(core::time_point now)
{
    std::vector<wire::expire_vm_t> expired;
    for (auto& [vm, entry] : m_sessions) {
        if (entry.expired || now <= entry.expires_at) {
            continue;
        }
        entry.expired = true;
        wire::expire_vm_t command;
        command.vm = vm;
        command.incarnation = entry.incarnation;
        expired.push_back(std::move(command));
    }
    return expired;
}

void session_table::set_revision(const std::string& vm, std::uint64_t revision)
{
    if (const auto found = m_sessions.find(vm); found != m_sessions.end()) {
        found->second.revision = revision;
    }
}

std::uint64_t session_table::revision_of(const std::string& vm) const
{
    const auto found = m_sessions.find(vm);
    return found == m_sessions.end() ? 0 : found->second.revision;
}

} // namespace siskindrift::state
