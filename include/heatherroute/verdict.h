#pragma once

#include <string_view>

namespace heatherroute
{

/**
 * Says whether a request may have run on an upstream.
 *
 * Every failure carries one from the lowest layer up to the caller's answer, because only a request that was certainly
 * not run may be sent again when it is not idempotent. The order of the values is the order of certainty: combining two
 * attempts of one request takes the larger.
 */
enum class verdict {
    NotRun, ///< No byte that could start the request left for an upstream.
    MayHaveRun, ///< The request may have started; its outcome is unknown.
    Ran, ///< The upstream confirmed that the request ran.
};

/// The name used in answers, logs and metrics. Thread safe.
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

/// The verdict over two attempts of the same request. Thread safe.
constexpr verdict combine(verdict a, verdict b) noexcept
{
    return a < b ? b : a;
}

} // namespace heatherroute
