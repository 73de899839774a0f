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
 * One log event, as a value.
 *
 * The core emits it as an action and the embedding program writes it, so that the core performs no I/O. Safe to copy and to
 * read from several threads.
 */
struct log_line
{
    log_level level = log_level::Info;
    std::string event; ///< The event name, a stable identifier such as `request_refused`.
    std::vector<log_field> fields; ///< In output order.

    bool operator==(const log_line &) const = default;
};

/// Returns the field with a request id, which has the same key in every line. Thread safe.
inline log_field requestIdField(std::string requestId)
{
    return {"request_id", std::move(requestId)};
}

/// Returns the field with an upstream name, which has the same key in every line. Thread safe.
inline log_field upstreamField(std::string upstreamName)
{
    return {"upstream", std::move(upstreamName)};
}

/// Returns the field with the verdict of a request, which has the same key in every line. Thread safe.
inline log_field verdictField(verdict value)
{
    return {"verdict", std::string(toString(value))};
}

/// Returns the name used in settings, logs and dumps. Thread safe.
std::string_view toString(log_level value) noexcept;

/// Parses the name of a level; returns nothing for any other text. Thread safe.
std::optional<log_level> parseLogLevel(std::string_view text) noexcept;

} // namespace heatherroute
