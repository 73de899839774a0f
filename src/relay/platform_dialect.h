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

/// A caller's question for the entries it should use.
struct entry_query
{
    std::string zone; ///< The caller's availability zone; empty when it names none.
    auto operator<=>(const entry_query &) const = default;
};

/// A KV cache that waits at a prefill engine.
struct kv_handle
{
    std::string address; ///< `IP:port` of the prefill engine.
    std::string id;
    auto operator<=>(const kv_handle &) const = default;
};

/// What the router adds to a caller's request when it passes it on.
struct upstream_directions
{
    std::string instance; ///< The run that must serve it; any other refuses.
    duration timeLeft{};
    bool prefillOnly = false;
    std::optional<kv_handle> source; ///< The KV cache to go on from.
    std::optional<std::string> reservation; ///< Memory reserved before.
    auto operator<=>(const upstream_directions &) const = default;
};

/// What the head of an upstream's answer says beside its status.
struct answer_facts
{
    bool notRun = false; ///< The upstream states that it did not run the request.
    bool wrongInstance = false; ///< Another run has that address now; else it may just be in the wrong phase.
    bool sealed = false; ///< Carries the upstream's own mark.
    bool altered = false; ///< Encoded by something on the way, so the bytes aren't the upstream's.
    std::string requestId; ///< Whose answer it is; empty when it doesn't say.
    auto operator<=>(const answer_facts &) const = default;
};

/// The state that an engine tells of itself; some hundred milliseconds old.
struct engine_report
{
    std::optional<engine_phase> phase;
    bool busy = false; ///< An order is being carried out.
    bool leaving = false; ///< It takes no new work and ends soon.
    std::uint64_t ordersAccepted = 0;
    auto operator<=>(const engine_report &) const = default;
};

/// An order to change an engine's phase.
struct phase_order
{
    std::string instance;
    engine_phase phase = engine_phase::Decode;
    std::string holder; ///< Who orders.
    std::uint64_t fencingToken = 0;
    std::uint64_t expectedOrders = 0; ///< Carried out only if the engine has accepted so many orders before.
    auto operator<=>(const phase_order &) const = default;
};

/**
 * How a platform spells what the router says and hears.
 *
 * One instance is filled in by the adapter of the platform; the functions translate and decide nothing. They must be
 * callable from any thread at the same time. Functions that read return an empty optional when the bytes make no sense.
 */
struct platform_dialect
{
    // Callers.
    std::function<relay_request(const net::http_request &)> readRequest;
    std::function<std::optional<entry_query>(const net::http_request &)> readEntryQuery;
    std::function<net::http_answer(const std::vector<std::string> &addresses, std::chrono::seconds lifetime)> makeEntryAnswer;
    std::function<bool(const net::http_request &)> isReadinessQuestion;
    /// The fields of a refusal that the router makes itself.
    std::function<std::vector<net::http_field>(const std::string &requestId, std::optional<duration> retryAfter)> refusalFields;

    // Upstreams.
    std::function<std::vector<net::http_field>(const net::http_request &, const upstream_directions &)> upstreamFields;
    /// The facts of an answer to a request that was meant for @p instance.
    std::function<answer_facts(const net::http_answer &, const std::string &instance)> readAnswer;
    std::function<std::vector<net::http_field>(const net::http_answer &)> callerFields;

    // Engines.
    std::function<net::http_call(const std::string &instance, std::uint32_t tokens, std::chrono::milliseconds lifetime)> makeReservation;
    std::function<std::optional<std::string>(const net::http_answer &)> readReservation;
    std::function<net::http_call(const std::string &instance, const std::string &reservation)> dropReservation;
    std::function<std::optional<std::string>(const net::http_answer &)> readPrefill; ///< The handle's id.
    std::function<net::http_call(const std::string &instance, const std::string &handle)> freeHandle;
    std::function<net::http_call(const std::string &instance)> makeReportCall;
    std::function<std::optional<engine_report>(const net::http_answer &)> readReport;
    std::function<net::http_call(const phase_order &)> makePhaseOrder;
    std::function<std::string(const net::http_answer &)> readInstance; ///< Of a health answer.
};

} // namespace heatherroute
