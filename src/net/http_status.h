#pragma once

/// HTTP status codes used by the router.
namespace heatherroute::net::status
{

inline constexpr unsigned kFirst = 100; ///< The lowest valid one.
inline constexpr unsigned kSwitchingProtocols = 101;
inline constexpr unsigned kOk = 200;
inline constexpr unsigned kFirstRedirect = 300;
inline constexpr unsigned kFirstClientError = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kConflict = 409;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kFirstServerError = 500;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;
inline constexpr unsigned kLast = 599; ///< The highest valid one.

/// Whether @p code indicates success (2xx). Thread safe.
constexpr bool isSuccess(unsigned code) noexcept
{
    return code >= kOk && code < kFirstRedirect;
}

} // namespace heatherroute::net::status
