// The data folder of a control replica, opened and read.
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

/// A data folder that this process holds, and the store in it.
class replica_storage {
public:
    /// Opens the folder at @p path and recovers what it holds, with a log line for either.
    /// @return none, logged with its reason, when it can't be used.
    static std::unique_ptr<replica_storage> open(const std::string& path,
                                                 std::optional<consensus::recovered_state>& state);

    [[nodiscard]] core::replica_id identity() const { return m_folder.identity(); }

    /// Sends messages of the consensus protocol.
    using send_function = std::function<void(const std::vector<consensus::outgoing_message>&)>;

    /// Runs one cycle of @p core: what may leave before the disk, the disk, the rest.
    /// @return false, logged, when the disk failed; what is on it is then unknown.
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
