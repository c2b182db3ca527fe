// Validates JSON documents against a JSON schema and reports all faults.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskindrift/core/error_message.h"

namespace siskindrift::config {

/// One fault of a document.
struct schema_fault {
    std::string pointer; ///< JSON pointer to the invalid value.
    std::string found;   ///< The invalid value as JSON, shortened.
    std::string allowed; ///< Description of the values that are allowed.
};

/// Validates @p document against @p schema, a JSON schema that must be valid. Returns all faults;
/// empty when the document conforms.
[[nodiscard]] std::vector<schema_fault> validate_schema(std::string_view schema,
                                                        const boost::json::value& document);

/// Parses JSON of limited nesting depth. Returns none on failure, with the reason in @p why.
[[nodiscard]] std::optional<boost::json::value> parse_json(std::string_view text,
                                                           core::error_message& why);

/// Returns a message with one line per fault.
[[nodiscard]] std::string describe(const std::vector<schema_fault>& faults);

} // namespace siskindrift::config
