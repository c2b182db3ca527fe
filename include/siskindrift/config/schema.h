// Checks JSON documents against a schema and reports every fault at once.
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
    std::string pointer; ///< JSON pointer to the place.
    std::string found;   ///< What stands there, shortened.
    std::string allowed; ///< What is allowed there.
};

/// Returns all faults of @p document under @p schema; empty when it conforms.
[[nodiscard]] std::vector<schema_fault> check_against(std::string_view schema,
                                                      const boost::json::value& document);

/// Parses JSON of bounded depth. @p why says what is wrong when none is returned.
[[nodiscard]] std::optional<boost::json::value> parse_json(std::string_view text,
                                                           core::error_message& why);

/// Returns one line per fault, for people.
[[nodiscard]] std::string describe(const std::vector<schema_fault>& faults);

} // namespace siskindrift::config
