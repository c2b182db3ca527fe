// Fuzzes the questionnaire check: a questionnaire that passes it must generate only entries that
// the configuration accepts.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "siskindrift/config/catalog.h"
#include "siskindrift/config/questionnaire.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace siskindrift;
    core::error_message error;
    const auto document = config::parse_json({reinterpret_cast<const char*>(data), size}, error);
    if (!document || !config::check_questionnaire(*document).empty()) {
        return 0;
    }
    for (const auto& operation : config::generate_configuration(*document)) {
        if (config::check_entry(operation.key, operation.value)) {
            std::abort();
        }
    }
    return 0;
}
