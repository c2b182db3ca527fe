#include "siskindrift/config/schema.h"

#include <boost/json.hpp>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace siskindrift::config {
namespace {

namespace json = boost::json;

constexpr std::size_t max_json_depth = 32;
constexpr std::size_t max_found_characters = 80;

std::string pointer_of(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const auto& step : context) {
        if (step == "<root>") {
            continue;
        }
        const bool bracketed = step.size() > 2 && step.front() == '[' && step.back() == ']';
        pointer += "/" + (bracketed ? step.substr(1, step.size() - 2) : step);
    }
    return pointer;
}

std::string found_at(const json::value& document, const std::string& pointer)
{
    boost::system::error_code error;
    const auto* value = document.find_pointer(pointer, error);
    if (value == nullptr) {
        return "nothing";
    }
    auto text = json::serialize(*value);
    if (text.size() > max_found_characters) {
        text = text.substr(0, max_found_characters) + "...";
    }
    return text;
}

} // namespace

std::vector<schema_fault> validate_schema(std::string_view schema_text, const json::value& document)
{
    const auto schema_document = json::parse(schema_text);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::BoostJsonAdapter{schema_document}, schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(schema, valijson::adapters::BoostJsonAdapter{document}, &results);
    std::vector<schema_fault> faults;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        auto pointer = pointer_of(error.context);
        auto found = found_at(document, pointer);
        faults.push_back({std::move(pointer), std::move(found), error.description});
    }
    return faults;
}

std::optional<json::value> parse_json(std::string_view text, core::error_message& why)
{
    json::parse_options options;
    options.max_depth = max_json_depth;
    boost::system::error_code error;
    auto value = json::parse(text, error, {}, options);
    if (error) {
        why.set("invalid JSON: " + error.message());
        return std::nullopt;
    }
    return value;
}

std::string describe(const std::vector<schema_fault>& faults)
{
    std::string text;
    for (const auto& fault : faults) {
        const auto& place = fault.pointer.empty() ? std::string{"/"} : fault.pointer;
        text += place + ": found " + fault.found + "; " + fault.allowed + "\n";
    }
    return text;
}

} // namespace siskindrift::config
