#include "replica_storage.h"

#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {

namespace {

constexpr core::milliseconds snapshot_retry_interval{300};

} // namespace

std::unique_ptr<replica_storage>
replica_storage::open(const std::string& path, std::optional<consensus::recovered_state>& state,
                      std::uint64_t max_segment_bytes, const core::clock& time)
{
    core::error_message error;
    auto folder = log::data_folder::open(path, core::random_nonzero(), error);
    if (!folder) {
        observe::error("data_folder_refused", {{"reason", error.text()}});
        return nullptr;
    }
    std::unique_ptr<replica_storage> storage{
        new replica_storage{std::move(*folder), max_segment_bytes, time}};
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
                                {"log_bytes", storage->m_store.segment_bytes()},
                                {"cut_bytes", report.cut_bytes}});
    return storage;
}

storage_result replica_storage::run_cycle(control::control_core& core, const send_function& send)
{
    core::error_message error;
    if (!retry_snapshot(core.raft())) {
        return storage_result::failed;
    }
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
    if (m_store.segment_bytes() > m_max_segment_bytes && !m_unstored) {
        core.request_compaction();
    }
    auto snapshot = core.apply_ready(ready);
    if (snapshot && !store_snapshot(std::move(snapshot), core.raft())) {
        return storage_result::failed;
    }
    return storage_result::done;
}

bool replica_storage::store_snapshot(std::shared_ptr<const consensus::snapshot> snapshot,
                                     const consensus::raft_node& node)
{
    core::error_message error;
    const auto log_bytes = m_store.segment_bytes();
    if (m_store.store_snapshot(*snapshot, node, error)) {
        observe::info("snapshot_stored", {{"entry", snapshot->last_index},
                                          {"bytes", snapshot->state.size()},
                                          {"log_bytes", log_bytes}});
        m_unstored.reset();
        return true;
    }
    if (!m_store.can_retry()) {
        observe::error("storage_failed", {{"reason", error.text()}});
        return false;
    }
    if (!m_unstored) {
        observe::error("snapshot_not_stored", {{"reason", error.text()}, {"log_bytes", log_bytes}});
    }
    m_unstored = std::move(snapshot);
    m_snapshot_retry_at = m_clock.now() + snapshot_retry_interval;
    return true;
}

bool replica_storage::retry_snapshot(const consensus::raft_node& node)
{
    if (!m_unstored || m_clock.now() < m_snapshot_retry_at) {
        return true;
    }
    if (node.log().base_index() != m_unstored->last_index) {
        m_unstored.reset(); // the leader has sent a later one
        return true;
    }
    return store_snapshot(m_unstored, node);
}

} // namespace siskindrift::apps
