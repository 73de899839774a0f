#pragma once

/**
 * Invariant checks that are enabled in every build.
 *
 * When an invariant does not hold, a guarantee to callers may already be violated. The process therefore aborts instead of
 * continuing with an inconsistent state. Thread safe.
 */

namespace heatherroute::detail
{

/// Prints the violated invariant to standard error and aborts. Never returns.
[[noreturn]] void invariantFailed(const char *guarantee, const char *condition, const char *file, int line) noexcept;

} // namespace heatherroute::detail

/// Aborts unless @p condition holds; @p guarantee is the guarantee in docs/PROOF.md that the check protects.
#define HR_INVARIANT(guarantee, condition) \
    ((condition) ? static_cast<void>(0) : ::heatherroute::detail::invariantFailed(guarantee, #condition, __FILE__, __LINE__))

/// Aborts unless @p condition holds; used for preconditions and internal consistency.
#define HR_ASSERT(condition) HR_INVARIANT("internal consistency", condition)
