#pragma once

#include <memory>
#include <string>

#include "heatherroute/last_reason.h"
#include "heatherroute/settings.h"

namespace heatherroute
{

struct platform_dialect;
struct platform_store;

/**
 * An entry that relays opaque requests on a platform with a store of its own.
 *
 * Upstreams and operators write to the platform's store and callers speak the platform's dialect; both come from an adapter.
 * Threads: the relay, the store, the membership, operators, the log, and the calling one for signals, joined by bounded
 * rings. Not thread safe.
 */
class relay_node
{
public:
    /// Opens the sockets that @p settings name. On failure returns null and sets @p reason.
    static std::unique_ptr<relay_node> make(const entry_settings &settings, platform_dialect dialect, platform_store store, last_reason *reason);
    ~relay_node();
    relay_node(const relay_node &) = delete;
    relay_node &operator=(const relay_node &) = delete;

    /// Runs until a graceful shutdown has ended and returns the exit code. SIGTERM starts it.
    int run();

private:
    class impl;
    explicit relay_node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute
