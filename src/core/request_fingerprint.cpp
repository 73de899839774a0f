#include "heatherroute/request_fingerprint.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace heatherroute
{

std::uint64_t fingerprintOf(const request_identity &identity)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : {identity.caller, identity.method, identity.host, identity.target, identity.body}) {
        // The previous hash as the seed keeps the parts apart.
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    }
    return hash;
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

} // namespace heatherroute
