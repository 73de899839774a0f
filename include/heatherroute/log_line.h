#pragma once

#include "heatherroute/verdict.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heatherroute
{

/// The severity of a log line.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// One named value of a log line.
struct log_field
{
    std::string key; ///< Letters, digits and `_`.
    std::string value; ///< Any bytes; escaped when written.

    auto operator<=>(const log_field &) const = default;
};

/**
 * One event for the log, as a value.
 *
 * The core emits it as an action, so that deciding what to log needs no input or output; the shell writes it. Safe to copy
 * and to read from several threads.
 */
struct log_line
{
    log_level level = log_level::Info;
    std::string event; ///< What happened, as one stable word such as `request_refused`.
    std::vector<log_field> fields; ///< In the order of output.

    bool operator==(const log_line &) const = default;
};

/// The field that names a request, under the same key in every line. Thread safe.
inline log_field requestIdField(std::string requestId)
{
    return {"request_id", std::move(requestId)};
}

/// The field that names an upstream, under the same key in every line. Thread safe.
inline log_field upstreamField(std::string upstreamName)
{
    return {"upstream", std::move(upstreamName)};
}

/// The field with the verdict of a failed request, under the same key in every line. Thread safe.
inline log_field verdictField(verdict value)
{
    return {"verdict", std::string(toString(value))};
}

/// The name used in settings, logs and dumps. Thread safe.
std::string_view toString(log_level value) noexcept;

/// The level that @p text names; empty for any other text. Thread safe.
std::optional<log_level> parseLogLevel(std::string_view text) noexcept;

} // namespace heatherroute
