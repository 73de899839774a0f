#include "heatherroute/request_fingerprint.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace heatherroute
{

std::uint64_t fingerprintOf(const request_identity &identity)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : {identity.credentials, identity.method, identity.host, identity.target, identity.body}) {
        // The previous hash as the seed keeps the parts apart.
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    }
    return hash;
}

std::vector<std::uint64_t> fingerprintsOf(std::string_view model, const std::vector<std::string> &parts)
{
    const std::uint64_t seed = XXH3_64bits(model.data(), model.size());
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(parts.size());
    for (const std::string &part : parts) {
        fingerprints.push_back(XXH3_64bits_withSeed(part.data(), part.size(), seed));
    }
    return fingerprints;
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

std::string fingerprintsText(const std::vector<std::uint64_t> &fingerprints)
{
    std::string text;
    for (const std::uint64_t fingerprint : fingerprints) {
        text += (text.empty() ? "" : ",") + fingerprintText(fingerprint);
    }
    return text;
}

} // namespace heatherroute
