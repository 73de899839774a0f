#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/core_action.h"
#include "heatherroute/router_core.h"

namespace heatherroute
{

/**
 * The state shared by all modules of the core while one event is handled: the current instant, the actions emitted so far,
 * the entry's options and the random number generator. Not thread safe.
 */
class core_context
{
public:
    explicit core_context(core_options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    { }

    const core_options &options() const noexcept
    {
        return m_options;
    }

    instant now() const noexcept
    {
        return m_now;
    }

    /// Starts handling one event at @p now and discards earlier actions.
    void begin(instant now)
    {
        m_now = now;
        m_actions.clear();
    }

    void emit(core_action action)
    {
        m_actions.push_back(std::move(action));
    }

    void log(log_level level, std::string event, std::vector<log_field> fields)
    {
        emit(log_line{level, std::move(event), std::move(fields)});
    }

    /// Ends handling one event and returns its actions.
    std::vector<core_action> takeActions()
    {
        return std::move(m_actions);
    }

    attempt_id nextAttempt() noexcept
    {
        return attempt_id{++m_attempts};
    }

    /// Returns the id by which an engine identifies @p attempt; unique over all entries and their restarts.
    std::string engineRequest(attempt_id attempt) const
    {
        return m_options.entryName + "." + std::to_string(m_options.incarnation) + "." + std::to_string(attempt.value);
    }

    std::mt19937_64 &random() noexcept
    {
        return m_random;
    }

private:
    core_options m_options;
    std::mt19937_64 m_random;
    instant m_now{};
    std::vector<core_action> m_actions;
    std::uint64_t m_attempts = 0;
};

} // namespace heatherroute
