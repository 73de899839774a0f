#pragma once

#include "heatherbench_control_relay.h"
#include "heatherbench_process.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace heatherroute::bench
{

/// A running entry process and the address of its operators' listener.
struct fleet_entry
{
    std::string name;
    std::unique_ptr<bench_process> process;
    boost::asio::ip::tcp::endpoint operatorEndpoint;
};

/**
 * A platform stand-in and entries on loopback, with byte-counting relays between them.
 *
 * Entries alternate between two halves. One entry in four reaches the log through a second relay, which can be closed. The
 * destructor ends all processes that were started. Not thread safe; the io_context given to make() must outlive the fleet.
 */
class control_fleet
{
public:
    /// Starts the platform and @p entries entries from the programs in @p programs; settings and logs go to @p folder. Returns null on failure.
    static std::unique_ptr<control_fleet>
    make(boost::asio::io_context &context, const std::string &programs, const std::string &folder, std::size_t entries, last_reason *reason);

    const std::vector<fleet_entry> &entries() const noexcept
    {
        return m_entries;
    }

    boost::asio::ip::tcp::endpoint platform() const noexcept
    {
        return m_platformAddress;
    }

    const bench_process &platformProcess() const noexcept
    {
        return *m_platform;
    }

    /// Whether the entry with this index loses its connection to the log on setCloseableRelayOpen(false).
    static bool usesCloseableRelay(std::size_t index) noexcept
    {
        constexpr std::size_t kCloseableRelayInterval = 4;
        return index % kCloseableRelayInterval == 1;
    }

    /// Opens or closes the relay of the entries for which usesCloseableRelay() holds.
    void setCloseableRelayOpen(bool open);
    /// Returns the sums over both relays.
    relay_counts counts() const;

private:
    control_fleet() = default;

    bool startPlatform(const std::string &programs, const std::string &folder, last_reason *reason);
    bool startEntry(const std::string &programs, const std::string &folder, std::size_t index, last_reason *reason);

    std::unique_ptr<bench_process> m_platform;
    boost::asio::ip::tcp::endpoint m_platformAddress;
    std::unique_ptr<counting_relay> m_relay;
    std::unique_ptr<counting_relay> m_closeableRelay;
    std::vector<fleet_entry> m_entries;
    std::string m_firstPeer;
};

} // namespace heatherroute::bench
