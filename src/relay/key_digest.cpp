#include "heatherroute/key_digest.h"

#include <sodium.h>

#include <array>

namespace heatherroute
{

namespace
{

constexpr std::size_t kDigestBytes = 32;
static_assert(kDigestBytes >= crypto_generichash_BYTES_MIN && kDigestBytes <= crypto_generichash_BYTES_MAX);

} // namespace

key_digest makeKeyDigest(std::string_view key)
{
    std::array<unsigned char, kDigestBytes> digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    return {digest.begin(), digest.end()};
}

std::string keyDigestText(const key_digest &digest)
{
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), reinterpret_cast<const unsigned char *>(digest.data()), digest.size());
    text.pop_back();
    return text;
}

std::optional<key_digest> parseKeyDigest(std::string_view text)
{
    key_digest digest(kDigestBytes, '\0');
    std::size_t size = 0;
    const char *end = nullptr;
    const int status = sodium_hex2bin(reinterpret_cast<unsigned char *>(digest.data()), digest.size(), text.data(), text.size(), nullptr, &size, &end);
    const bool isWhole = status == 0 && size == kDigestBytes && end == text.data() + text.size();
    return isWhole ? std::optional(std::move(digest)) : std::nullopt;
}

} // namespace heatherroute
