// Fuzzes the decoders of what upstreams and operators send: any input yields an upstream that
// requests can be sent to, a report, a document or nothing.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "platform/deployment_codec.h"
#include "platform/upstream_codec.h"
#include "siskindrift/fleet/entry_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace siskindrift;
    const std::string text{reinterpret_cast<const char*>(data), size};
    if (const auto upstream = platform::decode_announcement("i-1", text)) {
        if (fleet::entry_error(*upstream)) {
            std::abort();
        }
    }
    (void)platform::decode_report(text);
    core::error_message error;
    if (!platform::decode_deployment(text, error) && error.text().empty()) {
        std::abort();
    }
    error = {};
    if (!platform::decode_adapter_version(text, error) && error.text().empty()) {
        std::abort();
    }
    return 0;
}
