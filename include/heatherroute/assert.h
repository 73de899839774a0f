#pragma once

/**
 * Invariant checks that stay on in every build.
 *
 * A broken invariant means that a promise to callers may already be broken, so the process ends instead of going on
 * with state it cannot trust. Thread safe.
 */

namespace heatherroute::detail
{

/// Prints the broken invariant to standard error and aborts. Never returns.
[[noreturn]] void invariantFailed(const char *promise, const char *condition, const char *file, int line) noexcept;

} // namespace heatherroute::detail

/// Aborts unless @p condition holds; @p promise names the line of docs/PROOF.md that it guards.
#define HR_INVARIANT(promise, condition) ((condition) ? static_cast<void>(0) : ::heatherroute::detail::invariantFailed(promise, #condition, __FILE__, __LINE__))

/// Aborts unless @p condition holds; for preconditions and internal consistency.
#define HR_ASSERT(condition) HR_INVARIANT("internal consistency", condition)
