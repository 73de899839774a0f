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
 * An entry that relays opaque requests on a platform that provides its own store.
 *
 * Upstreams and operators write to the platform's store, and callers use the platform's dialect of HTTP; an adapter provides
 * access to both. The relay, the store and the membership run on one thread each and exchange events through bounded rings.
 * Another thread writes the log, and the thread that calls run() handles signals and serves operators. Not thread safe.
 */
class relay_node
{
public:
    /// Reads the settings file again. Returns an empty optional and sets the reason when the file is invalid.
    using settings_reader = std::function<std::optional<entry_settings>(last_reason *)>;

    /// Opens the sockets that @p settings specify; @p readSettings is called on SIGHUP. On failure returns null and sets @p reason.
    static std::unique_ptr<relay_node>
    make(const entry_settings &settings, settings_reader readSettings, platform_dialect dialect, platform_store store, last_reason *reason);
    ~relay_node();
    relay_node(const relay_node &) = delete;
    relay_node &operator=(const relay_node &) = delete;

    /// Runs until a graceful shutdown has completed and returns the exit code. SIGTERM or SIGINT starts the shutdown; SIGHUP reloads
    /// the settings file, of which only the log level takes effect.
    int run();

private:
    class impl;
    explicit relay_node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace heatherroute
