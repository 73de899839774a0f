#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/key_digest.h"
#include "heatherroute/request_fingerprint.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// The token counts of a prompt as declared by the caller; the text itself is not read.
struct prompt_facts
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; ///< The caller's estimate; correct at the median, but often far off.

    auto operator<=>(const prompt_facts &) const = default;
};

/**
 * The data of a request that routing needs; the request itself is forwarded as opaque bytes.
 *
 * Immutable value; safe to share between threads.
 */
struct relay_request
{
    std::string id; ///< Chosen by the caller; differs for each attempt of the caller.
    std::string host; ///< Lower case, without a port.
    std::string path; ///< Without the query.
    std::optional<duration> timeLeft; ///< How long the caller waits, counted from the request's arrival.
    std::optional<prompt_facts> prompt; ///< Set for generation requests.
    std::string model; ///< Empty if the caller names none.
    /// Ids of the parts of the prompt that other requests may share, in order and at most kMaxSharedParts, the deepest ones. The last part
    /// of a prompt belongs to the request or its session, so it isn't among them.
    std::vector<std::string> sharedParts;
    /// Set when the caller takes up a stream that was broken off: id of the attempt that brought its first event; empty if it names none.
    std::optional<std::string> resumes;
    std::string lastEvent; ///< Id of the last event that this caller has.
    std::optional<key_digest> key; ///< Of the caller's API key, if the request has one.

    auto operator<=>(const relay_request &) const = default;
};

} // namespace heatherroute
