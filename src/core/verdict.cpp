#include "siskindrift/core/verdict.h"

namespace siskindrift::core {

std::string_view to_string(verdict value)
{
    switch (value) {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}

std::string_view to_string(reason value)
{
    switch (value) {
#define SISKINDRIFT_REASON_TEXT(name)                                                              \
    case reason::name:                                                                             \
        return #name;
        SISKINDRIFT_REASONS(SISKINDRIFT_REASON_TEXT)
#undef SISKINDRIFT_REASON_TEXT
    case reason::count:
        break;
    }
    return "none";
}

std::optional<verdict> verdict_from(std::uint8_t number)
{
    if (number > static_cast<std::uint8_t>(verdict::may_have_run)) {
        return std::nullopt;
    }
    return static_cast<verdict>(number);
}

reason reason_from(std::uint16_t number)
{
    return number < reason_count ? static_cast<reason>(number) : reason::none;
}

} // namespace siskindrift::core
