#include "heatherbench_control_fleet.h"

#include <fstream>
#include <sstream>

#include "net/http_client.h"

namespace heatherroute::bench
{

namespace
{

constexpr std::chrono::seconds kStartTimeout{20};
// Positions of the addresses among the words that waitUntilListening() returns.
constexpr std::size_t kOperatorsWordIndex = 2;
constexpr std::size_t kPeersWordIndex = 4;

std::string endpointToString(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace

std::unique_ptr<control_fleet>
control_fleet::make(boost::asio::io_context &context, const std::string &programs, const std::string &folder, std::size_t entries, last_reason *reason)
{
    std::unique_ptr<control_fleet> fleet(new control_fleet());
    if (!fleet->startPlatform(programs, folder, reason)) {
        return nullptr;
    }
    fleet->m_relay = std::make_unique<counting_relay>(context, fleet->m_platformAddress);
    fleet->m_closeableRelay = std::make_unique<counting_relay>(context, fleet->m_platformAddress);
    for (std::size_t index = 0; index < entries; ++index) {
        if (!fleet->startEntry(programs, folder, index, reason)) {
            return nullptr;
        }
    }
    return fleet;
}

bool control_fleet::startPlatform(const std::string &programs, const std::string &folder, last_reason *reason)
{
    m_platform = bench_process::make(programs + "/fake_platform", {}, folder, "platform", reason);
    if (!m_platform) {
        return false;
    }
    const std::vector<std::string> words = m_platform->waitUntilListening(kStartTimeout);
    const auto address = words.empty() ? std::nullopt : net::parseEndpoint(words.front());
    if (!address) {
        setReason(reason, "the platform stand-in did not start listening");
        return false;
    }
    m_platformAddress = *address;
    return true;
}

bool control_fleet::startEntry(const std::string &programs, const std::string &folder, std::size_t index, last_reason *reason)
{
    fleet_entry entry;
    entry.name = "entry-" + std::to_string(index);
    const std::string path = folder + "/" + entry.name + ".yaml";
    const std::string log = endpointToString((usesCloseableRelay(index) ? m_closeableRelay : m_relay)->endpoint());
    std::ofstream settings(path);
    settings << "name: " << entry.name << "\nhalf: " << (index % 2 == 0 ? "north" : "south") << "\nzone: zone-" << index % 3 << "\nregion: region-" << index % 2
             << "\nlisten: {callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}\n"
             << "platform: {log: \"" << log << "\", vms: \"" << log << "\"}\n";
    if (!m_firstPeer.empty()) {
        settings << "seeds: [\"" << m_firstPeer << "\"]\n";
    }
    settings.close();
    entry.process = bench_process::make(programs + "/heatherrouted", {"--settings", path}, folder, entry.name, reason);
    if (!entry.process) {
        return false;
    }
    const std::vector<std::string> words = entry.process->waitUntilListening(kStartTimeout);
    const auto operators = words.size() > kOperatorsWordIndex ? net::parseEndpoint(words[kOperatorsWordIndex]) : std::nullopt;
    if (!operators) {
        setReason(reason, entry.name + " did not start listening");
        return false;
    }
    if (m_firstPeer.empty() && words.size() > kPeersWordIndex) {
        m_firstPeer = words[kPeersWordIndex];
    }
    entry.operatorEndpoint = *operators;
    m_entries.push_back(std::move(entry));
    return true;
}

void control_fleet::setCloseableRelayOpen(bool open)
{
    m_closeableRelay->setOpen(open);
}

relay_counts control_fleet::counts() const
{
    const relay_counts a = m_relay->counts();
    const relay_counts b = m_closeableRelay->counts();
    return {a.connections + b.connections, a.bytesUp + b.bytesUp, a.bytesDown + b.bytesDown};
}

} // namespace heatherroute::bench
