#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace heatherroute
{

/// The parts of a request that stay the same when its caller sends it again, at any entry and under another request id.
struct request_identity
{
    std::string_view caller; ///< The caller's IP address, or the name by which it authenticated.
    std::string_view method;
    std::string_view host; ///< The host, or the service that is called.
    std::string_view target; ///< With the query.
    std::string_view body;

    auto operator<=>(const request_identity &) const = default;
};

/// Returns a hash of @p identity, which is the same on all entries. It isn't cryptographic. Thread safe.
std::uint64_t fingerprintOf(const request_identity &identity);

/// Returns the form of @p fingerprint in logs. Thread safe.
std::string fingerprintText(std::uint64_t fingerprint);

} // namespace heatherroute
