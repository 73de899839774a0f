#include "node/relay_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include "net/http_server.h"
#include "net/http_status.h"
#include "node/boot_clock.h"
#include "node/config_currency_monitor.h"
#include "node/phase_orders.h"
#include "node/plain_relay.h"
#include "node/refusal_report.h"
#include "node/relay_call.h"
#include "node/stream_relay.h"
#include "node/team_admission.h"
#include "relay/entry_addresses.h"
#include "relay/lease_candidate.h"
#include "relay/origin_record.h"
#include "relay/store_read_schedule.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_request;
using net::http_responder;
using net::http_server;

namespace
{

constexpr std::chrono::milliseconds kTickInterval{100};
/// How long callers may cache an answer of the directory.
constexpr std::chrono::seconds kDirectoryLifetime{3};
/// Time from the start in which the first reads of the store are expected to end.
constexpr duration kFirstReadTime = std::chrono::milliseconds(1'500);
/// Minimum Retry-After delay while this entry has no configuration yet.
constexpr duration kStartingRetryAfter = std::chrono::milliseconds(400);
constexpr std::uint32_t kFullLoadPermille = 1000;
/// Size limits of a request's body and header until a configuration sets them.
constexpr std::size_t kDefaultBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kDefaultHeaderBytes = std::size_t{16} * 1024;
/// Callers rely on the configured idle timeout. Idle connections are kept open longer by this margin, so that a connection isn't closed
/// while its next request is on the way.
constexpr std::chrono::milliseconds kIdleMargin{2'000};
/// Number of entries that tell a new one what it has missed; more than are expected to fail at once.
constexpr std::size_t kIntroducingEntries = 3;
/// Limits the datagrams while many entries start; more upstreams seldom leave at the same time.
constexpr std::size_t kMaxAnnouncedDraining = 16;
/// How long before its answer a read of the store, of which another entry tells, has begun.
constexpr std::chrono::milliseconds kMaxReadTime{200};
/// Timeout of health checks and of the state queries to refusing engines.
constexpr std::chrono::milliseconds kProbeTimeout{500};

} // namespace

class relay_duty::impl : public std::enable_shared_from_this<relay_duty::impl>
{
public:
    impl(asio::io_context &context,
         relay_duty_settings settings,
         platform_dialect dialect,
         channel<member_event> &toMembers,
         channel<store_event> &toStore,
         std::function<void(log_line)> log)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_state(context.get_executor(),
                  std::move(dialect),
                  m_settings.retries,
                  m_settings.entryName,
                  m_settings.zone,
                  m_settings.incarnation,
                  m_settings.seed,
                  m_settings.sharedPlacementEntries)
        , m_orders(m_state, m_settings.takeoverDelay)
        , m_currency(currencyHooks(), m_settings.revokeTime, m_settings.seed ^ m_settings.incarnation)
        , m_leaseCandidate(lease_candidate::make({}, coreNow()))
        , m_toMembers(toMembers)
        , m_toStore(toStore)
        , m_tick(context)
        , m_stopTimer(context)
        , m_refusals([this](log_line line) {
            if (m_state.writeLog) {
                m_state.writeLog(std::move(line));
            }
        })
    {
        if (m_settings.memory) {
            m_state.memory = m_settings.memory;
        }
        stop_settings stop;
        stop.grace = m_settings.stopGrace;
        m_state.stop = stop_plan::make(stop);
        m_state.quotas.setRule(m_settings.quota);
        m_state.writeLog = std::move(log);
        m_state.recordCrashes = [this](crash_evidence evidence) { post(m_toStore, store_event(crashes_to_record{std::move(evidence)})); };
        m_state.recordOrigins = [this](const std::vector<stream_origin> &origins, duration waited) {
            m_state.log(log_level::Info,
                        "stream_origins_to_record",
                        {{"streams", std::to_string(origins.size())}, {"waited_ms", std::to_string(waited.count() / 1000)}});
            post(m_toStore, store_event(origins_to_record{makeOriginRecord(origins, m_state.versions.summary(coreNow()))}));
        };
        m_state.readUpstreams = [this] { post(m_toStore, store_event(registrations_wanted{})); };
        m_state.readOrigins = [this](bool withVersions) { post(m_toStore, store_event(recorded_origins_wanted{withVersions})); };
        m_state.access.setHooks(accessHooks());
        m_state.sendToEntries = [this](peer_body body, std::optional<std::string> peerAddress) {
            post(m_toMembers, member_event(message_to_send{std::move(body), std::move(peerAddress)}));
        };
    }

    bool open(last_reason *reason)
    {
        const auto makeErrorAnswer = [](unsigned status, std::string_view why) {
            http_answer answer;
            answer.status = status;
            answer.body = "{\"error\":\"" + std::string(why) + "\"}";
            return answer;
        };
        m_limits.maxHeaderBytes = kDefaultHeaderBytes;
        m_limits.maxBodyBytes = kDefaultBodyBytes;
        m_limits.maxConnections = m_settings.connections.callers;
        m_limits.bodyProgressTimeout = m_settings.bodyProgressTimeout;
        net::http_limits otherLimits;
        otherLimits.maxConnections = m_settings.connections.others;
        const auto serveCaller = [this](http_request request, http_responder &responder) { return serve(shared_from_this(), std::move(request), responder); };
        const auto serveReadiness = [this](http_request request, http_responder &responder) { return answerReadiness(std::move(request), responder); };
        const auto serveDirectory = [this](http_request request, http_responder &responder) { return answerDirectory(std::move(request), responder); };
        m_callers = http_server::make(m_context, m_settings.callers, m_limits, serveCaller, makeErrorAnswer, reason);
        m_readiness = m_callers ? http_server::make(m_context, m_settings.readiness, otherLimits, serveReadiness, makeErrorAnswer, reason) : nullptr;
        m_directory = m_readiness ? http_server::make(m_context, m_settings.directory, otherLimits, serveDirectory, makeErrorAnswer, reason) : nullptr;
        guard(m_callers, "callers");
        guard(m_readiness, "readiness");
        guard(m_directory, "directory");
        if (m_directory == nullptr || !m_settings.entries) {
            return m_directory != nullptr;
        }
        const auto serveEntry = [this](http_request request, http_responder &responder) {
            return serveForwarded(shared_from_this(), std::move(request), responder);
        };
        m_entries = http_server::make(m_context, *m_settings.entries, entryLimits(), serveEntry, makeErrorAnswer, reason);
        if (m_entries == nullptr) {
            return false;
        }
        guard(m_entries, "entries");
        const auto bound = m_entries->endpoint();
        m_state.reach.setAddress(bound.address().to_string() + ":" + std::to_string(bound.port()));
        return true;
    }

    void start()
    {
        m_startedAt = coreNow();
        m_state.gossip.noteStarted(m_startedAt);
        asio::post(m_context, [this] { tick(); });
    }

    void handle(relay_event event)
    {
        std::visit([this](auto &typed) { on(typed); }, event);
    }

    void stop(std::function<void()> onStopped)
    {
        m_state.stop.begin(bootNow());
        m_onStopped = std::move(onStopped);
        updateRank();
        m_state.log(log_level::Info, "stopping", {{"in_flight", std::to_string(m_callsInFlight.size())}});
        post(m_toMembers, member_event(leave_membership{}));
        post(m_toStore, store_event(store_stop{}));
        m_state.permits.stop();
        m_state.quotas.stop();
        m_state.origins.stop();
        m_state.placements.stop();
        advanceStop();
    }

    void noteRefusal(const std::string &listener, net::refusal_reason reason, const std::string &remoteAddress)
    {
        m_state.metrics
            .counter("heatherroute_connections_refused_total",
                     "Requests that were refused unread and connections that were closed, by listener and reason.",
                     {{"listener", listener}, {"reason", std::string(net::toString(reason))}})
            .value += 1;
        m_refusals.note(std::chrono::steady_clock::now(), listener, reason, remoteAddress);
    }

    metrics_snapshot metrics() const
    {
        return m_state.metrics.snapshot();
    }

private:
    config_currency_hooks currencyHooks()
    {
        config_currency_hooks hooks;
        hooks.log = [this](log_level level, std::string event, std::vector<log_field> fields) { m_state.log(level, std::move(event), std::move(fields)); };
        hooks.send = [this](peer_body body, std::string peerAddress) { m_state.sendToEntries(std::move(body), std::move(peerAddress)); };
        hooks.readConfig = [this] { post(m_toStore, store_event(config_outdated{})); };
        hooks.now = bootNow;
        return hooks;
    }

    team_access_hooks accessHooks()
    {
        team_access_hooks hooks;
        hooks.isConfigCurrent = [this] { return m_currency.isCurrent(); };
        hooks.isConfigOutdated = [this] { return m_currency.isOutdated(); };
        hooks.configAge = [this] { return m_currency.age(); };
        hooks.charge = [this](const team &caller, std::uint32_t cost, std::uint64_t version) { return m_state.quotas.charge(caller, cost, version); };
        hooks.refund = [this](const team &caller, std::uint32_t cost, std::uint32_t number) { m_state.quotas.refund(caller, cost, number); };
        return hooks;
    }

    bool isReady() const
    {
        return m_state.routes != nullptr && m_state.registry.isComplete() && !m_state.stop.isStopping();
    }

    // Callers.

    /// Lists a request in flight until it has been served, also if an exception ends it.
    class listed_call
    {
    public:
        listed_call(impl &duty, relay_call &call)
            : m_duty(duty)
            , m_call(call)
        {
            m_duty.m_callsInFlight.insert(&m_call);
            m_duty.m_forwardedInFlight += m_call.isFromEntry() ? 1 : 0;
        }

        ~listed_call()
        {
            m_duty.m_forwardedInFlight -= m_call.isFromEntry() ? 1 : 0;
            m_duty.m_callsInFlight.erase(&m_call);
        }

        listed_call(const listed_call &) = delete;
        listed_call &operator=(const listed_call &) = delete;

    private:
        impl &m_duty;
        relay_call &m_call;
    };

    /// Serves one request. @p self keeps the state alive because a request releases its memory on engines on destruction, which may
    /// happen as late as the destruction of the io_context.
    static asio::awaitable<void> serve(std::shared_ptr<impl> self, http_request request, http_responder &responder)
    {
        relay_call call(self->m_state, std::move(request), responder);
        const listed_call listed(*self, call);
        co_await self->route(call);
    }

    /// Serves a request that another entry has passed on, or declines it.
    static asio::awaitable<void> serveForwarded(std::shared_ptr<impl> self, http_request request, http_responder &responder)
    {
        const std::string sender = request.remoteAddress;
        relay_call call(self->m_state, std::move(request), responder, request_sender::Entry);
        const listed_call listed(*self, call);
        const std::optional<forward_decline> declined = self->declineFor(call);
        self->m_state.log(log_level::Info,
                          "forwarded_request_received",
                          {requestIdField(call.facts().id), {"from", sender}, {"declined", declined ? std::string(toString(*declined)) : "no"}});
        if (declined) {
            co_await call.decline(*declined);
        } else {
            co_await self->route(call);
        }
    }

    /// Returns why this entry doesn't serve @p call, which another entry has passed on; empty if it does.
    std::optional<forward_decline> declineFor(const relay_call &call)
    {
        if (m_state.routes && call.sendersConfigVersion() > m_state.routes->version()) {
            post(m_toStore, store_event(config_outdated{}));
        }
        if (!isReady() || !call.agreesWithSender()) {
            return forward_decline::NotReady;
        }
        return m_state.forwarding.mayAccept(m_forwardedInFlight - 1) ? std::nullopt : std::optional(forward_decline::Busy);
    }

    /// Lets @p server share the memory of the process and report what it refuses.
    void guard(const std::unique_ptr<http_server> &server, std::string listener)
    {
        if (server) {
            server->guard(m_state.memory, [this, listener = std::move(listener)](net::refusal_reason reason, const std::string &remoteAddress) {
                noteRefusal(listener, reason, remoteAddress);
            });
        }
    }

    /// The limits of callers, with room for the fields that entries add.
    net::http_limits entryLimits() const
    {
        constexpr std::size_t kEntryFieldBytes = 1024;
        net::http_limits limits = m_limits;
        limits.maxHeaderBytes += kEntryFieldBytes;
        limits.maxConnections = m_settings.connections.entries;
        return limits;
    }

    asio::awaitable<void> route(relay_call &call)
    {
        if (!m_state.routes || !m_state.registry.isComplete()) {
            const auto retryAfter = retryAfterDelay(
                m_state.retryAfterSettings, kStartingRetryAfter, call.facts().timeLeft.value_or(kStartingRetryAfter * 3), m_state.sampleUniform());
            co_await call.sendError(net::status::kUnavailable, "starting", retryAfter);
            call.finish({"refused", net::status::kUnavailable, "this entry has no configuration yet", verdict::NotRun, ""});
            co_return;
        }
        const heatherroute::route *matched = m_state.routes->find(call.facts().host, call.facts().path);
        if (matched == nullptr) {
            co_await call.sendError(net::status::kNotFound, "no route", std::nullopt);
            call.finish({"refused", net::status::kNotFound, "no route for " + call.facts().host + call.facts().path, verdict::NotRun, ""});
            co_return;
        }
        call.begin(*matched);
        const bool isAdmitted = co_await admitTeam(call);
        if (!isAdmitted) {
            co_return;
        }
        if (matched->generates) {
            co_await relayStream(call);
        } else {
            co_await relayPlain(call);
        }
    }

    // Readiness checks of the platform and directory queries of callers.

    asio::awaitable<void> answerReadiness(http_request request, http_responder &responder)
    {
        const bool isReadinessCheck = m_state.dialect.isReadinessProbe(request);
        http_answer answer;
        answer.status = isReadinessCheck ? (isReady() ? net::status::kOk : net::status::kUnavailable) : net::status::kNotFound;
        co_await responder.send(std::move(answer));
    }

    asio::awaitable<void> answerDirectory(http_request request, http_responder &responder)
    {
        const auto query = m_state.dialect.readEntryQuery(request);
        http_answer answer;
        if (query) {
            answer = m_state.dialect.makeEntryAnswer(entriesNear(query->zone), kDirectoryLifetime);
        } else {
            answer.status = net::status::kNotFound;
        }
        co_await responder.send(std::move(answer));
    }

    std::vector<std::string> entriesNear(const std::string &zone)
    {
        member self;
        self.id.name = m_settings.entryName;
        self.callerAddress = m_settings.callerAddress;
        self.zone = m_settings.zone;
        self.region = m_settings.region;
        self.state = isReady() ? member_state::Alive : member_state::Leaving;
        std::vector<const member *> known{&self};
        for (const member &other : m_otherEntries) {
            known.push_back(&other);
        }
        return selectEntryAddresses(zone, known, m_state.random);
    }

    // Events from other duties.

    void on(routes_read &event)
    {
        if (m_state.routes && event.routes->version() <= m_state.routes->version()) {
            return;
        }
        m_state.routes = std::move(event.routes);
        m_currency.onApplied(m_state.routes->version(), m_state.routes->requiresKeys());
        const caller_bounds &bounds = m_state.routes->bounds();
        if (bounds.maxHeaderBytes > 0) {
            m_limits.maxHeaderBytes = bounds.maxHeaderBytes;
        }
        if (bounds.maxBodyBytes > 0) {
            m_limits.maxBodyBytes = bounds.maxBodyBytes;
        }
        if (bounds.headerTimeout.count() > 0) {
            m_limits.headerTimeout = bounds.headerTimeout;
        }
        if (bounds.idleTimeout.count() > 0) {
            m_limits.idleTimeout = bounds.idleTimeout + kIdleMargin;
        }
        m_callers->setLimits(m_limits);
        if (m_entries) {
            m_entries->setLimits(entryLimits());
        }
        m_state.log(log_level::Info, "config_applied", {{"version", std::to_string(m_state.routes->version())}});
        announceReadiness();
    }

    void on(upstreams_reported &event)
    {
        const instant now = coreNow();
        if (m_state.registry.isAuthoritative(now)) {
            m_state.gossip.noteRead(now);
            m_state.versions.noteCurrent(now, duration::zero());
            m_state.versions.noteRead(event.readBegunAt, event.position);
        }
        std::set<std::string> ids(event.unreadable.begin(), event.unreadable.end());
        for (const registration &report : event.reports) {
            ids.insert(report.id);
            m_state.registry.onReport(report);
        }
        for (const std::string &id : event.removed) {
            m_state.registry.onRemoved(now, id);
        }
        if (event.isSnapshot) {
            m_state.registry.onSnapshot(now, ids);
        }
        if (m_state.registry.isAuthoritative(now)) {
            m_state.origins.noteList(event.readBegunAt);
        }
        m_missedChanges = false;
        announceReadiness();
    }

    void on(store_reachability &event)
    {
        if (event.reachable) {
            m_state.registry.onStoreBack(coreNow());
        } else {
            m_state.registry.onStoreLost(coreNow());
        }
    }

    void on(lease_term &event)
    {
        m_orders.setLease(event);
        m_leaseCandidate.setIsHolder(event.holds);
        announceLease(event.holds);
    }

    void on(members_changed &event)
    {
        m_otherEntries = std::move(event.others);
        m_state.retryBudget.setFleetSize(coreNow(), m_otherEntries.size() + 1);
        m_state.permits.setMembers(m_otherEntries);
        m_state.quotas.setMembers(m_otherEntries);
        m_state.origins.setMembers(m_otherEntries);
        m_state.placements.setMembers(m_otherEntries);
        m_state.forwarding.setMembers(m_otherEntries);
        m_currency.setMembers(m_otherEntries);
        updateRank();
        updateLeaseCandidacy();
        introduceEntries();
    }

    void on(store_update_received &event)
    {
        const instant now = coreNow();
        if (event.era > m_storeEra) {
            post(m_toStore, store_event(newer_era_seen{event.era}));
        }
        if (event.era != m_storeEra) {
            // It may speak of what the store has lost, or of what this entry can't place yet; it comes again.
            return;
        }
        m_currency.onUpdate(event.from, event.update.configVersion, event.update.readsStore);
        if (event.update.readsStore) {
            m_state.gossip.noteReceived(now, std::chrono::milliseconds(event.update.readAgeMs));
            m_state.versions.noteCurrent(now, std::chrono::milliseconds(event.update.readAgeMs));
        }
        if (event.update.lease == lease_claim::Held) {
            m_leaseCandidate.noteHolder(now);
        } else if (event.update.lease == lease_claim::Released) {
            m_leaseCandidate.noteReleased(now);
        }
        for (const upstream_update &change : event.update.changes) {
            const registration *known = m_state.registry.find(change.run.id);
            const bool isEarlier = known != nullptr && known->startedAt > change.run.startedAt;
            // An instance that was removed or replaced may have had another version than this entry knows under its id. Entries of earlier builds
            // don't send it.
            if ((change.gone || isEarlier) && !change.run.softwareVersion.empty()) {
                m_state.versions.note(now, change.run.service, change.run.softwareVersion);
                m_state.origins.noteInstance(change.run);
            }
            if (change.gone) {
                m_state.registry.onRemovalReceived(now, change.run);
            } else {
                m_state.registry.onReport(change.run);
            }
            if (change.movingTo) {
                m_state.notePhaseMove(change.run, *change.movingTo);
            }
        }
        if (event.update.readsStore) {
            m_state.origins.noteList(now - std::chrono::milliseconds(event.update.readAgeMs) - kMaxReadTime);
        }
        if (m_state.routes && event.update.configVersion > m_state.routes->version()) {
            post(m_toStore, store_event(config_outdated{}));
        }
    }

    void on(store_era_changed &event)
    {
        m_storeEra = event.era;
        if (event.isRestored) {
            const instant now = coreNow();
            m_state.metrics.counter("heatherroute_store_restores_total", "Times that the store came back from an older copy.").value += 1;
            m_state.gossip.onRestored();
            m_currency.onRestored();
            m_missedChanges = true;
            // Registrations that the copy lacks are given the same time to come back as after an outage.
            m_state.registry.onStoreLost(now);
            m_state.registry.onStoreBack(now);
            m_state.crashes.recordAgain();
            m_state.origins.recordAgain();
            announceDraining();
        }
    }

    void on(crash_reports_received &event)
    {
        m_state.crashes.onMessage(event.message);
    }

    void on(rate_limit_received &event)
    {
        m_state.permits.onMessage(event.from, event.message);
    }

    void on(team_quota_received &event)
    {
        m_state.quotas.onMessage(event.from, event.message);
    }

    void on(recorded_entries_read &event)
    {
        m_state.quotas.setRecordedEntries(event.count);
    }

    void on(config_currency_received &event)
    {
        m_currency.onMessage(event.from, event.message);
    }

    void on(engine_placement_received &event)
    {
        m_state.placements.onMessage(event.from, event.message);
    }

    void on(config_confirmed &event)
    {
        m_currency.onConfirmed(event.version, instant(std::chrono::milliseconds(event.askedAtMs)));
    }

    void on(entry_reach_received &event)
    {
        m_state.forwarding.onStatement(coreNow(), event.from, event.statement);
    }

    void on(stream_origin_received &event)
    {
        m_state.origins.onMessage(event.from, event.message);
    }

    void on(origins_recorded & /*event*/)
    {
        m_state.origins.onOriginsRecorded();
    }

    void on(recorded_origins_read &event)
    {
        m_state.origins.onRecorded(event.origins, event.isLast);
    }

    void on(recorded_versions_read &event)
    {
        const instant now = coreNow();
        const bool isUsed = m_state.versions.noteSummary(now, event.summary, event.writtenBefore, event.readBegunAt, event.later);
        m_state.log(log_level::Info,
                    "version_summary_read",
                    {{"used", isUsed ? "true" : "false"},
                     {"current_ms", std::to_string(event.summary.currentMs)},
                     {"later", std::to_string(event.later.size())},
                     {"history_ms", std::to_string(m_state.versions.currentTime(now).count() / 1000)}});
    }

    void on(recorded_crashes_read &event)
    {
        m_state.crashes.onRecord(event.evidence, event.isOwn);
    }

    /// Tells the other entries which upstreams leave. One that has started on an older list than this entry knows wouldn't learn it
    /// from changes.
    void announceDraining()
    {
        std::vector<const registration *> draining = m_state.registry.draining();
        draining.resize(std::min(draining.size(), kMaxAnnouncedDraining));
        for (const registration *run : draining) {
            m_state.gossip.noteChange(coreNow(), {*run, false, std::nullopt});
        }
    }

    /// Tells entries that have started, or were out of reach, about suspects of crashes and upstreams that leave. Of the suspects, the
    /// first entries by name tell, and an entry that was itself out of reach of all others.
    void introduceEntries()
    {
        const bool wasAlone = m_knownEntries.empty();
        bool hasNewEntry = false;
        std::set<member_id> present;
        for (const member &other : m_otherEntries) {
            present.insert(other.id);
            hasNewEntry = hasNewEntry || !m_knownEntries.contains(other.id);
            if (!m_knownEntries.contains(other.id)) {
                m_state.reach.introduceTo(other.peerAddress);
            }
            if (m_knownEntries.contains(other.id) || (m_rank >= kIntroducingEntries && !wasAlone)) {
                continue;
            }
            m_state.permits.introduceTo(other.peerAddress);
            for (const crash_message &message : m_state.crashes.introduction()) {
                post(m_toMembers, member_event(message_to_send{bodyOf(message), other.peerAddress}));
            }
        }
        m_knownEntries = std::move(present);
        if (hasNewEntry) {
            announceDraining();
        }
    }

    /// Decides whether this entry reads the store frequently or relies on updates from other entries, and sends the updates that are due.
    void exchangeGossip(instant now)
    {
        // What the store duty reads by itself at the start is on its way for a moment.
        const bool isLoaded = m_state.routes && m_state.registry.isComplete();
        const bool isLoading = !isLoaded && now - m_startedAt >= kFirstReadTime;
        store_polling_changed polling;
        polling.frequent = store_read_schedule::isFrequent({m_state.gossip.shouldRead(now), m_holdsLease, isLoading, m_missedChanges});
        polling.minRetryDelay = isLoaded && !m_missedChanges ? m_state.gossip.retryDelay() : duration::zero();
        if (polling != m_polling) {
            m_polling = polling;
            m_currency.setReadsStore(polling.frequent);
            post(m_toStore, store_event(polling));
        }
        for (store_update &message : m_state.gossip.dueMessages(now, m_state.routes ? m_state.routes->version() : 0)) {
            post(m_toMembers, member_event(store_update_broadcast{std::move(message), m_storeEra}));
        }
        for (const crash_message &message : m_state.crashes.dueMessages()) {
            post(m_toMembers, member_event(message_to_send{bodyOf(message), std::nullopt}));
        }
        m_state.permits.advance();
        m_state.origins.advance();
        m_state.placements.advance();
    }

    void announceLease(bool holds)
    {
        const bool isReleased = m_holdsLease && !holds && (m_state.stop.isStopping() || isCutOffFromEngines());
        m_state.gossip.setLease(holds ? lease_claim::Held : (isReleased ? lease_claim::Released : lease_claim::None));
        m_holdsLease = holds;
    }

    /// Updates this entry's ranks among the entries that are alive. The first ones by name are candidates for the lease, and the first ones in an
    /// order of its own read the store for the others. A stopping entry ranks last for reading the store.
    void updateRank()
    {
        std::size_t rank = 0;
        std::size_t readingRank = 0;
        for (const member &other : m_otherEntries) {
            const bool isAlive = other.state == member_state::Alive;
            rank += isAlive && other.id.name < m_settings.entryName ? 1 : 0;
            readingRank += isAlive && precedesInReading(other.id.name, m_settings.entryName) ? 1 : 0;
        }
        m_rank = rank;
        m_state.gossip.setEntries(m_otherEntries.size() + 1);
        m_state.crashes.setRank(rank);
        m_state.gossip.setRank(m_state.stop.isStopping() ? m_otherEntries.size() : readingRank);
        m_leaseCandidate.setRank(rank);
    }

    /// Whether this entry reaches no engine in any phase, so that it can't deliver orders.
    bool isCutOffFromEngines() const
    {
        bool hasEngines = false;
        if (m_state.routes) {
            for (const auto &[name, spec] : m_state.routes->services()) {
                for (const engine_phase phase : {engine_phase::Prefill, engine_phase::Decode}) {
                    const bool hasPool = spec.engine && !m_state.registry.usable(name, phase).empty();
                    if (hasPool && !m_state.reach.isCutOff({name, phase})) {
                        return false;
                    }
                    hasEngines = hasEngines || hasPool;
                }
            }
        }
        return hasEngines;
    }

    void updateLeaseCandidacy()
    {
        const bool wanted = m_leaseCandidate.shouldTry(coreNow()) && !m_state.stop.isStopping() && !isCutOffFromEngines();
        if (wanted != m_leaseWanted) {
            m_leaseWanted = wanted;
            post(m_toStore, store_event(lease_wanted{wanted}));
        }
    }

    void announceReadiness()
    {
        const bool ready = isReady();
        if (ready == m_announcedReady) {
            return;
        }
        m_announcedReady = ready;
        m_state.log(log_level::Info, ready ? "ready" : "not_ready", {});
        own_summary event;
        event.summary.configRevision = m_state.routes ? m_state.routes->version() : 0;
        event.summary.loadPermille = ready ? 0 : kFullLoadPermille;
        post(m_toMembers, member_event(std::move(event)));
    }

    /// Sends @p event to another duty. While the ring is full, a coroutine retries without blocking the thread.
    template<typename Event>
    void post(channel<Event> &to, Event event)
    {
        if (!to.tryPush(event)) {
            asio::co_spawn(m_context, to.push(std::move(event)), asio::detached);
        }
    }

    // Timers.

    void tick()
    {
        const instant now = coreNow();
        m_state.registry.advance(now);
        for (const std::string &id : m_state.health.advance(now)) {
            if (const registration *run = m_state.registry.find(id)) {
                asio::co_spawn(m_context, probe(*run), asio::detached);
            } else {
                m_state.health.noteProbe(now, id, false);
            }
        }
        m_state.crashes.advance();
        m_state.reach.advance();
        m_state.quotas.advance();
        queryRefusingEngines(now);
        m_orders.advance(now);
        updateLeaseCandidacy();
        exchangeGossip(now);
        m_currency.advance();
        m_tick.expires_after(kTickInterval);
        m_tick.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    /// Queries the state of prefill engines that refuse all requests. Such an engine may be leaving before the store shows it.
    void queryRefusingEngines(instant now)
    {
        if (!m_state.routes) {
            return;
        }
        for (const auto &[name, spec] : m_state.routes->services()) {
            if (!spec.engine) {
                continue;
            }
            for (const std::string &id : m_state.scheduler.enginesToQuery(now, m_state.registry.usable(name, engine_phase::Prefill))) {
                asio::co_spawn(m_context, queryState(*m_state.registry.find(id)), asio::detached);
            }
        }
    }

    asio::awaitable<void> queryState(registration run)
    {
        const bool permitted = co_await m_state.permits.acquire(run, 1);
        if (!permitted) {
            co_return;
        }
        net::http_call call = prepareCall(m_state, run, m_state.dialect.makeReportCall(run.id), kProbeTimeout);
        const net::http_result result = co_await m_state.callUpstream(run, std::move(call));
        const auto report = result.answer ? m_state.dialect.readReport(*result.answer) : std::nullopt;
        if (!report) {
            m_state.noteFailedCall(run, result);
        } else if (report->leaving) {
            m_state.registry.onLeaving({run.id, run.startedAt});
        }
        const std::string state = !report ? "no_answer" : (report->leaving ? "leaving" : "ready");
        m_state.log(log_level::Info, "refusing_engine_queried", {upstreamField(run.id), {"state", state}});
    }

    /// Sends a health check to an ejected upstream.
    asio::awaitable<void> probe(registration run)
    {
        const bool permitted = co_await m_state.permits.acquire(run, 1);
        if (!permitted) {
            m_state.health.noteProbe(coreNow(), run.id, false);
            co_return;
        }
        const service_spec *spec = m_state.routes ? m_state.routes->service(run.service) : nullptr;
        net::http_call call;
        call.method = "GET";
        call.target = spec != nullptr ? spec->healthPath : "/";
        call = prepareCall(m_state, run, std::move(call), kProbeTimeout);
        const net::http_result result = co_await m_state.callUpstream(run, std::move(call));
        const bool succeeded = result.answer && result.answer->status == net::status::kOk && m_state.dialect.readInstance(*result.answer) == run.id;
        m_state.health.noteProbe(coreNow(), run.id, succeeded);
        m_state.log(log_level::Info,
                    "upstream_probed",
                    {upstreamField(run.id), {"succeeded", succeeded ? "true" : "false"}, {"health", m_state.health.stateOf(run.id)}});
    }

    void advanceStop()
    {
        const stop_phase phase = m_state.stop.advance(bootNow(), {m_callsInFlight.size(), m_callers->connectionCount()});
        if (phase >= stop_phase::Draining && m_stopPhase < stop_phase::Draining) {
            m_callers->drain();
        }
        if (phase >= stop_phase::Closed && m_stopPhase < stop_phase::Closed) {
            m_callers->stopAccepting();
            // Drains the connections that were accepted after the first drain.
            m_callers->drain();
        }
        if (phase >= stop_phase::Aborting) {
            abortAll();
        }
        if (phase != m_stopPhase) {
            m_state.log(log_level::Info, "stop_phase", {{"phase", toString(phase)}, {"in_flight", std::to_string(m_callsInFlight.size())}});
            m_stopPhase = phase;
        }
        if (phase == stop_phase::Ended) {
            m_state.log(log_level::Info, "stopped", {{"aborted", std::to_string(m_aborted)}, {"unfinished", std::to_string(m_callsInFlight.size())}});
            m_onStopped();
            return;
        }
        m_stopTimer.expires_after(kTickInterval);
        m_stopTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                advanceStop();
            }
        });
    }

    void abortAll()
    {
        for (relay_call *call : m_callsInFlight) {
            if (!call->isEnded()) {
                ++m_aborted;
                call->abort();
            }
        }
    }

    asio::io_context &m_context;
    relay_duty_settings m_settings;
    relay_state m_state;
    phase_orders m_orders;
    config_currency_monitor m_currency;
    lease_candidate m_leaseCandidate;
    channel<member_event> &m_toMembers;
    channel<store_event> &m_toStore;
    asio::steady_timer m_tick;
    asio::steady_timer m_stopTimer;
    net::http_limits m_limits;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_directory;
    std::unique_ptr<http_server> m_entries; ///< Null if this entry takes no requests from other entries.
    std::size_t m_forwardedInFlight = 0; ///< Requests of other entries.
    std::vector<member> m_otherEntries;
    std::set<member_id> m_knownEntries; ///< The runs of other entries that were seen.
    std::size_t m_rank = 0; ///< Number of live entries that precede this one by name.
    refusal_report m_refusals;
    std::set<relay_call *> m_callsInFlight;
    std::size_t m_aborted = 0;
    std::function<void()> m_onStopped;
    stop_phase m_stopPhase = stop_phase::Running; ///< That was carried out last.
    bool m_announcedReady = false;
    bool m_leaseWanted = false;
    bool m_holdsLease = false;
    std::uint64_t m_storeEra = 0; ///< 0 when the store sends none, or none is known yet.
    store_polling_changed m_polling{false, {}}; ///< What the store duty was told last.
    instant m_startedAt{};
    bool m_missedChanges = false; ///< This entry hasn't read the registrations since the store came back from an older copy.
};

std::unique_ptr<relay_duty> relay_duty::make(asio::io_context &context,
                                             relay_duty_settings settings,
                                             platform_dialect dialect,
                                             channel<member_event> &toMembers,
                                             channel<store_event> &toStore,
                                             std::function<void(log_line)> log,
                                             last_reason *reason)
{
    auto implementation = std::make_shared<impl>(context, std::move(settings), std::move(dialect), toMembers, toStore, std::move(log));
    if (!implementation->open(reason)) {
        return nullptr;
    }
    return std::unique_ptr<relay_duty>(new relay_duty(std::move(implementation)));
}

relay_duty::relay_duty(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

relay_duty::~relay_duty() = default;

void relay_duty::start()
{
    m_impl->start();
}

void relay_duty::handle(relay_event event)
{
    m_impl->handle(std::move(event));
}

void relay_duty::stop(std::function<void()> onStopped)
{
    m_impl->stop(std::move(onStopped));
}

void relay_duty::noteRefusal(const std::string &listener, net::refusal_reason reason, const std::string &remoteAddress)
{
    m_impl->noteRefusal(listener, reason, remoteAddress);
}

metrics_snapshot relay_duty::metrics() const
{
    return m_impl->metrics();
}

} // namespace heatherroute::node
