#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "heatherroute/config_currency_message.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Bounds of a config_currency.
struct config_currency_settings
{
    /// Time from the store's acknowledgement of a configuration after which nothing may be sent by an older one; zero without a bound.
    duration revokeTime{};
    double usableShare = 0.8; ///< Of that time, in which requests may be sent. The rest is for the way to the upstream.
    duration queryAge = std::chrono::milliseconds(1'000); ///< Age at which an entry that doesn't read the store queries another one.
    /// The same for an entry that reads the store itself. A long poll without a record confirms a state that is up to 2 s old.
    duration readersQueryAge = std::chrono::milliseconds(2'500);
    duration replyTimeout = std::chrono::milliseconds(100); ///< Time without a reply after which another entry is queried.
    duration answeredInterval = std::chrono::milliseconds(1'000); ///< Between two queries while replies confirm recent states.
    std::size_t maxFutile = 20; ///< Queries without such a reply after which the next ones are spaced out, as when the store is lost for all entries.
    duration futileInterval = std::chrono::milliseconds(500); ///< Between two of those.
    duration readerLifetime = std::chrono::seconds(3); ///< For how long an entry counts as one that reads the store after it has said so.
    std::size_t maxOutstanding = 64; ///< Queries that a reply may still come to. The oldest one is dropped beyond this number.

    auto operator<=>(const config_currency_settings &) const = default;
};

/// What an entry does because of a message about the currency of its configuration.
enum class currency_result : std::uint8_t {
    None,
    Confirmed,
    Outdated, ///< Another entry has a newer configuration, so the store is to be read.
};

/// A query that is due.
struct due_currency_query
{
    std::string peerAddress;
    config_currency_query query;

    auto operator<=>(const due_currency_query &) const = default;
};

/**
 * Knows for how long the applied configuration may have been outdated, and asks other entries for confirmations.
 *
 * Load pattern: a key is removed while entries have lost the store, are suspended, or get messages late. Every confirmation is dated no later
 * than the moment at which no newer configuration was in the store: a read by when it was sent, a reply by when its query was sent minus the age
 * in it. So a message that lay in a queue confirms nothing but the past. Instants are those of a clock that keeps running while the VM is
 * suspended, and must not decrease. Pure; not thread safe.
 */
class config_currency
{
public:
    /// @p seed: for the numbers of queries, which must not repeat after a restart.
    static config_currency make(const config_currency_settings &settings, std::uint64_t seed);

    /// Records that this entry applied configuration @p version. What confirmed an older one confirms it as well: at that time, it wasn't in the
    /// store yet.
    void noteApplied(std::uint64_t version);
    /// Records that a read of the store, sent at @p askedAt, showed no newer configuration than @p version. Ignored for another version than the
    /// applied one.
    void noteRead(std::uint64_t version, instant askedAt);
    /// Sets the peer addresses of the other entries.
    void setMembers(std::vector<std::string> peerAddresses);
    /// Records that the entry at @p peerAddress has said that it reads the store.
    void noteReader(instant now, const std::string &peerAddress);
    /// Sets whether this entry reads the configuration frequently itself.
    void setReadsStore(bool reads);
    /// Records that another entry has applied configuration @p version.
    void noteSeen(std::uint64_t version);

    /// Records that the store came back from an older copy: the versions that other entries had may not come back.
    void onRestored() noexcept
    {
        m_seen = m_applied;
    }

    /// Returns the query to send now, which it counts as sent; empty when none is due. Entries that read the store come first; when none of them
    /// replies, any other one may know.
    std::optional<due_currency_query> dueQuery(instant now);
    /// Processes a reply. Only the first one to a query that is outstanding counts, and only with the version that is applied here.
    currency_result onReply(const config_currency_reply &reply);
    /// Processes a query of another entry. Returns the reply; empty when this entry knows no age.
    std::optional<config_currency_reply> onQuery(instant now, const config_currency_query &query);

    /// Returns for how long, at most, the applied configuration may have been outdated; empty when nothing has confirmed it.
    std::optional<duration> age(instant now) const;
    /// Returns whether a request with a key may be sent. Always true without a bound.
    bool isCurrent(instant now) const;
    /// Returns whether another entry has a newer configuration than the applied one.
    bool isOutdated() const noexcept
    {
        return m_seen > m_applied;
    }
    /// Returns the time after which requests with keys aren't sent without a confirmation; zero without a bound.
    duration bound() const noexcept;

private:
    struct sent_query
    {
        instant sentAt{};
        std::string peerAddress;
    };

    config_currency(const config_currency_settings &settings, std::uint64_t seed);
    void confirm(instant at);
    std::string nextTarget(instant now);

    config_currency_settings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_applied = 0; ///< 0 when none.
    std::uint64_t m_seen = 0; ///< The newest version that an entry is known to have.
    std::optional<instant> m_confirmedAt; ///< At this time the store held no newer configuration than the applied one.
    bool m_readsStore = false;
    std::vector<std::string> m_members;
    std::map<std::string, instant> m_readers; ///< When each last said that it reads, by peer address.
    std::map<std::uint64_t, sent_query> m_outstanding; ///< By number.
    std::optional<instant> m_queriedAt;
    std::optional<instant> m_answeredAt; ///< When the last query was sent that a reply confirmed a recent state for.
    std::size_t m_futile = 0; ///< Queries since the last one of those.
};

} // namespace heatherroute
