// Settings: any text gives settings or a reason.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "siskindrift/config/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace siskindrift;
    const std::string text{reinterpret_cast<const char*>(data), size};
    core::error_message why;
    if (!config::read_entry_settings(text, why) && why.text().empty()) {
        std::abort();
    }
    if (!config::read_control_settings(text, why) && why.text().empty()) {
        std::abort();
    }
    return 0;
}
