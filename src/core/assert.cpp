#include "heatherroute/assert.h"

#include <cstdio>
#include <cstdlib>

namespace heatherroute::detail
{

void invariantFailed(const char *guarantee, const char *condition, const char *file, int line) noexcept
{
    std::fprintf(stderr, "invariant violated: %s: %s at %s:%d\n", guarantee, condition, file, line);
    std::fflush(stderr);
    std::abort();
}

} // namespace heatherroute::detail
