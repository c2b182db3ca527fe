#include "replica_folder.h"

#include "siskindrift/core/random.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {

std::unique_ptr<replica_folder>
replica_folder::open(const std::string& path, std::optional<consensus::recovered_state>& state)
{
    core::last_reason why;
    auto folder = log::data_folder::open(path, core::fresh_number(), why);
    if (!folder) {
        observe::error("data_folder_refused", {{"reason", why.text()}});
        return nullptr;
    }
    std::unique_ptr<replica_folder> opened{new replica_folder{std::move(*folder)}};
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

} // namespace siskindrift::apps
