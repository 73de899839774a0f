#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "heatherroute/peer_message.h"
#include "relay/config_currency.h"

namespace heatherroute::node
{

/// Dependencies of a config_currency_monitor.
struct config_currency_hooks
{
    std::function<void(log_level, std::string event, std::vector<log_field>)> log;
    std::function<void(peer_body, std::string peerAddress)> send; ///< Sends a message to one entry.
    std::function<void()> readConfig; ///< Begins to read the configuration, since another entry has a newer one.
    std::function<instant()> now; ///< A clock that keeps running while the VM is suspended.
};

/**
 * Finds out whether the applied configuration is still the newest one, by this entry's reads of the store and by other entries.
 *
 * Without a bound it sends no queries, and the configuration always counts as current. Belongs to the relay's thread.
 */
class config_currency_monitor
{
public:
    /// @p revokeTime: as in config_currency_settings. All hooks must be set.
    config_currency_monitor(config_currency_hooks hooks, duration revokeTime, std::uint64_t seed);

    /// Records that configuration @p version was applied. @p hasTeams: whether its requests carry keys.
    void onApplied(std::uint64_t version, bool hasTeams);
    /// Records that the store, asked at @p askedAt, held no newer configuration than @p version.
    void onConfirmed(std::uint64_t version, instant askedAt);
    /// Processes a message of the entry at @p from.
    void onMessage(const std::string &from, const config_currency_message &message);
    /// Records that the entry at @p from has applied configuration @p version, and whether it says that it reads the store.
    void onUpdate(const std::string &from, std::uint64_t version, bool readsStore);
    /// Records that the store came back from an older copy.
    void onRestored();
    /// Sets the other entries.
    void setMembers(const std::vector<member> &others);
    /// Sets whether this entry reads the configuration frequently itself.
    void setReadsStore(bool reads);
    /// Sends the query that is due. To be called regularly.
    void advance();

    /// Whether a request with a key may be sent now.
    bool isCurrent() const;
    /// Whether another entry has a newer configuration.
    bool isOutdated() const;
    /// For how long, at most, the configuration may have been outdated; empty when nothing has confirmed it.
    std::optional<duration> age() const;

private:
    void logChange();

    config_currency_hooks m_hooks;
    config_currency m_currency;
    bool m_hasTeams = false;
    bool m_wasCurrent = true; ///< As last logged.
};

} // namespace heatherroute::node
