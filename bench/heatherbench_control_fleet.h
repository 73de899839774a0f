#pragma once

#include "heatherbench_control_relay.h"
#include "heatherbench_process.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace heatherroute::bench
{

/// An entry of a measurement.
struct fleet_entry
{
    std::string name;
    std::unique_ptr<bench_process> process;
    boost::asio::ip::tcp::endpoint operators;
};

/**
 * A platform stand-in and entries on loopback, with relays between them that count bytes.
 *
 * Entries alternate between two halves. One in four reaches the log through a relay of its own, which can be closed. Ends
 * what it started. Not thread safe; @p context must outlive it.
 */
class control_fleet
{
public:
    /// Starts @p entries entries from the programs in @p programs; settings and logs go to @p folder. Null on failure.
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

    /// Whether the entry with this index loses the log when setPartOpen(false) is called.
    static bool isInPart(std::size_t index) noexcept
    {
        constexpr std::size_t kPart = 4;
        return index % kPart == 1;
    }

    void setPartOpen(bool open);
    /// Of both relays together.
    relay_counts counts() const;

private:
    control_fleet() = default;

    bool startPlatform(const std::string &programs, const std::string &folder, last_reason *reason);
    bool startEntry(const std::string &programs, const std::string &folder, std::size_t index, last_reason *reason);

    std::unique_ptr<bench_process> m_platform;
    boost::asio::ip::tcp::endpoint m_platformAddress;
    std::unique_ptr<counting_relay> m_relay;
    std::unique_ptr<counting_relay> m_partRelay;
    std::vector<fleet_entry> m_entries;
    std::string m_firstPeer;
};

} // namespace heatherroute::bench
