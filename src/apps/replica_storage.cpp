#include "replica_storage.h"

#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {

std::unique_ptr<replica_storage>
replica_storage::open(const std::string& path, std::optional<consensus::recovered_state>& state)
{
    core::error_message error;
    auto folder = log::data_folder::open(path, core::random_nonzero(), error);
    if (!folder) {
        observe::error("data_folder_refused", {{"reason", error.text()}});
        return nullptr;
    }
    std::unique_ptr<replica_storage> storage{new replica_storage{std::move(*folder)}};
    log::recovery_report report;
    state = storage->m_store.open(report, error);
    if (!state) {
        observe::error("storage_failed", {{"reason", error.text()}});
        return nullptr;
    }
    if (state->damaged) {
        observe::error("log_damaged", {{"reason", report.damage},
                                       {"advice", "this replica does not vote; replace it"}});
    }
    observe::info("recovered", {{"replica", storage->identity().value()},
                                {"records", report.records},
                                {"cut_bytes", report.cut_bytes}});
    return storage;
}

storage_result replica_storage::run_cycle(control::control_core& core, const send_function& send)
{
    core::error_message error;
    const bool repeated = disk_full();
    auto ready = repeated ? std::move(*m_unwritten) : core.take_ready();
    m_unwritten.reset();
    if (!repeated) {
        send(ready.messages_before_sync);
    }
    if (!m_store.persist(ready, core.raft(), error)) {
        if (!m_store.can_retry()) {
            observe::error("storage_failed", {{"reason", error.text()}});
            return storage_result::failed;
        }
        if (!repeated) {
            observe::error("disk_full", {{"reason", error.text()}});
        }
        m_unwritten = std::move(ready);
        return storage_result::disk_full;
    }
    if (repeated) {
        observe::info("disk_writable", {});
    }
    send(ready.messages_after_sync);
    const auto snapshot = core.apply_ready(ready);
    if (snapshot && !m_store.store_snapshot(*snapshot, core.raft(), error)) {
        if (!m_store.can_retry()) {
            observe::error("storage_failed", {{"reason", error.text()}});
            return storage_result::failed;
        }
        // The log still holds what the snapshot covers.
        observe::error("snapshot_not_stored", {{"reason", error.text()}});
    }
    return storage_result::done;
}

} // namespace siskindrift::apps
