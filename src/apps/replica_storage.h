// Persistent storage of a control replica.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/control/control_core.h"
#include "siskindrift/log/data_folder.h"
#include "siskindrift/log/replica_store.h"

namespace siskindrift::apps {

/// The data folder of a control replica, locked by this process, and the store in it.
class replica_storage {
public:
    /// Opens and locks the data folder at @p path and recovers the state in it. Logs the result.
    /// @param state receives the recovered state.
    /// @return null if the folder or the store can't be opened; the reason is logged.
    static std::unique_ptr<replica_storage> open(const std::string& path,
                                                 std::optional<consensus::recovered_state>& state);

    /// Returns the id of this replica, which is stored in the data folder.
    [[nodiscard]] core::replica_id identity() const { return m_folder.identity(); }

    /// Sends consensus messages to the other replicas.
    using send_function = std::function<void(const std::vector<consensus::outgoing_message>&)>;

    /// Runs one cycle of @p core: sends the messages that need not wait for the disk, persists the
    /// state, sends the other messages, applies committed entries and stores a snapshot if one is
    /// due.
    /// @return false if the disk failed, which is logged; the contents of the disk are then
    /// unknown.
    bool run_cycle(control::control_core& core, const send_function& send);

private:
    explicit replica_storage(log::data_folder folder)
        : m_folder(std::move(folder)), m_store(m_folder.path(), m_opener)
    {
    }

    log::data_folder m_folder;
    log::system_file_opener m_opener;
    log::replica_store m_store;
};

} // namespace siskindrift::apps
