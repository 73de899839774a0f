#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "heatherroute/time.h"

namespace heatherroute
{

/// What is known of a prompt without its text, as the caller declares it.
struct prompt_facts
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; ///< The caller's estimate; right at the median, often far off.

    auto operator<=>(const prompt_facts &) const = default;
};

/**
 * What routing needs to know of a request that is passed on as opaque bytes.
 *
 * Immutable value; safe to share between threads.
 */
struct relay_request
{
    std::string id; ///< Chosen by the caller; new for each of its tries.
    std::string host; ///< Lower case, without a port.
    std::string path; ///< Without the query.
    std::optional<duration> timeLeft; ///< How long the caller waits, from the request's arrival.
    std::optional<prompt_facts> prompt; ///< Set for generations.

    auto operator<=>(const relay_request &) const = default;
};

} // namespace heatherroute
