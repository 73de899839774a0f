#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/registration.h"
#include "heatherroute/relay_request.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace heatherroute
{

/// A caller's query for the entries that it should use.
struct entry_query
{
    std::string zone; ///< The caller's availability zone; empty when it names none.
    auto operator<=>(const entry_query &) const = default;
};

/// A KV cache that a prefill engine keeps until it is fetched.
struct kv_handle
{
    std::string address; ///< `IP:port` of the prefill engine.
    std::string id;
    auto operator<=>(const kv_handle &) const = default;
};

/// Data that the router adds to a caller's request when it forwards the request.
struct upstream_directions
{
    std::string instance; ///< The instance that must serve the request; any other refuses it.
    duration timeLeft{};
    bool prefillOnly = false;
    std::optional<kv_handle> source; ///< The KV cache from which to continue.
    std::optional<std::string> reservation; ///< Id of the memory reserved earlier.
    bool hasTeams = false; ///< The configuration has teams: what the caller sent as its API key and team is removed.
    std::string team; ///< Name of the caller's team; empty if there is none, as on a public route.
    auto operator<=>(const upstream_directions &) const = default;
};

/// Data in the head of an upstream's answer, in addition to its status.
struct answer_facts
{
    bool notRun = false; ///< The upstream states that it did not run the request.
    /// Another instance uses the address now. If it is false and an engine refused the request, the engine may be in another phase.
    bool wrongInstance = false;
    bool sealed = false; ///< The answer carries the upstream's seal.
    bool altered = false; ///< An intermediary encoded the body, so its bytes aren't the upstream's.
    std::string requestId; ///< The answered request; empty when the answer doesn't name it.
    std::optional<double> limitPerSecond; ///< Requests a second that the upstream takes from all entries together; at least 0 and finite.
    std::optional<std::string> malformedLimit; ///< The limit as the upstream named it, if it is no such number.
    bool leaving = false; ///< The upstream states that it leaves.
    std::optional<duration> pause; ///< For how long the upstream, which refuses the request, wants no further one from this entry; at least 0.
    std::optional<std::string> malformedPause; ///< A time to wait as the upstream named it, if it is no such number.
    auto operator<=>(const answer_facts &) const = default;
};

/// The state that an engine reports; some hundred milliseconds old.
struct engine_report
{
    std::optional<engine_phase> phase;
    bool busy = false; ///< The engine is carrying out an order.
    bool leaving = false; ///< The engine accepts no new work and stops soon.
    std::uint64_t ordersAccepted = 0;
    std::optional<std::uint64_t> startedAt; ///< As in the registration.
    auto operator<=>(const engine_report &) const = default;
};

/// An order to change an engine's phase.
struct phase_order
{
    std::string instance;
    engine_phase phase = engine_phase::Decode;
    std::string holder; ///< The lease holder that gives the order.
    std::uint64_t fencingToken = 0;
    std::uint64_t expectedOrders = 0; ///< Carried out only if the engine has accepted exactly this many orders before.
    auto operator<=>(const phase_order &) const = default;
};

/**
 * Translation between the router's types and the messages of a platform.
 *
 * One instance is filled in by the adapter of the platform; the functions translate and make no decisions. They must be
 * callable from several threads at the same time. Functions that parse return an empty optional when the input is malformed.
 */
struct platform_dialect
{
    // Callers.
    std::function<relay_request(const net::http_request &)> readRequest;
    std::function<std::optional<entry_query>(const net::http_request &)> readEntryQuery;
    std::function<net::http_answer(const std::vector<std::string> &addresses, std::chrono::seconds lifetime)> makeEntryAnswer;
    std::function<bool(const net::http_request &)> isReadinessProbe;
    /// Returns the header fields of a rejection that the router itself generates.
    std::function<std::vector<net::http_field>(const std::string &requestId, std::optional<duration> retryAfter)> refusalFields;

    // Other entries.
    /// Returns the caller's header fields for another entry that serves the request instead, which has @p timeLeft. With @p hasTeams, without its
    /// API key and team.
    std::function<std::vector<net::http_field>(const net::http_request &, duration timeLeft, bool hasTeams)> entryFields;

    // Upstreams.
    /// Returns the caller's header fields that may be forwarded, and those for the directions.
    std::function<std::vector<net::http_field>(const net::http_request &, const upstream_directions &)> upstreamFields;
    /// Reads an answer to a request that was sent to @p instance.
    std::function<answer_facts(const net::http_answer &, const std::string &instance)> readAnswer;
    /// Returns the header fields of an upstream's answer that may be forwarded to the caller.
    std::function<std::vector<net::http_field>(const net::http_answer &)> callerFields;

    // Engines.
    std::function<net::http_call(const std::string &instance, std::uint32_t tokens, std::chrono::milliseconds lifetime)> makeReservation;
    std::function<std::optional<std::string>(const net::http_answer &)> readReservation;
    std::function<net::http_call(const std::string &instance, const std::string &reservation)> releaseReservation;
    std::function<std::optional<std::string>(const net::http_answer &)> readPrefill; ///< Returns the id of the KV handle.
    std::function<net::http_call(const std::string &instance, const std::string &handle)> freeHandle;
    std::function<net::http_call(const std::string &instance)> makeReportCall;
    std::function<std::optional<engine_report>(const net::http_answer &)> readReport;
    std::function<net::http_call(const phase_order &)> makePhaseOrder;
    std::function<std::string(const net::http_answer &)> readInstance; ///< Returns the instance that answered a health check.
};

} // namespace heatherroute
