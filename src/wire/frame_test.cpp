#include "siskindrift/wire/frame.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::wire;

TEST_GROUP(Frame){};

namespace {

std::string sample_frame()
{
    abandon_t order;
    order.request_id = "vm-1-7-9";
    order.attempt = 2;
    return encode_frame(make_envelope(order));
}

} // namespace

TEST(Frame, DecodesWhatWasEncoded)
{
    const auto frame = sample_frame();
    core::reason why = core::reason::none;
    const auto header = decode_header(frame, why);
    CHECK_TRUE(header.has_value());
    UNSIGNED_LONGS_EQUAL(frame.size() - frame_header_bytes, header->length);
    const auto message = decode_payload(frame.substr(frame_header_bytes));
    CHECK_TRUE(message.has_value());
    STRCMP_EQUAL("vm-1-7-9", message->body.Asabandon()->request_id.c_str());
}

TEST(Frame, RejectsAnotherProtocolVersion)
{
    auto frame = sample_frame();
    frame[4] = 9;
    core::reason why = core::reason::none;
    CHECK_FALSE(decode_header(frame, why).has_value());
    CHECK_TRUE(why == core::reason::unknown_version);
}

TEST(Frame, RejectsALengthAboveTheLimit)
{
    auto frame = sample_frame();
    frame[3] = 0x7F;
    core::reason why = core::reason::none;
    CHECK_FALSE(decode_header(frame, why).has_value());
    CHECK_TRUE(why == core::reason::malformed_frame);
}

TEST(Frame, DoesNotCrashOnTruncatedPayloads)
{
    const auto payload = sample_frame().substr(frame_header_bytes);
    for (std::size_t length = 0; length < payload.size(); ++length) {
        (void)decode_payload(payload.substr(0, length)); // must not crash; verification may fail
    }
    CHECK_FALSE(decode_payload(payload.substr(0, 4)).has_value());
}
