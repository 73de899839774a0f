#include "node/stream_relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

#include "net/event_stream.h"
#include "net/http_status.h"
#include "node/entry_forwarder.h"
#include "node/stream_placement.h"
#include "relay/stream_end.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_call;
using net::http_result;

namespace
{

constexpr std::uint32_t kMaxPrefills = 3; ///< Prefill engines tried for one computation of the KV cache.
/// Decode engines queried for memory in one round. It is rare that all of them are full while others have free memory.
constexpr std::size_t kMaxQueriedPerRound = 4;
/// Number of refused decodes after which the KV cache is computed again. An engine that can't fetch the cache refuses in the same way
/// as an engine that is changing its phase.
constexpr std::uint32_t kMaxHandleRefusals = 2;
constexpr std::uint32_t kMaxDecodes = 3; ///< Decode attempts before the caller gets an error.
/// Timeout of a prefill. A prompt is admitted with up to half a second of queued work ahead of it, and callers disconnect after about
/// 3.5 s without an event.
constexpr std::chrono::milliseconds kPrefillTimeout{1'500};
constexpr std::chrono::milliseconds kFullRetryAfter{2000}; ///< How long full engines are expected to stay full; the minimum Retry-After delay.
constexpr std::chrono::milliseconds kNoEngineRetryAfter{2500}; ///< Minimum Retry-After delay when there is no engine.
/// How much longer than its deadline a caller may come back with a stream.
constexpr duration kOriginSlack = std::chrono::seconds(5);
constexpr duration kDefaultOriginLife = std::chrono::seconds(30); ///< For a caller without a deadline.
/// A resumed stream can't use other engines than those of its version, so it asks more of them, and for longer.
constexpr std::size_t kMaxQueriedForResume = 16;
constexpr int kResumeWaitFactor = 2;
constexpr const char *kFullReason = "engines_full"; ///< No decode engine has memory, or no engine has room in time.
/// Reasons for refusing to resume a stream.
constexpr const char *kUnknownOriginReason = "stream_origin_unknown";
constexpr const char *kNoEngineOfVersionReason = "no_engine_of_version";
constexpr const char *kOriginNotKeptReason = "stream_origin_not_kept"; ///< The attempt would have begun at another version than was reported.
constexpr std::chrono::milliseconds kMaxRecordWait{300}; ///< For which the first event of a stream is kept back until the stream is recorded.
/// Expected time from sending a decode request to its first event, apart from prompt computation. The health tracking compares
/// observed times with it.
constexpr duration kExpectedFirstEventTime = std::chrono::milliseconds(60);

/// Reserved memory of a decode engine.
struct reservation
{
    registration run;
    std::string id; ///< Empty when the engine doesn't support reservations.
    std::uint32_t tokens = 0;
};

/// A computed KV cache that a prefill engine holds.
struct computed_prefill
{
    registration run;
    std::string handle;
};

enum class decode_outcome : std::uint8_t {
    Done,
    NotRun, ///< The request did not run and may be retried on another engine.
    Ended, ///< The request has ended and must not be retried.
};

/// Permits for a reservation and for the decode, or the release, that follows it. With several software versions another one confirms the
/// engine's instance.
constexpr std::uint32_t kPermitsPerDecode = 2;

/// Without a permit the call is not made: what it would release expires by itself.
asio::awaitable<void> fireAndForget(relay_state &state, registration run, http_call call)
{
    const bool permitted = co_await state.permits.acquire(run, 1);
    if (permitted) {
        co_await state.callUpstream(run, std::move(call));
    }
}

class stream_relay
{
public:
    explicit stream_relay(relay_call &call)
        : m_call(call)
        , m_state(call.state())
        , m_decodePlacement(call, engine_phase::Decode, [this] { return enginesIn(engine_phase::Decode); })
        , m_prefillPlacement(call, engine_phase::Prefill, [this] { return untriedPrefillEngines(); })
    { }

    ~stream_relay()
    {
        releaseReservation();
        releaseKvCache();
    }

    stream_relay(const stream_relay &) = delete;
    stream_relay &operator=(const stream_relay &) = delete;

    asio::awaitable<void> run()
    {
        m_service = m_call.pickService();
        m_prompt = m_call.facts().prompt.value_or(prompt_facts{});
        m_forwarder.emplace(m_call, m_service);
        const bool isPassedOn = co_await passOn(true);
        if (isPassedOn) {
            co_return;
        }
        const bool hasOrigin = co_await findOrigin();
        m_state.retryBudget.noteRequest(coreNow(), m_service);
        std::uint32_t decodes = 0;
        bool retryGranted = true; // The first attempt needs no retry budget.
        const bool admitted = hasOrigin && admit();
        while (admitted && decodes < kMaxDecodes && !endIfBarred()) {
            // Checked before another prefill, which would be wasted without the budget for the decode.
            if (!retryGranted && !m_state.tryRetry(m_service)) {
                m_reason = "retry_budget_used_up";
                break;
            }
            retryGranted = true;
            const bool reserved = co_await reserveDecodeMemory();
            bool computed = false;
            if (reserved) {
                computed = co_await computePrefill();
            }
            if (!computed) {
                const bool isPassedOnNow = co_await passOn(!m_isUnserved);
                if (isPassedOnNow) {
                    co_return;
                }
                break;
            }
            if (endIfBarred()) {
                break;
            }
            const bool kept = co_await isOriginKept();
            if (!kept) {
                break;
            }
            bool isConfirmed = holdsUsableReservation();
            if (isConfirmed && m_confirms) {
                isConfirmed = co_await confirmInstance(m_reserved->run);
            }
            if (!isConfirmed) {
                releaseReservation();
                continue;
            }
            if (endIfBarred() || endIfStopping(duration::zero())) {
                break;
            }
            ++decodes;
            retryGranted = false;
            const decode_outcome end = co_await decode();
            m_isTrial = false;
            if (end != decode_outcome::NotRun) {
                break;
            }
        }
        co_await finishRequest();
    }

private:
    upstream_pool poolIn(engine_phase phase) const
    {
        return {m_service, phase};
    }

    /// Passes the request to another entry if this one can't serve it. Returns whether it has ended by that. @p hasCandidates: whether there are
    /// engines that it may be sent to.
    asio::awaitable<bool> passOn(bool hasCandidates)
    {
        std::vector<upstream_pool> pools = {poolIn(engine_phase::Decode)};
        if (!m_state.registry.usable(m_service, engine_phase::Prefill).empty()) {
            pools.push_back(poolIn(engine_phase::Prefill));
        }
        // Other entries know at which version this one would have begun the stream, and must not learn another one from the next entry.
        const bool isTiedToVersion = m_isOriginTold && m_state.registry.softwareVersions(m_service).size() > 1;
        const bool mayPassOn = m_execution == verdict::NotRun && m_quarantined <= duration::zero() && !isTiedToVersion;
        if (!mayPassOn || !m_forwarder->isNeeded(pools, hasCandidates) || (m_prefillCount > 0 && !m_state.tryRetry(m_service))) {
            co_return false;
        }
        releaseReservation();
        releaseKvCache();
        m_state.origins.finish(m_stream);
        co_return co_await m_forwarder->run(pools);
    }

    bool admit()
    {
        if (endIfStopping(m_state.scheduler.computeTime(m_prompt.promptTokens))) {
            return false;
        }
        const quarantine_admission admission = m_state.crashes.admit(m_call.fingerprints());
        m_isTrial = admission.isTrial;
        return !endIf(admission.refusedFor);
    }

    /// Whether the key of the request isn't confirmed any more, so that nothing may be sent for it.
    bool endIfForbidden()
    {
        if (m_call.isSendForbidden()) {
            m_reason = kKeyNotConfirmedReason;
        }
        return m_call.isSendForbidden();
    }

    /// Whether the request must not be sent to an engine, since its key isn't confirmed any more or it crashes them.
    bool endIfBarred()
    {
        if (endIfForbidden()) {
            return true;
        }
        return endIf(m_state.crashes.quarantinedFor(m_call.fingerprints(), m_isTrial));
    }

    /// Whether the stream would be cut by the planned stop of this entry, so that it must not begin. @p before: time until its decode begins.
    bool endIfStopping(duration before)
    {
        if (m_state.mayBegin(m_service, m_call.length(), before)) {
            return false;
        }
        m_reason = kStoppingReason;
        return true;
    }

    bool endIf(duration quarantined)
    {
        if (quarantined <= duration::zero()) {
            return false;
        }
        m_quarantined = quarantined;
        m_state.countQuarantineRefusal(m_service);
        m_reason = kQuarantinedReason;
        return true;
    }

    /// Whether nothing more is sent for the request, so that a failed call says nothing of its engine.
    bool isOver() const
    {
        return m_call.isEnded() || m_call.isSendForbidden();
    }

    bool isResumed() const
    {
        return m_call.facts().resumes.has_value();
    }

    /// Finds the software version that may go on with a stream which the caller takes up. Returns false when the request must end.
    asio::awaitable<bool> findOrigin()
    {
        // A caller that takes up a stream without naming it is known by its own attempt, under which no origin was told.
        const std::string resumed = m_call.facts().resumes.value_or("");
        m_stream = streamHashOf(resumed.empty() ? m_call.facts().id : resumed);
        if (!isResumed()) {
            co_return true;
        }
        const duration window = std::max<duration>(m_call.facts().timeLeft.value_or(kDefaultOriginLife), m_call.matchedRoute().timeout) + kOriginSlack;
        sought_stream sought{m_stream, m_service, window, coreNow() - m_call.age()};
        const bool isNamed = !resumed.empty();
        m_origin = co_await m_state.origins.find(std::move(sought), isNamed);
        const auto &targets = m_call.matchedRoute().targets;
        const bool isUsable = m_origin && !m_origin->version.empty()
                              && std::any_of(targets.begin(), targets.end(), [this](const route_target &one) { return one.service == m_origin->service; });
        if (!isUsable) {
            logUnknownOrigin(isNamed, window);
            m_reason = kUnknownOriginReason;
            co_return false;
        }
        m_service = m_origin->service;
        co_return true;
    }

    void logUnknownOrigin(bool isNamed, duration window) const
    {
        const auto millisecondsOf = [](duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
        m_state.log(log_level::Info,
                    "stream_origin_not_found",
                    {requestIdField(m_call.facts().id),
                     {"named", isNamed ? "true" : "false"},
                     {"remembered_streams", std::to_string(m_state.origins.size())},
                     {"versions", std::to_string(m_state.registry.softwareVersions(m_service).size())},
                     {"history_ms", millisecondsOf(m_state.versions.currentTime(coreNow()))},
                     {"needed_ms", millisecondsOf(window)}});
    }

    /// Reports to other entries which version will write the stream, while the prompt is computed.
    void tellOrigin(const registration &run)
    {
        const bool changes = m_origin && m_origin->version != run.softwareVersion;
        if ((m_isOriginTold && !changes) || (!m_origin && run.softwareVersion.empty())) {
            return;
        }
        const duration life = m_call.facts().timeLeft.value_or(kDefaultOriginLife) + kOriginSlack;
        const auto lifeMs = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(life).count());
        const std::uint32_t revision = m_origin ? m_origin->revision + (changes ? 1 : 0) : 1;
        m_origin = stream_origin{m_stream, revision, lifeMs, m_service, run.softwareVersion};
        m_changedVersion = m_changedVersion || changes;
        m_isOriginTold = true;
        m_state.origins.tell(*m_origin);
    }

    /// Waits until other entries remember the version. Returns false when one of them may remember another version, so that the stream must
    /// not begin.
    asio::awaitable<bool> isOriginKept()
    {
        if (!m_origin) {
            co_return true;
        }
        const bool kept = co_await m_state.origins.waitUntilKept(m_stream, m_changedVersion);
        if (kept || !m_changedVersion) {
            co_return true;
        }
        m_reason = kOriginNotKeptReason;
        co_return false;
    }

    /// Returns the engines in @p phase that may get this request: decodes of a stream stay at the version that other entries know, if it was
    /// resumed or that version has an engine.
    std::vector<const registration *> usableIn(engine_phase phase) const
    {
        std::vector<const registration *> runs = m_state.registry.usable(m_service, phase);
        if (phase == engine_phase::Decode && m_origin) {
            const auto isOther = [this](const registration *run) { return run->softwareVersion != m_origin->version; };
            if (isResumed() || !std::all_of(runs.begin(), runs.end(), isOther)) {
                std::erase_if(runs, isOther);
            }
        }
        return runs;
    }

    std::vector<upstream_candidate> enginesIn(engine_phase phase) const
    {
        return m_state.candidates(usableIn(phase));
    }

    /// Reserves memory at a decode engine. While all are full, retries for a limited time.
    asio::awaitable<bool> reserveDecodeMemory()
    {
        if (m_reserved) {
            co_return true;
        }
        const instant giveUpAt = coreNow() + (isResumed() ? kResumeWaitFactor : 1) * m_state.scheduler.settings().maxMemoryWait;
        const upstream_pool pool = poolIn(engine_phase::Decode);
        beginPlacement(m_decodePlacement, m_state.scheduler.reservedTokens(m_prompt), giveUpAt);
        while (!m_call.isEnded()) {
            if (m_state.reach.isCutOff(pool) || m_forwarder->isNeeded({pool})) {
                m_reason = kCutOffReason;
                co_return false;
            }
            const bool hasEngines = !enginesIn(engine_phase::Decode).empty();
            m_isUnserved = !hasEngines && !usableIn(engine_phase::Decode).empty() && m_state.askingToWait(usableIn(engine_phase::Decode)).empty();
            if (m_isUnserved && m_forwarder->isNeeded({pool}, false)) {
                m_reason = kCutOffReason;
                co_return false;
            }
            if (!hasEngines && !awaitsPermit(engine_phase::Decode, giveUpAt)) {
                co_return false;
            }
            bool reserved = false;
            if (hasEngines) {
                reserved = co_await runReservationRound();
            }
            if (reserved) {
                co_return true;
            }
            if (endIfForbidden() || isWithoutRoom(m_decodePlacement)) {
                co_return false;
            }
            if (coreNow() >= giveUpAt) {
                m_reason = hasEngines ? kFullReason : m_reason;
                co_return false;
            }
            co_await waitForNextRound();
        }
        co_return false;
    }

    /// Whether engines in @p phase are left out only because they ask to wait, and one of them may get a request before @p giveUpAt. Sets the
    /// reason otherwise. A resumed stream, which can't use other engines, also awaits those that could not be connected to.
    bool awaitsPermit(engine_phase phase, instant giveUpAt)
    {
        const std::vector<registration> waitedFor = m_state.askingToWait(usableIn(phase));
        const char *const noEngine = phase == engine_phase::Decode && isResumed() ? kNoEngineOfVersionReason : "no_engine";
        m_reason = waitedFor.empty() ? noEngine : m_state.waitReason(waitedFor);
        if (waitedFor.empty() && phase == engine_phase::Decode && isResumed() && !usableIn(phase).empty()) {
            return coreNow() < giveUpAt;
        }
        return !waitedFor.empty() && coreNow() + m_state.waitFor(waitedFor) < giveUpAt;
    }

    bool isAskedToWait() const
    {
        return m_reason == kAtLimitReason || m_reason == kPausingReason;
    }

    /// Whether the reservation is still valid. It may have expired, or its engine may have become unusable, during a long prefill.
    bool holdsUsableReservation() const
    {
        const registration *known = m_state.registry.find(m_reserved->run.id);
        const bool isSameInstance = known != nullptr && known->startedAt == m_reserved->run.startedAt;
        const bool isPausing = m_state.permissionFor(m_reserved->run).reason == hold_reason::Pause;
        return isSameInstance && !isPausing && m_state.registry.isUsable(m_reserved->run.id) && coreNow() - m_reservedAt < reservationLifetime();
    }

    /// Finds out whether the engine is still the instance that the registry knows. An engine that was restarted under its id may run other
    /// software, and the store shows that late.
    asio::awaitable<bool> confirmInstance(registration run)
    {
        http_call call = prepareCall(m_state, run, m_state.dialect.makeReportCall(run.id), m_state.timing.engineCallTimeout);
        const http_result result = co_await m_call.perform(run, std::move(call));
        const auto report = result.answer ? m_state.dialect.readReport(*result.answer) : std::nullopt;
        if (report && (!report->startedAt || *report->startedAt == run.startedAt)) {
            m_isInstanceNamed = report->startedAt.has_value();
            co_return true;
        }
        if (report) {
            m_state.registry.onDisplaced(run.id);
        } else if (!isOver()) {
            m_state.noteFailedCall(run, result);
            m_state.scheduler.noteWrongPhase(coreNow(), run.id);
            m_call.noteFailedAttempt(run, "confirm", result.failure.reason, verdict::NotRun);
        }
        co_return false;
    }

    /// Whether the engine must be confirmed to be the known instance before the decode, since its software version decides where the stream may
    /// go on. New streams at the first engine that changes its version under its id aren't covered; stream_writers finds those afterwards.
    bool needsConfirmation() const
    {
        return isResumed() || m_state.registry.softwareVersions(m_service).size() > 1;
    }

    std::uint32_t permitsPerDecode() const
    {
        return m_confirms ? kPermitsPerDecode + 1 : kPermitsPerDecode;
    }

    void beginPlacement(stream_placement &placement, std::uint32_t tokens, instant giveUpAt)
    {
        placement.begin(m_service, tokens, giveUpAt, m_state.scheduler.computeTime(m_prompt.promptTokens));
    }

    /// Whether the coordinator has refused the request since no engine has room in time. Sets the reason.
    bool isWithoutRoom(const stream_placement &placement)
    {
        m_refusedWait = placement.refusedWait();
        if (m_refusedWait) {
            m_reason = kFullReason;
        }
        return m_refusedWait.has_value();
    }

    /// Reserves memory at the engine that the coordinator assigns. If it assigns none, the entry chooses by itself.
    asio::awaitable<bool> reserveAtAssigned()
    {
        std::optional<registration> assigned = co_await m_decodePlacement.next();
        while (assigned) {
            const bool reserved = co_await tryReserveAt(*assigned);
            if (reserved) {
                co_return true;
            }
            m_decodePlacement.refuse();
            assigned = co_await m_decodePlacement.next();
        }
        co_return false;
    }

    /// Queries a few decode engines that aren't known to be full for memory. Their number is limited because each query opens a
    /// connection.
    asio::awaitable<bool> runReservationRound()
    {
        const bool isReserved = co_await reserveAtAssigned();
        if (isReserved || m_call.isEnded() || m_decodePlacement.refusedWait()) {
            co_return isReserved;
        }
        std::vector<registration> order;
        for (const registration *run : m_state.scheduler.decodeOrder(coreNow(), enginesIn(engine_phase::Decode), m_state.random)) {
            if (order.size() < (isResumed() ? kMaxQueriedForResume : kMaxQueriedPerRound)) {
                order.push_back(*run);
            }
        }
        for (const registration &run : order) {
            const bool reserved = co_await tryReserveAt(run);
            if (reserved) {
                m_decodePlacement.adopt(run);
                co_return true;
            }
            if (isOver() || !m_state.reach.isReached(poolIn(engine_phase::Decode))) {
                co_return false;
            }
        }
        co_return false;
    }

    /// Reserves memory for the decode at @p run; returns false when the engine didn't grant it.
    asio::awaitable<bool> tryReserveAt(registration run)
    {
        const std::uint32_t tokens = m_state.scheduler.reservedTokens(m_prompt);
        m_confirms = needsConfirmation();
        m_isInstanceNamed = false;
        const bool permitted = co_await m_state.permits.acquire(run, permitsPerDecode());
        if (!permitted) {
            co_return false;
        }
        const auto id = co_await reserveAt(run, tokens);
        if (!id) {
            m_state.permits.giveBack(run, permitsPerDecode() - 1);
            m_refusedReservations += 1;
            co_return false;
        }
        m_state.scheduler.addDecode(run.id, tokens);
        m_reserved = reservation{run, *id, tokens};
        m_reservedAfter = m_call.age();
        m_reservedAt = coreNow();
        m_reservationSent = false;
        tellOrigin(run);
        co_return true;
    }

    /// Reserves @p tokens of memory at @p run and returns the reservation's id; empty when the engine is full or doesn't answer.
    asio::awaitable<std::optional<std::string>> reserveAt(registration run, std::uint32_t tokens)
    {
        http_call call = m_state.dialect.makeReservation(run.id, tokens, reservationLifetime());
        call = prepareCall(m_state, run, std::move(call), m_state.timing.engineCallTimeout);
        const http_result result = co_await m_call.perform(run, std::move(call));
        if (!result.answer) {
            if (!isOver()) {
                m_state.noteFailedCall(run, result);
                m_state.scheduler.noteFull(coreNow(), run.id);
                m_call.noteFailedAttempt(run, "reserve", result.failure.reason, verdict::NotRun);
            }
            co_return std::nullopt;
        }
        const answer_facts facts = m_state.dialect.readAnswer(*result.answer, run.id);
        if (facts.wrongInstance) {
            co_return std::nullopt;
        }
        auto id = result.answer->status == net::status::kOk ? m_state.dialect.readReservation(*result.answer) : std::nullopt;
        if (id) {
            m_state.scheduler.noteAccepted(run.id);
        } else {
            m_state.scheduler.noteFull(coreNow(), run.id);
        }
        co_return id;
    }

    std::chrono::milliseconds reservationLifetime() const
    {
        constexpr std::chrono::milliseconds kDefaultLifetime{2000};
        const service_spec *spec = m_state.routes ? m_state.routes->service(m_service) : nullptr;
        const bool known = spec != nullptr && spec->engine && spec->engine->maxReservationLifetime.count() > 0;
        return known ? spec->engine->maxReservationLifetime : kDefaultLifetime;
    }

    /// Lets a prefill engine compute the KV cache of the prompt. Without any usable prefill engine the decode engine computes it, which
    /// delays the generations that run there. Returns false when the request must end.
    asio::awaitable<bool> computePrefill()
    {
        if (m_prefill) {
            co_return true;
        }
        const instant giveUpAt = coreNow() + m_state.scheduler.settings().maxMemoryWait;
        m_triedPrefills.clear();
        beginPlacement(m_prefillPlacement, m_prompt.promptTokens, giveUpAt);
        bool retryGranted = m_prefillCount == 0;
        while (m_triedPrefills.size() < kMaxPrefills && !m_call.isEnded()) {
            if (endIfBarred()) {
                co_return false;
            }
            if (m_state.reach.isCutOff(poolIn(engine_phase::Prefill))) {
                m_reason = kCutOffReason;
                co_return !m_forwarder->isNeeded({poolIn(engine_phase::Prefill)});
            }
            const std::optional<registration> assigned = co_await m_prefillPlacement.next();
            if (isWithoutRoom(m_prefillPlacement)) {
                co_return false;
            }
            if (enginesIn(engine_phase::Prefill).empty()) {
                const bool awaits = awaitsPermit(engine_phase::Prefill, giveUpAt);
                if (!awaits && !isAskedToWait()) {
                    co_return true;
                }
                if (!awaits) {
                    co_return false;
                }
                co_await waitForNextRound();
                continue;
            }
            const auto order = m_state.scheduler.prefillOrder(coreNow(), untriedPrefillEngines(), m_state.random);
            if (!assigned && order.empty()) {
                m_reason = "prefill_engines_busy";
                if (coreNow() >= giveUpAt) {
                    co_return false;
                }
                co_await waitForNextRound();
                continue;
            }
            if (!retryGranted && !m_state.tryRetry(m_service)) {
                m_reason = "retry_budget_used_up";
                co_return false;
            }
            retryGranted = true;
            const registration run = assigned ? *assigned : *order.front();
            const bool permitted = co_await m_state.permits.acquire(run, 1);
            if (!permitted) {
                m_prefillPlacement.refuseIf(assigned);
                continue;
            }
            // A limit keeps the engine's queue short by itself, and a reservation would take a permit of its own.
            std::optional<std::string> reservationId;
            if (!m_state.permits.isLimited(run)) {
                const std::uint32_t tokens = m_state.scheduler.prefillReservation(m_prompt, static_cast<std::uint32_t>(memoryTokensOf(run.service)));
                reservationId = co_await reserveAt(run, tokens);
                if (!reservationId) {
                    m_prefillPlacement.refuseIf(assigned);
                    continue;
                }
            }
            if (!assigned) {
                m_prefillPlacement.adopt(run);
            }
            m_triedPrefills.insert(run.id);
            const bool computed = co_await prefillAt(run);
            m_prefillPlacement.end();
            retryGranted = false;
            if (reservationId) {
                sendDetached(run, m_state.dialect.releaseReservation(run.id, *reservationId));
            }
            if (computed) {
                co_return true;
            }
            m_isTrial = false;
            co_await m_state.crashes.checkBeforeRetry(run, m_call.fingerprints().fingerprint);
        }
        m_reason = "prefill_failed";
        co_return false;
    }

    /// Returns the prefill engines that haven't computed, or failed to compute, the current KV cache.
    std::vector<upstream_candidate> untriedPrefillEngines() const
    {
        std::vector<upstream_candidate> engines = enginesIn(engine_phase::Prefill);
        std::erase_if(engines, [this](const upstream_candidate &engine) { return m_triedPrefills.contains(engine.run->id); });
        return engines;
    }

    asio::awaitable<void> waitForNextRound()
    {
        co_await m_call.wait(std::chrono::duration_cast<std::chrono::milliseconds>(m_state.scheduler.settings().reservationRetryInterval));
    }

    asio::awaitable<bool> prefillAt(registration run)
    {
        m_prefillCount += 1;
        upstream_directions directions;
        directions.instance = run.id;
        directions.timeLeft = m_call.timeLeft();
        directions.prefillOnly = true;
        http_call call = m_call.makeUpstreamCall(run, directions);
        call.progressTimeout = std::min(call.progressTimeout, kPrefillTimeout);
        call.totalTimeout = call.progressTimeout;
        const instant sentAt = coreNow();
        m_state.scheduler.addPrefill(run.id, m_prompt.promptTokens);
        m_call.beginAttempt(run);
        http_result result = co_await m_call.perform(run, std::move(call));
        m_state.scheduler.removePrefill(run.id, m_prompt.promptTokens);
        const duration took = coreNow() - sentAt;
        m_call.endAttempt(result);
        if (!result.answer) {
            if (!isOver()) {
                m_state.noteFailedCall(run, result);
                m_state.scheduler.notePrefill(coreNow(), run.id, m_prompt.promptTokens, took);
                m_call.noteFailedAttempt(run, "prefill", result.failure.reason, verdict::NotRun);
            }
            co_return false;
        }
        const answer_facts facts = m_state.dialect.readAnswer(*result.answer, run.id);
        const bool isOfAnother = m_call.isOfAnotherRequest(facts);
        const bool succeeded = result.answer->status == net::status::kOk && !isOfAnother;
        const auto handle = succeeded ? m_state.dialect.readPrefill(*result.answer) : std::nullopt;
        if (!handle) {
            if (facts.notRun && !isOfAnother) {
                m_state.scheduler.noteWrongPhase(coreNow(), run.id);
            } else {
                m_state.health.noteFailure(coreNow(), run.id);
            }
            const std::string reason = isOfAnother ? "answer_to_another_request" : "status_" + std::to_string(result.answer->status);
            m_call.noteFailedAttempt(run, "prefill", reason, verdict::NotRun);
            co_return false;
        }
        m_prefillTook = took;
        const duration computing = m_state.scheduler.computeTime(m_prompt.promptTokens);
        m_state.health.noteSuccess(coreNow(), run.id, took, std::max(computing, duration(1)));
        m_state.scheduler.notePrefill(coreNow(), run.id, m_prompt.promptTokens, took);
        m_state.plannerOf(m_service).notePrefill(computing);
        m_prefill = computed_prefill{run, *handle};
        co_return true;
    }

    /// Sends the decode request to the engine with the reservation and streams its answer to the caller.
    asio::awaitable<decode_outcome> decode()
    {
        const registration run = m_reserved->run;
        upstream_directions directions;
        directions.instance = run.id;
        directions.timeLeft = m_call.timeLeft();
        if (m_prefill) {
            directions.source = kv_handle{m_prefill->run.address, m_prefill->handle};
        }
        directions.reservation = m_reserved->id;
        http_call call = m_call.makeUpstreamCall(run, directions);
        m_upstream = run.id;
        m_version = run.softwareVersion;
        m_state.origins.noteWriter(m_stream, run, m_isInstanceNamed);
        m_sentAt = coreNow();
        m_reservationSent = true;
        m_call.beginAttempt(run);
        auto onHead = [this](const http_answer &head) { return beginStream(head); };
        auto onBody = [this](std::string_view piece) { return forwardPiece(piece); };
        http_result result = co_await m_call.perform(run, std::move(call), onHead, onBody);
        co_return co_await finishDecode(run, std::move(result));
    }

    /// Decides by the head of the answer whether the body is streamed to the caller.
    asio::awaitable<bool> beginStream(http_answer head)
    {
        const answer_facts facts = m_state.dialect.readAnswer(head, m_upstream);
        if (!net::status::isSuccess(head.status) || !m_call.validateAnswer(facts, head).empty()) {
            co_return false;
        }
        m_streaming = true;
        m_framing = head.framing;
        http_answer answer;
        answer.status = head.status;
        answer.contentType.clear();
        answer.fields = m_state.dialect.callerFields(head);
        co_await m_call.responder().beginStream(std::move(answer));
        co_return true;
    }

    asio::awaitable<void> forwardPiece(std::string_view piece)
    {
        const bool isFirst = !m_firstAt;
        if (isFirst) {
            m_firstAt = coreNow();
            const duration computing = m_prefill ? duration::zero() : 2 * m_state.scheduler.computeTime(m_prompt.promptTokens);
            m_state.health.noteSuccess(*m_firstAt, m_upstream, *m_firstAt - m_sentAt, kExpectedFirstEventTime + computing);
            m_state.log(log_level::Debug, "stream_begun", {requestIdField(m_call.facts().id), upstreamField(m_upstream), {"software_version", m_version}});
        }
        m_state.origins.notePart(m_stream, m_call.matchedRoute().resumable);
        m_call.noteProgress();
        m_events.feed(piece);
        std::string data(piece);
        if (isFirst) {
            co_await m_state.origins.waitUntilRecorded(m_stream, maxRecordWait());
            m_recordWait = coreNow() - *m_firstAt;
        }
        co_await m_call.responder().write(std::move(data));
    }

    /// How long the first event may be kept back until the origin of the stream is in the store. It must not miss its latency target by that.
    duration maxRecordWait() const
    {
        const duration beforeTarget = m_call.matchedRoute().latencyTarget - m_call.age();
        return beforeTarget > duration::zero() ? std::min<duration>(beforeTarget, kMaxRecordWait) : kMaxRecordWait;
    }

    asio::awaitable<decode_outcome> finishDecode(registration run, http_result result)
    {
        m_decodeTook = coreNow() - m_sentAt;
        m_decodePlacement.end();
        const std::string_view fault = m_streaming ? faultOf({m_framing, m_events.events(), m_events.isInsideEvent()}) : std::string_view();
        if (result.answer && !fault.empty()) {
            result = {std::nullopt, {verdict::Ran, std::string(fault)}};
        }
        m_call.endAttempt(result);
        if (m_streaming) {
            const double memory = memoryTokensOf(run.service);
            if (memory > 0) {
                m_state.plannerOf(m_service).noteDecode(m_decodeTook, m_state.scheduler.reservedTokens(m_prompt) / memory);
            }
            m_streamComplete = result.answer.has_value();
            if (m_streamComplete) {
                m_state.noteCallTime(m_service, m_call.matchedRoute().kind, m_decodeTook);
                m_state.noteStreamTime(m_service, m_firstAt.value_or(m_sentAt) - m_sentAt, m_decodeTook, m_events.events());
                m_state.crashes.noteCompleted(m_call.fingerprints());
                co_await m_call.responder().endStream();
            } else if (!m_call.isEnded()) {
                m_state.health.noteFailure(coreNow(), run.id);
                m_call.noteFailedAttempt(run, "decode", result.failure.reason, verdict::Ran);
            }
            m_reason = result.failure.reason;
            m_prefill.reset();
            const bool callerWaits = !m_streamComplete && !m_call.isEnded();
            co_await m_state.origins.noteEnd(m_stream, m_streamComplete, callerWaits);
            co_return decode_outcome::Ended;
        }
        if (!result.answer) {
            co_return handleDecodeFailure(run, result);
        }
        co_return co_await handleUnstreamedAnswer(run, std::move(*result.answer));
    }

    decode_outcome handleDecodeFailure(const registration &run, const http_result &result)
    {
        m_reason = "decode_failed: " + result.failure.reason;
        if (m_call.isEnded()) {
            m_execution = result.failure.outcome;
            return decode_outcome::Ended;
        }
        m_state.noteFailedCall(run, result);
        m_call.noteFailedAttempt(run, "decode", result.failure.reason, result.failure.outcome);
        if (result.failure.outcome == verdict::NotRun) {
            releaseReservation();
            return decode_outcome::NotRun;
        }
        m_execution = verdict::MayHaveRun;
        return decode_outcome::Ended;
    }

    asio::awaitable<decode_outcome> handleUnstreamedAnswer(registration run, http_answer answer)
    {
        const answer_facts facts = m_state.dialect.readAnswer(answer, run.id);
        const bool isOfAnother = m_call.isOfAnotherRequest(facts);
        const bool isRefused = facts.notRun && !isOfAnother;
        const std::string reason = isOfAnother ? "answer_to_another_request" : "status_" + std::to_string(answer.status);
        const verdict execution = isOfAnother ? verdict::MayHaveRun : verdict::Ran;
        m_call.noteFailedAttempt(run, "decode", reason, isRefused ? verdict::NotRun : execution);
        if (isRefused) {
            // The engine holds reserved memory for this request, so it is more likely to be changing its phase than full.
            m_state.scheduler.noteWrongPhase(coreNow(), run.id);
            releaseReservation();
            if (++m_handleRefusals >= kMaxHandleRefusals) {
                releaseKvCache();
            }
            m_reason = "decode_refused";
            co_return decode_outcome::NotRun;
        }
        m_state.health.noteFailure(coreNow(), run.id);
        m_execution = verdict::MayHaveRun;
        m_reason = "decode_answer_unusable";
        if (m_call.validateAnswer(facts, answer).empty()) {
            m_forwardedStatus = answer.status;
            co_await m_call.forwardAnswer(std::move(answer));
        }
        co_return decode_outcome::Ended;
    }

    double memoryTokensOf(const std::string &service) const
    {
        const service_spec *spec = m_state.routes ? m_state.routes->service(service) : nullptr;
        return spec != nullptr && spec->engine ? static_cast<double>(spec->engine->memoryTokens) : 0.0;
    }

    /// Returns a breakdown of the request's time, and what arrived of its stream, for its final log line.
    std::vector<log_field> detailFields() const
    {
        const auto text = [](duration value) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()); };
        std::vector<log_field> fields = {{"prompt_tokens", std::to_string(m_prompt.promptTokens)},
                                         {"reserved_after_ms", text(m_reservedAfter)},
                                         {"prefill_ms", m_prefillTook > duration::zero() ? text(m_prefillTook) : "at_decode"},
                                         {"first_event_ms", m_firstAt ? text(*m_firstAt - m_sentAt) : "none"},
                                         {"record_wait_ms", text(m_recordWait)},
                                         {"decode_ms", text(m_decodeTook)},
                                         {"reservations_refused", std::to_string(m_refusedReservations)}};
        if (!m_upstream.empty()) {
            fields.push_back({"software_version", m_version});
        }
        if (m_streaming) {
            fields.push_back({"framing", std::string(net::toString(m_framing))});
            fields.push_back({"events", std::to_string(m_events.events())});
            fields.push_back({"inside_event", m_events.isInsideEvent() ? "true" : "false"});
        }
        return fields;
    }

    /// Releases what the request holds, answers the caller unless an answer was already sent, and logs the end of the request.
    asio::awaitable<void> finishRequest()
    {
        m_call.addLogFields(detailFields());
        m_state.origins.finish(m_stream);
        releaseReservation();
        releaseKvCache();
        if (m_call.isCallerGone()) {
            m_call.finish({"caller_gone", 0, "the caller closed its connection", m_streaming ? verdict::Ran : m_execution, m_upstream});
        } else if (m_streaming) {
            if (!m_streamComplete) {
                m_call.responder().abort();
            }
            m_call.finish({m_streamComplete ? "answered" : "broken", net::status::kOk, m_reason, verdict::Ran, m_upstream});
        } else if (m_forwardedStatus) {
            m_call.finish({"answered", *m_forwardedStatus, m_reason, verdict::Ran, m_upstream});
        } else if (m_execution == verdict::NotRun && !m_call.isTimedOut()) {
            co_await sendUnavailable();
        } else {
            const unsigned status = m_call.isTimedOut() ? net::status::kGatewayTimeout : net::status::kBadGateway;
            co_await m_call.sendError(status, "failed", std::nullopt);
            m_call.finish({"failed", status, m_reason, m_execution, m_upstream});
        }
    }

    asio::awaitable<void> sendUnavailable()
    {
        const bool hasNoEngine = m_reason == "no_engine" || m_reason == kNoEngineOfVersionReason || m_reason == kCutOffReason;
        duration wait = std::max<duration>(hasNoEngine ? kNoEngineRetryAfter : kFullRetryAfter, m_quarantined);
        if (m_reason == kUnknownOriginReason) {
            wait = duration::zero(); // The next entry may know.
        }
        if (m_refusedWait) {
            wait = *m_refusedWait;
        }
        if (isAskedToWait()) {
            wait = std::max(wait, m_state.nextReturn(m_service, m_state.askingToWait(m_state.registry.usable(m_service))));
        }
        const bool isForOthers = m_reason == kStoppingReason || m_reason == kKeyNotConfirmedReason;
        const auto retryAfter = isForOthers ? m_state.retryElsewhereAfter(m_call.timeLeft())
                                            : retryAfterDelay(m_state.retryAfterSettings, wait, m_call.timeLeft(), m_state.sampleUniform());
        co_await m_call.sendError(net::status::kUnavailable, m_reason, retryAfter);
        m_call.finish({"refused", net::status::kUnavailable, m_reason, verdict::NotRun, m_upstream});
    }

    /// Releases the reservation. An engine that received it with a decode request releases it by itself.
    void releaseReservation()
    {
        m_decodePlacement.end();
        if (!m_reserved) {
            return;
        }
        m_state.scheduler.removeDecode(m_reserved->run.id, m_reserved->tokens);
        if (!m_reservationSent && !m_reserved->id.empty()) {
            m_state.permits.giveBack(m_reserved->run, kPermitsPerDecode - 1);
            sendDetached(m_reserved->run, m_state.dialect.releaseReservation(m_reserved->run.id, m_reserved->id));
        }
        m_reserved.reset();
    }

    /// Releases the KV cache if no decode engine has fetched it.
    void releaseKvCache()
    {
        if (!m_prefill) {
            return;
        }
        sendDetached(m_prefill->run, m_state.dialect.freeHandle(m_prefill->run.id, m_prefill->handle));
        m_prefill.reset();
    }

    void sendDetached(const registration &run, http_call call)
    {
        call = prepareCall(m_state, run, std::move(call), m_state.timing.engineCallTimeout);
        asio::co_spawn(m_state.executor, fireAndForget(m_state, run, std::move(call)), asio::detached);
    }

    relay_call &m_call;
    relay_state &m_state;
    stream_placement m_decodePlacement;
    stream_placement m_prefillPlacement;
    std::optional<entry_forwarder> m_forwarder; ///< Set by run().
    std::string m_service;
    std::set<std::string> m_triedPrefills; ///< Engines that were asked for the current KV cache.
    std::optional<duration> m_refusedWait; ///< The expected wait, if a coordinator has refused the request.
    std::uint64_t m_stream = 0; ///< Hash of the attempt that began the stream.
    std::optional<stream_origin> m_origin; ///< The version that other entries know for the stream.
    bool m_isOriginTold = false; ///< By this request.
    bool m_isTrial = false; ///< The request may be sent once although it has crashes, see request_quarantine.
    bool m_confirms = false; ///< The instance of the reserved engine is confirmed before the decode.
    bool m_isInstanceNamed = false; ///< By that engine itself.
    bool m_changedVersion = false; ///< Since this request has told it.
    prompt_facts m_prompt;
    std::optional<reservation> m_reserved;
    std::optional<computed_prefill> m_prefill;
    std::string m_upstream;
    std::string m_version; ///< Software version of that upstream.
    std::string m_reason;
    instant m_sentAt{};
    net::body_framing m_framing = net::body_framing::Length; ///< Of the streamed answer.
    net::event_boundary_tracker m_events;
    std::optional<instant> m_firstAt;
    instant m_reservedAt{};
    duration m_reservedAfter{}; ///< Age of the request when the memory was reserved.
    duration m_quarantined{}; ///< For how long the request is quarantined, if that ended it.
    duration m_prefillTook{};
    duration m_recordWait{}; ///< For which the first event was kept back.
    duration m_decodeTook{};
    std::optional<unsigned> m_forwardedStatus; ///< Status of an upstream's error answer that was sent to the caller.
    verdict m_execution = verdict::NotRun;
    std::uint32_t m_prefillCount = 0;
    std::uint32_t m_handleRefusals = 0;
    std::uint32_t m_refusedReservations = 0;
    bool m_reservationSent = false;
    bool m_isUnserved = false; ///< There are engines, and none of them could be connected to lately.
    bool m_streaming = false;
    bool m_streamComplete = false;
};

} // namespace

asio::awaitable<void> relayStream(relay_call &call)
{
    stream_relay relay(call);
    co_await relay.run();
}

} // namespace heatherroute::node
