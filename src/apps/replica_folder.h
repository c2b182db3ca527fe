// The data folder of a control replica, opened and read.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "siskindrift/log/data_folder.h"
#include "siskindrift/log/replica_store.h"

namespace siskindrift::apps {

/// A data folder that this process holds, and the store in it.
class replica_folder {
public:
    /// Opens the folder at @p path and recovers what it holds, with a log line for either.
    /// @return none, logged with its reason, when it can't be used.
    static std::unique_ptr<replica_folder> open(const std::string& path,
                                                std::optional<consensus::recovered_state>& state);

    [[nodiscard]] core::replica_id identity() const { return m_folder.identity(); }
    [[nodiscard]] log::replica_store& store() { return m_store; }

private:
    explicit replica_folder(log::data_folder folder)
        : m_folder(std::move(folder)), m_store(m_folder.path(), m_opener)
    {
    }

    log::data_folder m_folder;
    log::system_file_opener m_opener;
    log::replica_store m_store;
};

} // namespace siskindrift::apps
