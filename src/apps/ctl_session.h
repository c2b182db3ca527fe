// What the commands of siskindrift-ctl share.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl_commands.h"
#include "siskindrift/config/catalog.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::apps {

using words = std::vector<std::string>;

/// One run of the program.
struct session {
    const ctl_options& options;
    control_connection control;
};

/// Prints @p text as an error and returns @p status.
exit_status fail(const std::string& text, exit_status status = exit_status::failed);

/// Returns the JSON in a file; prints why when there is none.
[[nodiscard]] std::optional<boost::json::value> read_document(const std::string& path);
/// Returns the status of the control replica that knows best; prints why when none answers.
[[nodiscard]] std::optional<wire::status_page_t> read_status(session& at);
/// Returns the whole configuration; prints why when it can't be read.
[[nodiscard]] std::optional<wire::config_page_t> read_configuration(session& at);
[[nodiscard]] config::config_map map_of(const wire::config_page_t& page);

/// Proposes a change and prints what became of it.
exit_status apply(session& at, std::vector<wire::config_operation_t> operations,
                  std::uint64_t expected_revision);
/// Returns the operation that sets @p key.
[[nodiscard]] wire::config_operation_t put_operation(const std::string& key,
                                                     const boost::json::value& value);

// Commands on the configuration (ctl_config.cpp).
exit_status run_questionnaire(session& at, const words& rest);
exit_status run_entries(session& at, const std::string& prefix, const words& rest);
exit_status run_version(session& at, const words& rest);
exit_status run_config(session& at, const words& rest);

// Commands on a running deployment (ctl_operate.cpp).
exit_status run_status(session& at, const words& rest);
exit_status run_explain(session& at, const words& rest);
exit_status run_drain(session& at, const words& rest);
exit_status run_control(session& at, const words& rest);

// Commands on files of this machine (ctl_local.cpp).
exit_status run_log(session& at, const words& rest);
exit_status run_check_settings(session& at, const words& rest);
exit_status run_check_document(session& at, const words& rest);
/// Tells what logs below `options.logs` say of one request.
exit_status explain_from_logs(const ctl_options& options, const std::string& request);

} // namespace siskindrift::apps
