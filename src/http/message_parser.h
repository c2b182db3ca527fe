// Parser of HTTP messages whose header fields may have any length.
#pragma once

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

#include "siskindrift/http/server.h"

namespace siskindrift::http {

/// Parses requests or responses into strings.
///
/// The library's own container of fields throws an exception for a field of 64 KiB or more, so the
/// limit of a header could not be set above that.
template <bool IsRequest>
class message_parser final : public boost::beast::http::basic_parser<IsRequest> {
public:
    /// Sets the limit of the header in bytes.
    void limit_header(std::size_t bytes)
    {
        constexpr std::size_t largest = std::numeric_limits<std::uint32_t>::max();
        this->header_limit(static_cast<std::uint32_t>(std::min(bytes, largest)));
    }
    /// Sets how many bytes of the body are kept; the rest stays in the buffer of the caller, and
    /// the error `need_buffer` reports it.
    void keep_body(std::size_t bytes) { m_kept_body = bytes; }

    [[nodiscard]] const std::string& method() const { return m_method; }
    [[nodiscard]] const std::string& target() const { return m_target; }
    [[nodiscard]] unsigned status() const { return m_status; }
    /// Returns the version as 10 or 11.
    [[nodiscard]] int version() const { return m_version; }
    [[nodiscard]] header_list& headers() { return m_headers; }
    [[nodiscard]] std::string& body() { return m_body; }

    /// Returns the first value of a header field, or an empty string.
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        const auto found = std::find_if(m_headers.begin(), m_headers.end(), [&](const auto& item) {
            return boost::beast::iequals(item.first, name);
        });
        return found == m_headers.end() ? std::string_view{} : std::string_view{found->second};
    }

private:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb, string_view method, string_view target,
                         int version, error_code&) override
    {
        m_method.assign(method.data(), method.size());
        m_target.assign(target.data(), target.size());
        m_version = version;
    }
    void on_response_impl(int code, string_view, int version, error_code&) override
    {
        m_status = static_cast<unsigned>(code);
        m_version = version;
    }
    // Fields of a trailer are no part of the header, so nobody may rely on their checks.
    void on_field_impl(boost::beast::http::field, string_view name, string_view value,
                       error_code&) override
    {
        if (!m_header_ended) {
            m_headers.emplace_back(std::string{name.data(), name.size()},
                                   std::string{value.data(), value.size()});
        }
    }
    void on_header_impl(error_code&) override { m_header_ended = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override
    {
        m_body.reserve(std::min<std::uint64_t>(length.value_or(0), m_kept_body));
    }
    std::size_t on_body_impl(string_view data, error_code& error) override
    {
        const auto taken =
            std::min(data.size(), m_kept_body - std::min(m_kept_body, m_body.size()));
        m_body.append(data.data(), taken);
        if (taken < data.size()) {
            error = boost::beast::http::error::need_buffer;
        }
        return taken;
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view data, error_code& error) override
    {
        return on_body_impl(data, error);
    }
    void on_finish_impl(error_code&) override {}

    std::string m_method;
    std::string m_target;
    unsigned m_status = 0;
    int m_version = 0;
    bool m_header_ended = false;
    header_list m_headers;
    std::string m_body;
    std::size_t m_kept_body = std::numeric_limits<std::size_t>::max();
};

} // namespace siskindrift::http
