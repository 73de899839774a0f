#pragma once

#include <compare>
#include <cstdint>
#include <variant>

/**
 * Messages by which an entry learns from another one whether its configuration is the newest in the store.
 *
 * The receiver dates a reply by when it sent the query, by its own clock, so that a message which lay in a queue while its
 * receiver was suspended does not count as new. Every message fits one datagram and may be lost, late or repeated.
 */

namespace heatherroute
{

/// Asks which configuration version the receiver knows to be the newest.
struct config_currency_query
{
    std::uint64_t number = 0; ///< Copied into the reply; not guessable by an earlier message.
    std::uint64_t version = 0; ///< That the sender has applied; 0 when none.

    auto operator<=>(const config_currency_query &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, version);
    }
};

/// Answers a config_currency_query. An entry that doesn't know the age doesn't answer.
struct config_currency_reply
{
    std::uint64_t number = 0;
    std::uint64_t version = 0; ///< That the sender has applied.
    std::uint32_t ageMs = 0; ///< How long ago, at most, this version was the newest in the store.

    auto operator<=>(const config_currency_reply &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, version, ageMs);
    }
};

/// Any message about the currency of a configuration.
using config_currency_message = std::variant<config_currency_query, config_currency_reply>;

} // namespace heatherroute
