// Functions and types shared by the commands of siskindrift-ctl.
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

/// Arguments of a command, without its name.
using argument_list = std::vector<std::string>;

/// State of one run of siskindrift-ctl.
struct ctl_session {
    const ctl_options& options;
    control_client control;
};

/// Prints @p text to the standard error stream and returns @p status.
exit_status fail(const std::string& text, exit_status status = exit_status::failed);

/// Returns the JSON value in a file, or prints an error and returns none.
[[nodiscard]] std::optional<boost::json::value> read_document(const std::string& path);
/// Returns the status reported by the leader or, if no replica is the leader, by the replica with
/// the highest term. Prints an error and returns none if no control replica answers.
[[nodiscard]] std::optional<wire::status_page_t> read_status(ctl_session& session);
/// Returns the whole configuration, or prints an error and returns none.
[[nodiscard]] std::optional<wire::config_page_t> read_configuration(ctl_session& session);
/// Converts a configuration page to a map from keys to values.
[[nodiscard]] config::config_map to_config_map(const wire::config_page_t& page);

/// Proposes a configuration change and prints the result.
/// @param expected_revision revision that the change is based on; if the configuration has another
///        revision, the result is `exit_status::conflict`.
exit_status apply_change(ctl_session& session, std::vector<wire::config_operation_t> operations,
                         std::uint64_t expected_revision);
/// Returns the operation that sets @p key to @p value.
[[nodiscard]] wire::config_operation_t make_set_operation(const std::string& key,
                                                          const boost::json::value& value);

// Commands on the configuration (ctl_config.cpp).
/// Prints, validates or applies questionnaires.
exit_status run_questionnaire(ctl_session& session, const argument_list& arguments);
/// Runs `list`, `show`, `create`, `change` or `retire` on the entries whose keys begin with
/// @p prefix.
exit_status run_entries(ctl_session& session, const std::string& prefix,
                        const argument_list& arguments);
/// Lists, creates or retires versions of an adapter.
exit_status run_version(ctl_session& session, const argument_list& arguments);
/// Prints or replaces the whole configuration, or prints its history.
exit_status run_config(ctl_session& session, const argument_list& arguments);

// Commands on a running deployment (ctl_operate.cpp).
exit_status run_status(ctl_session& session, const argument_list& arguments);
exit_status run_explain(ctl_session& session, const argument_list& arguments);
exit_status run_drain(ctl_session& session, const argument_list& arguments);
/// Forms the control cluster, or adds, replaces or removes one of its replicas.
exit_status run_control(ctl_session& session, const argument_list& arguments);

// Commands on local files (ctl_local.cpp).
/// Prints the state that a data folder of a control replica contains.
exit_status run_log(ctl_session& session, const argument_list& arguments);
exit_status run_check_settings(ctl_session& session, const argument_list& arguments);
/// Validates a file that contains the deployment document of the platform.
exit_status run_check_document(ctl_session& session, const argument_list& arguments);
/// Prints the log lines below the folder `options.logs` that concern one request.
/// @param request id of the request.
exit_status explain_from_logs(const ctl_options& options, const std::string& request);

} // namespace siskindrift::apps
