#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute
{

inline constexpr std::size_t kMaxSharedParts = 16;

/// The parts of a request that reach the upstream and stay the same when it is sent again, by any caller, at any entry and under another
/// request id.
struct request_identity
{
    std::string_view credentials; ///< By which the upstream knows the caller; empty when the request has none.
    std::string_view method;
    std::string_view host; ///< The host, or the service that is called.
    std::string_view target; ///< With the query.
    std::string_view body;

    auto operator<=>(const request_identity &) const = default;
};

/// By what a request is known again, whole or in part.
struct request_fingerprints
{
    std::uint64_t fingerprint = 0; ///< Of the whole request.
    std::vector<std::uint64_t> parts; ///< Of the parts of its prompt that other requests may share, in order; at most kMaxSharedParts.

    auto operator<=>(const request_fingerprints &) const = default;
};

/// Returns a hash of @p identity, which is the same on all entries. It isn't cryptographic. Thread safe.
std::uint64_t fingerprintOf(const request_identity &identity);

/// Returns a hash of each of the shared @p parts of a prompt for @p model, which is the same on all entries. Thread safe.
std::vector<std::uint64_t> fingerprintsOf(std::string_view model, const std::vector<std::string> &parts);

/// Returns the form of @p fingerprint in logs. Thread safe.
std::string fingerprintText(std::uint64_t fingerprint);
/// Returns the form of several in logs, separated by commas. Thread safe.
std::string fingerprintsText(const std::vector<std::uint64_t> &fingerprints);

} // namespace heatherroute
