#include "siskindrift/wire/frame.h"

#include <cstring>

namespace siskindrift::wire {

std::string encode_frame(const envelope_t& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(envelope::Pack(builder, &message));
    const auto length = static_cast<std::uint32_t>(builder.GetSize());
    std::string frame(frame_header_bytes, '\0');
    const std::uint32_t wire_length = flatbuffers::EndianScalar(length);
    const std::uint16_t wire_version = flatbuffers::EndianScalar(protocol_version);
    std::memcpy(frame.data(), &wire_length, sizeof wire_length);
    std::memcpy(frame.data() + sizeof wire_length, &wire_version, sizeof wire_version);
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), length);
    return frame;
}

std::optional<frame_header> decode_header(std::string_view bytes, core::reason& why)
{
    why = core::reason::malformed_frame;
    if (bytes.size() < frame_header_bytes) {
        return std::nullopt;
    }
    frame_header header;
    std::memcpy(&header.length, bytes.data(), sizeof header.length);
    std::memcpy(&header.version, bytes.data() + sizeof header.length, sizeof header.version);
    header.length = flatbuffers::EndianScalar(header.length);
    header.version = flatbuffers::EndianScalar(header.version);
    if (header.version != protocol_version) {
        why = core::reason::unknown_version;
        return std::nullopt;
    }
    if (header.length == 0 || header.length > max_payload_bytes) {
        return std::nullopt;
    }
    return header;
}

std::optional<envelope_t> decode_payload(std::string_view payload)
{
    return decode_table<envelope_t>(payload);
}

} // namespace siskindrift::wire
