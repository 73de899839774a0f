#pragma once

#include <functional>
#include <memory>
#include <optional>
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
    /// Reads the settings file again; empty with the reason set when it can't be used.
    using settings_reader = std::function<std::optional<entry_settings>(last_reason *)>;

    /// Opens the sockets that @p settings name; @p readSettings serves reloads. On failure returns null and sets @p reason.
    static std::unique_ptr<relay_node>
    make(const entry_settings &settings, settings_reader readSettings, platform_dialect dialect, platform_store store, last_reason *reason);
    ~relay_node();
    relay_node(const relay_node &) = delete;
    relay_node &operator=(const relay_node &) = delete;

    /// Runs until a graceful shutdown has ended and returns the exit code. SIGTERM starts it; SIGHUP reloads the settings.
    int run();

private:
    class impl;
    explicit relay_node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute
