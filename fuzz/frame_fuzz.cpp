// Fuzzes the decoding of inner frames: any input either decodes to an envelope, which can be
// encoded and decoded again, or is rejected; a rejected header has a reason.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "siskindrift/wire/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace siskindrift;
    const std::string bytes{reinterpret_cast<const char*>(data), size};
    core::reason reason = core::reason::none;
    if (!wire::decode_header(bytes, reason) && reason == core::reason::none) {
        std::abort();
    }
    if (const auto message = wire::decode_payload(bytes)) {
        const auto encoded = wire::encode_frame(*message);
        if (!wire::decode_payload(std::string_view{encoded}.substr(wire::frame_header_bytes))) {
            std::abort();
        }
    }
    (void)wire::decode_table<wire::state_snapshot_t>(bytes);
    (void)wire::decode_table<wire::log_record_t>(bytes);
    return 0;
}
