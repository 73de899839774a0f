#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace heatherroute
{

/// The digest of a caller's API key, as makeKeyDigest() returns it. Keys themselves are neither kept nor logged.
using key_digest = std::string;

/// Returns the BLAKE2b digest of @p key, 32 bytes that aren't printable. Thread safe.
key_digest makeKeyDigest(std::string_view key);

/// Returns the form of @p digest in messages between entries: lower-case hexadecimal digits. Thread safe.
std::string keyDigestText(const key_digest &digest);

/// Reads that form; empty when @p text is no digest. Thread safe.
std::optional<key_digest> parseKeyDigest(std::string_view text);

} // namespace heatherroute
