// Fuzzes the mapping of HTTP requests: any input yields a request or a refusal, never a crash.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "siskindrift/requests/request.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace siskindrift;
    const std::string text{reinterpret_cast<const char*>(data), size};
    const auto split = text.find('\n');
    requests::raw_request raw;
    raw.method = "POST";
    raw.target = split == std::string::npos ? "/v1/completions" : text.substr(0, split);
    raw.body = split == std::string::npos ? text : text.substr(split + 1);
    raw.deadline_ms = raw.body.substr(0, 5);
    requests::refusal refusal;
    for (const bool with_header : {false, true}) {
        if (!with_header) {
            raw.deadline_ms.clear();
        }
        const auto request = requests::parse_request(raw, refusal);
        if (!request &&
            (refusal.outcome.verdict != core::verdict::not_run || refusal.status < 400)) {
            std::abort(); // a refusal by the parser must be an error status with not_run
        }
        if (request && request->kind != requests::route::service) {
            (void)requests::resume_body(request->body, request->kind == requests::route::chat,
                                        " t1", 1);
        }
    }
    requests::sse_data_splitter splitter;
    for (const auto& event : splitter.feed(text)) {
        (void)requests::parse_model_event(event);
    }
    return 0;
}
