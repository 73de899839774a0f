#include "heatherroute/assert.h"

#include <cstdio>
#include <cstdlib>

namespace heatherroute::detail
{

void invariantFailed(const char *promise, const char *condition, const char *file, int line) noexcept
{
    std::fprintf(stderr, "invariant violated: %s: %s at %s:%d\n", promise, condition, file, line);
    std::fflush(stderr);
    std::abort();
}

} // namespace heatherroute::detail
