#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "node/relay_call.h"

namespace heatherroute::node
{

/**
 * The placement of one request at an engine of one phase, as the coordinator of the pool assigns it.
 *
 * Asks for an engine, again when an engine refuses, and reports the end of the placement. Without coordinators it does nothing, and the
 * request's own order of engines decides. Belongs to the relay's thread.
 */
class stream_placement
{
public:
    /// Returns the engines that the request may be sent to now. They stay valid until the next change of the registry.
    using allowed_hook = std::function<std::vector<upstream_candidate>()>;

    stream_placement(relay_call &call, engine_phase phase, allowed_hook allowed);
    ~stream_placement();
    stream_placement(const stream_placement &) = delete;
    stream_placement &operator=(const stream_placement &) = delete;

    /// Begins a search for an engine of @p service for @p tokens, which ends at @p giveUpAt. @p computeTime: of the prompt, which follows.
    void begin(const std::string &service, std::uint32_t tokens, instant giveUpAt, duration computeTime);
    /// Returns the engine that the coordinator assigns. Empty if the entry chooses by itself for the rest of the search, or if there is no
    /// room. Ends the previous placement. Precondition: begin() was called.
    boost::asio::awaitable<std::optional<registration>> next();
    /// Records that the assigned engine refused the request, or could not be connected to.
    void refuse();
    /// Likewise, if the request was sent to the engine that next() returned as @p assigned; does nothing if that is empty.
    void refuseIf(const std::optional<registration> &assigned)
    {
        if (assigned) {
            refuse();
        }
    }
    /// Records that the request is placed at an engine that this entry has chosen by itself.
    void adopt(const registration &run);
    /// Reports the end of the placement, if there is one.
    void end();

    /// The expected wait, if the coordinator has refused the request since there is no room in time.
    std::optional<duration> refusedWait() const noexcept
    {
        return m_refusedWait;
    }

private:
    std::vector<registration> allowedRuns() const;
    void listUnusable();
    std::chrono::milliseconds maxWait() const;

    relay_call &m_call;
    engine_phase m_phase;
    allowed_hook m_allowed;
    std::string m_service;
    std::uint32_t m_tokens = 0;
    instant m_giveUpAt{};
    duration m_computeTime{};
    std::uint32_t m_asked = 0; ///< Number of requests in the current search.
    bool m_choosesItself = false; ///< For the rest of the search.
    std::uint64_t m_number = 0; ///< Of the placement; 0 if there is none.
    std::string m_engine; ///< That was assigned last.
    std::vector<std::string> m_refusing; ///< Engines that refused the request in this search, or can't be used for it.
    std::optional<duration> m_refusedWait;
};

} // namespace heatherroute::node
