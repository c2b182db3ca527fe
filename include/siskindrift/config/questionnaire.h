// A team's questionnaire and the configuration generated from it.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/config/schema.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::config {

/// Validates a questionnaire against its schema and, if it conforms, for duplicate adapter names
/// and contradictory priorities. Returns all faults found.
[[nodiscard]] std::vector<schema_fault> check_questionnaire(const boost::json::value& answers);

/// Returns the operations that create or change the team of a valid questionnaire. The result
/// contains the hashes of the API keys, never the keys.
/// @param answers must have no faults according to `check_questionnaire`.
[[nodiscard]] std::vector<wire::config_operation_t>
generate_configuration(const boost::json::value& answers);

/// Returns the weight of load stalls against batch efficiency that the answers request, 0 to 1.
[[nodiscard]] double stall_weight(const boost::json::value& answers);

/// Returns a valid questionnaire in JSON as a template.
[[nodiscard]] std::string sample_questionnaire();

} // namespace siskindrift::config
