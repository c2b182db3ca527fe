// Fuzzes the settings parsers: any input yields settings or an error message.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "siskindrift/config/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace siskindrift;
    const std::string text{reinterpret_cast<const char*>(data), size};
    core::error_message error;
    if (!config::read_entry_settings(text, error) && error.text().empty()) {
        std::abort();
    }
    if (!config::read_control_settings(text, error) && error.text().empty()) {
        std::abort();
    }
    return 0;
}
