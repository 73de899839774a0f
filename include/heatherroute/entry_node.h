#pragma once

#include <memory>
#include <string>

#include "heatherroute/last_reason.h"
#include "heatherroute/settings.h"

namespace heatherroute
{

/**
 * An entry (one router process): the decision core with its threads and sockets.
 *
 * heatherrouted is a thin program around this class; other programs may embed it. Not thread safe.
 */
class entry_node
{
public:
    /// Creates an entry and opens the sockets given in @p settings. On failure returns null and sets @p reason.
    static std::unique_ptr<entry_node> make(const entry_settings &settings, last_reason *reason);
    ~entry_node();
    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    /// The address that callers use, as `IP:port`.
    std::string callerAddress() const;
    /// The address that operators use, as `IP:port`.
    std::string operatorAddress() const;
    /// The address that peers use, as `IP:port`.
    std::string peerAddress() const;

    /// Runs until a graceful shutdown has completed and returns the exit code. SIGTERM and SIGINT start the shutdown; a second
    /// signal ends it immediately.
    int run();

private:
    class impl;
    explicit entry_node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute
