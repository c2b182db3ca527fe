// A team's answers, and the configuration that they generate.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/config/schema.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::config {

/// Returns every fault of a questionnaire, those beyond its schema included.
[[nodiscard]] std::vector<schema_fault> check_questionnaire(const boost::json::value& answers);

/// Returns the operations that create or change the team of a faultless questionnaire.
/// Keys are hashed; their plain text appears nowhere in the result.
[[nodiscard]] std::vector<wire::config_operation_t>
generate_configuration(const boost::json::value& answers);

/// Returns the share of load stalls against batch efficiency that the answers ask for.
[[nodiscard]] double stall_weight(const boost::json::value& answers);

/// Returns a questionnaire to start from.
[[nodiscard]] std::string sample_questionnaire();

} // namespace siskindrift::config
