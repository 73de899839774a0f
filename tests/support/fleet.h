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

/// One program of a fleet and where it listens.
struct fleet_member
{
    std::unique_ptr<child_process> process;
    std::string address;
    std::string operators; ///< Of an entry: its operators' port.
};

/**
 * A platform, engines, services and entries of one half, as processes on kernel-chosen ports of loopback.
 *
 * For tests and benches of whole programs: start what is needed, publish(), then call the entries. The destructor kills all
 * processes. Not thread safe.
 */
class fleet
{
public:
    /// What an engine is like; the rest is the stand-in's default.
    struct engine_traits
    {
        std::string model = "audit";
        std::uint32_t slots = 20;
        std::uint32_t pieces = 96;
        std::vector<std::string> arguments; ///< Further options of the stand-in.
    };

    /// Starts a platform for @p half out of the programs in folder @p programs. Null with @p reason on failure.
    static std::unique_ptr<fleet> make(const std::string &programs, const std::string &half, last_reason *reason);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /// Starts an engine called @p name. False with @p reason on failure.
    bool addEngine(const std::string &name, upstream_kind kind, const engine_traits &traits, last_reason *reason);
    /// Starts a replica called @p name of the plain service @p service. False with @p reason on failure.
    bool addService(const std::string &name, const std::string &service, const std::vector<std::string> &arguments, last_reason *reason);
    /// Starts an entry called @p name. False with @p reason on failure.
    bool addEntry(const std::string &name, last_reason *reason);
    /// Adds @p value to the rules of the next publication.
    void addRule(const rule &value);
    /// Publishes all engines, services and rules, and waits until every entry has them in force. False on failure.
    bool publish(last_reason *reason);

    /// The program called @p name; `platform` is the platform. Precondition: it was added.
    fleet_member &member(const std::string &name);
    /// Sets the fault switches of the stand-in @p name to @p switches, a JSON object. False when it doesn't take them.
    bool setFault(const std::string &name, const std::string &switches);
    /// The number of requests that hold memory on engine @p name; -1 when it doesn't answer.
    int requestsHeld(const std::string &name) const;
    /// Whether within @p limit no engine that runs holds memory for any request.
    bool waitUntilEnginesAreFree(std::chrono::milliseconds limit) const;

private:
    fleet(std::string programs, std::string half);

    bool start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments, last_reason *reason);
    /// Whether @p entry follows the configuration up to the record before @p next, the last accepted.
    static bool isInForce(const fleet_member &entry, std::int64_t next);

    std::string m_programs;
    std::string m_half;
    std::string m_folder; ///< Of settings files.
    std::map<std::string, fleet_member> m_members;
    std::vector<std::string> m_entries;
    std::vector<upstream> m_upstreams;
    std::vector<rule> m_rules;
    unsigned m_publications = 0;
};

} // namespace heatherroute::support
