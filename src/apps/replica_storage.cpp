#include "replica_storage.h"

#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {

std::unique_ptr<replica_storage>
replica_storage::open(const std::string& path, std::optional<consensus::recovered_state>& state)
{
    core::error_message why;
    auto folder = log::data_folder::open(path, core::random_nonzero(), why);
    if (!folder) {
        observe::error("data_folder_refused", {{"reason", why.text()}});
        return nullptr;
    }
    std::unique_ptr<replica_storage> opened{new replica_storage{std::move(*folder)}};
    log::recovery_report report;
    state = opened->m_store.open(report, why);
    if (!state) {
        observe::error("storage_failed", {{"reason", why.text()}});
        return nullptr;
    }
    if (state->damaged) {
        observe::error("log_damaged", {{"reason", report.damage},
                                       {"advice", "this replica does not vote; replace it"}});
    }
    observe::info("recovered", {{"replica", opened->identity().value()},
                                {"records", report.records},
                                {"cut_bytes", report.cut_bytes}});
    return opened;
}

bool replica_storage::run_cycle(control::control_core& core, const send_function& send)
{
    core::error_message why;
    const auto work = core.take_ready();
    send(work.messages_before_sync);
    if (!m_store.persist(work, core.raft(), why)) {
        observe::error("storage_failed", {{"reason", why.text()}});
        return false;
    }
    send(work.messages_after_sync);
    const auto made = core.apply_ready(work);
    if (made && !m_store.store_snapshot(*made, core.raft(), why)) {
        observe::error("storage_failed", {{"reason", why.text()}});
        return false;
    }
    return true;
}

} // namespace siskindrift::apps
