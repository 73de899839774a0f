#pragma once

#include <string_view>

namespace heatherroute
{

/**
 * Tells whether a request may have run on an upstream.
 *
 * Every failure carries a verdict from the lowest layer up to the caller's answer, because a request that is not idempotent
 * may be retried only if it certainly did not run. The values are ordered by how certain it is that the request ran; the
 * verdict over two attempts of one request is the larger of both.
 */
enum class verdict {
    NotRun, ///< No byte that could start the request was sent to an upstream, or the upstream confirmed that it did not start it.
    MayHaveRun, ///< The request may have started; its outcome is unknown.
    Ran, ///< The upstream confirmed that the request ran.
};

/// Returns the name used in answers, logs and metrics. Thread safe.
constexpr std::string_view toString(verdict value) noexcept
{
    switch (value) {
    case verdict::NotRun:
        return "not_run";
    case verdict::MayHaveRun:
        return "may_have_run";
    case verdict::Ran:
        return "ran";
    }
    return "may_have_run";
}

/// Returns the verdict over two attempts of the same request. Thread safe.
constexpr verdict combine(verdict a, verdict b) noexcept
{
    return a < b ? b : a;
}

} // namespace heatherroute
