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
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; ///< The caller's estimate; right at the median, often far off.
    std::string ownPart; ///< Names the part of the prompt that belongs to this request or session alone.

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
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has from an earlier try.

    auto operator<=>(const relay_request &) const = default;
};

} // namespace heatherroute
