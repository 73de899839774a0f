#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "heatherroute/inventory.h"
#include "heatherroute/last_reason.h"
#include "support/process.h"

namespace heatherroute::support
{

/// One program of a fleet and the addresses that it listens on.
struct fleet_member
{
    std::unique_ptr<child_process> process;
    std::string address;
    std::string operators; ///< Operators' address; only set for an entry.
    std::string peers; ///< Peers' address; only set for an entry.
};

/**
 * The platform, engines, services and entries of one half, as processes that listen on free loopback ports.
 *
 * Used by tests and benchmarks of whole programs: add the programs that are needed, call publish(), then send requests to
 * the entries. The destructor kills all processes. Not thread safe.
 */
class fleet
{
public:
    /// The properties of an engine; other options have the defaults of the stand-in.
    struct engine_traits
    {
        std::string model = "audit";
        std::uint32_t slots = 20;
        std::uint32_t pieces = 96;
        std::vector<std::string> arguments; ///< Additional command-line arguments of the stand-in.
    };

    /// Starts a platform for @p half, with the programs in folder @p programs. Null with @p reason on failure.
    static std::unique_ptr<fleet> make(const std::string &programs, const std::string &half, last_reason *reason);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /// Starts an engine named @p name. Returns false with @p reason on failure.
    bool addEngine(const std::string &name, upstream_kind kind, const engine_traits &traits, last_reason *reason);
    /// Starts a replica named @p name of the plain service @p service. Returns false with @p reason on failure.
    bool addService(const std::string &name, const std::string &service, const std::vector<std::string> &arguments, last_reason *reason);
    /// Starts an entry named @p name, which finds the entry @p peer unless it is empty. Returns false with @p reason on failure.
    bool addEntry(const std::string &name, last_reason *reason, const std::string &peer = {});
    /// Adds @p value to the rules that publish() publishes.
    void addRule(const rule &value);
    /// Publishes all engines, services and rules, and waits until they are active on every entry. Returns false with @p reason on failure.
    bool publish(last_reason *reason);

    /// The program named @p name; the platform is named `platform`. Precondition: it was added.
    fleet_member &member(const std::string &name);
    /// Sets the fault switches of the stand-in @p name to @p switches, a JSON object. Returns false on failure.
    bool setFault(const std::string &name, const std::string &switches);
    /// The number of requests that hold memory on engine @p name; -1 if it doesn't answer.
    int requestsHeld(const std::string &name) const;
    /// Waits up to @p limit until no running engine holds memory for any request. Returns false on timeout.
    bool waitUntilEnginesAreFree(std::chrono::milliseconds limit) const;

private:
    fleet(std::string programs, std::string half);

    bool start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments, last_reason *reason);
    /// Whether @p entry has accepted the configuration record before offset @p next or a later one, and is not cut off.
    static bool isConfigurationActive(const fleet_member &entry, std::int64_t next);

    std::string m_programs;
    std::string m_half;
    std::string m_folder; ///< Temporary folder for settings files.
    std::map<std::string, fleet_member> m_members;
    std::vector<std::string> m_entries;
    std::vector<upstream> m_upstreams;
    std::vector<rule> m_rules;
    unsigned m_publishCount = 0;
};

} // namespace heatherroute::support
