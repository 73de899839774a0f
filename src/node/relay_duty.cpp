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
#include "node/phase_orders.h"
#include "node/plain_relay.h"
#include "node/relay_call.h"
#include "node/stream_relay.h"
#include "relay/lease_seeker.h"
#include "relay/named_entries.h"

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
/// How long callers may keep the directory's answer.
constexpr std::chrono::seconds kDirectoryLifetime{3};
/// After the signal to stop: when idle connections of callers are ended.
constexpr std::chrono::milliseconds kDrainAfter{600};
/// After the signal to stop: until when new connections are taken. Callers whose answer of the directory still names this entry
/// are served, and streams that begin by then end within the grace.
constexpr std::chrono::milliseconds kAcceptUntil{2'500};
/// After the port was closed: how long requests that were being sent may still arrive.
constexpr std::chrono::milliseconds kLastRequests{800};
/// Before the end of the grace: when what still runs is cut.
constexpr std::chrono::milliseconds kStopMargin{700};
/// After the cut: how long the last answers to callers and the calls that free engines may take.
constexpr std::chrono::milliseconds kCutTime{200};
/// How long callers should stay away from an entry that knows no configuration yet.
constexpr duration kStartingWait = std::chrono::milliseconds(400);
constexpr std::uint32_t kFullLoadPermille = 1000;
/// Bytes of a body and of a head before a configuration sets the limits.
constexpr std::size_t kDefaultBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kDefaultHeaderBytes = std::size_t{16} * 1024;
/// Idle connections are kept for a little longer than callers were told, so that a request doesn't cross their end.
constexpr std::chrono::milliseconds kIdleMargin{2'000};
/// Of health checks: how long one may take.
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
        , m_state(context.get_executor(), std::move(dialect), m_settings.retries, m_settings.seed)
        , m_orders(m_state, m_settings.takeOverWait)
        , m_leaseSeeker(lease_seeker::make({}, coreNow()))
        , m_toMembers(toMembers)
        , m_toStore(toStore)
        , m_tick(context)
        , m_stopTimer(context)
    {
        m_state.writeLog = std::move(log);
        m_state.entryName = m_settings.entryName;
    }

    bool open(last_reason *reason)
    {
        const auto bad = [](unsigned status, std::string_view why) {
            http_answer answer;
            answer.status = status;
            answer.body = "{\"error\":\"" + std::string(why) + "\"}";
            return answer;
        };
        m_limits.maxHeaderBytes = kDefaultHeaderBytes;
        m_limits.maxBodyBytes = kDefaultBodyBytes;
        const auto serveCaller = [this](http_request request, http_responder &responder) { return serve(shared_from_this(), std::move(request), responder); };
        const auto serveReadiness = [this](http_request request, http_responder &responder) { return answerReadiness(std::move(request), responder); };
        const auto serveDirectory = [this](http_request request, http_responder &responder) { return answerDirectory(std::move(request), responder); };
        m_callers = http_server::make(m_context, m_settings.callers, m_limits, serveCaller, bad, reason);
        m_readiness = m_callers ? http_server::make(m_context, m_settings.readiness, {}, serveReadiness, bad, reason) : nullptr;
        m_directory = m_readiness ? http_server::make(m_context, m_settings.directory, {}, serveDirectory, bad, reason) : nullptr;
        return m_directory != nullptr;
    }

    void start()
    {
        asio::post(m_context, [this] { tick(); });
    }

    void take(relay_event event)
    {
        std::visit([this](auto &typed) { on(typed); }, event);
    }

    void stop(std::function<void()> onStopped)
    {
        m_stoppingSince = coreNow();
        m_onStopped = std::move(onStopped);
        takePlace();
        m_state.log(log_level::Info, "stopping", {{"in_flight", std::to_string(m_running.size())}});
        tell(m_toMembers, member_event(members_leave{}));
        tell(m_toStore, store_event(store_stop{}));
        checkStopped();
    }

    metrics_snapshot metrics() const
    {
        return m_state.metrics.snapshot();
    }

private:
    bool isReady() const
    {
        return m_state.routes != nullptr && m_state.registry.isComplete() && !m_stoppingSince;
    }

    // Callers.

    /// A call frees what it holds at engines when it is destroyed, which may be as late as its io_context; @p self lasts until then.
    static asio::awaitable<void> serve(std::shared_ptr<impl> self, http_request request, http_responder &responder)
    {
        relay_call call(self->m_state, std::move(request), responder);
        self->m_running.insert(&call);
        co_await self->route(call);
        self->m_running.erase(&call);
    }

    asio::awaitable<void> route(relay_call &call)
    {
        if (!m_state.routes || !m_state.registry.isComplete()) {
            const auto back = returnAfter(m_state.returns, kStartingWait, call.facts().timeLeft.value_or(kStartingWait * 3), m_state.draw());
            co_await call.refuse(net::status::kUnavailable, "starting", back);
            call.finish({"refused", net::status::kUnavailable, "this entry has no configuration yet", verdict::NotRun, ""});
            co_return;
        }
        const heatherroute::route *matched = m_state.routes->find(call.facts().host, call.facts().path);
        if (matched == nullptr) {
            co_await call.refuse(net::status::kNotFound, "no route", std::nullopt);
            call.finish({"refused", net::status::kNotFound, "no route for " + call.facts().host + call.facts().path, verdict::NotRun, ""});
            co_return;
        }
        call.begin(*matched);
        if (matched->generates) {
            co_await relayStream(call);
        } else {
            co_await relayPlain(call);
        }
    }

    // The platform and callers that look for entries.

    asio::awaitable<void> answerReadiness(http_request request, http_responder &responder)
    {
        const bool known = m_state.dialect.isReadinessQuestion(request);
        http_answer answer;
        answer.status = known ? (isReady() ? net::status::kOk : net::status::kUnavailable) : net::status::kNotFound;
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
        for (const member &other : m_others) {
            known.push_back(&other);
        }
        return namedEntries(zone, known, m_state.random);
    }

    // Other duties.

    void on(routes_read &event)
    {
        if (m_state.routes && event.routes->version() <= m_state.routes->version()) {
            return;
        }
        m_state.routes = std::move(event.routes);
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
        m_state.log(log_level::Info, "config_in_force", {{"version", std::to_string(m_state.routes->version())}});
        tellReadiness();
    }

    void on(upstreams_reported &event)
    {
        const instant now = coreNow();
        if (m_state.registry.isCertain(now)) {
            m_state.news.noteRead(now);
        }
        std::set<std::string> ids;
        for (const registration &report : event.reports) {
            ids.insert(report.id);
            m_state.registry.onReport(report);
        }
        for (const std::string &id : event.removed) {
            m_state.registry.onRemoved(now, id);
        }
        if (event.isWhole) {
            m_state.registry.onComplete(now, ids);
        }
        tellReadiness();
    }

    void on(store_reached &event)
    {
        if (event.reached) {
            m_state.registry.onStoreBack(coreNow());
        } else {
            m_state.registry.onStoreLost(coreNow());
        }
    }

    void on(lease_term &event)
    {
        m_orders.setLease(event);
        m_leaseSeeker.setHolds(event.holds);
        tellLease(event.holds);
    }

    void on(members_changed &event)
    {
        m_others = std::move(event.others);
        m_state.retries.setFleet(coreNow(), m_others.size() + 1);
        takePlace();
        wantLease();
    }

    void on(news_heard &event)
    {
        const instant now = coreNow();
        if (event.news.reads) {
            m_state.news.noteHeard(now, std::chrono::milliseconds(event.news.readAgeMs));
        }
        if (event.news.lease == lease_word::Held) {
            m_leaseSeeker.noteHolder(now);
        } else if (event.news.lease == lease_word::GivenUp) {
            m_leaseSeeker.noteGivenUp(now);
        }
        for (const upstream_news &change : event.news.changes) {
            if (change.gone) {
                m_state.registry.onGone(now, change.run);
            } else {
                m_state.registry.onReport(change.run);
            }
            if (change.movingTo) {
                m_state.noteMove(change.run, *change.movingTo);
            }
        }
        if (m_state.routes && event.news.configVersion > m_state.routes->version()) {
            tell(m_toStore, store_event(config_outdated{}));
        }
    }

    /// Reads the store or listens to those who do, and tells the others what was read.
    void shareNews(instant now)
    {
        const bool closely = m_state.news.shouldRead(now) || !m_state.routes || !m_state.registry.isComplete();
        if (closely != m_followsClosely) {
            m_followsClosely = closely;
            tell(m_toStore, store_event(store_followed{closely}));
        }
        for (store_news &message : m_state.news.due(now, m_state.routes ? m_state.routes->version() : 0)) {
            tell(m_toMembers, member_event(news_told{std::move(message)}));
        }
    }

    void tellLease(bool holds)
    {
        const bool givesUp = m_held && !holds && m_stoppingSince;
        m_state.news.setLease(holds ? lease_word::Held : (givesUp ? lease_word::GivenUp : lease_word::None));
        m_held = holds;
    }

    /// This entry's place by name among those that are alive decides whether it reads the store for others and tries for the lease.
    void takePlace()
    {
        std::size_t before = 0;
        for (const member &other : m_others) {
            before += other.state == member_state::Alive && other.id.name < m_settings.entryName ? 1 : 0;
        }
        m_state.news.setRank(m_stoppingSince ? m_others.size() : before);
        m_leaseSeeker.setRank(before);
    }

    void wantLease()
    {
        const bool wanted = m_leaseSeeker.shouldTry(coreNow()) && !m_stoppingSince;
        if (wanted != m_leaseWanted) {
            m_leaseWanted = wanted;
            tell(m_toStore, store_event(lease_wanted{wanted}));
        }
    }

    void tellReadiness()
    {
        const bool ready = isReady();
        if (ready == m_toldReady) {
            return;
        }
        m_toldReady = ready;
        m_state.log(log_level::Info, ready ? "ready" : "not_ready", {});
        own_summary told;
        told.summary.configRevision = m_state.routes ? m_state.routes->version() : 0;
        told.summary.loadPermille = ready ? 0 : kFullLoadPermille;
        tell(m_toMembers, member_event(std::move(told)));
    }

    /// Hands @p event to another duty; waits without blocking while its ring is full.
    template<typename Event>
    void tell(channel<Event> &to, Event event)
    {
        if (!to.tryPush(event)) {
            asio::co_spawn(m_context, to.push(std::move(event)), asio::detached);
        }
    }

    // Time.

    void tick()
    {
        const instant now = coreNow();
        m_state.registry.advance(now);
        for (const std::string &id : m_state.judge.advance(now)) {
            if (const registration *run = m_state.registry.find(id)) {
                asio::co_spawn(m_context, probe(*run), asio::detached);
            } else {
                m_state.judge.noteProbe(now, id, false);
            }
        }
        askRefusers(now);
        m_orders.advance(now);
        wantLease();
        shareNews(now);
        m_tick.expires_after(kTickInterval);
        m_tick.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    /// Asks prefill engines that refuse everything for their state: they may be leaving, which the store may not tell yet.
    void askRefusers(instant now)
    {
        if (!m_state.routes) {
            return;
        }
        for (const auto &[name, spec] : m_state.routes->services()) {
            if (!spec.engine) {
                continue;
            }
            for (const std::string &id : m_state.desk.silentRefusers(now, m_state.registry.usable(name, engine_phase::Prefill))) {
                asio::co_spawn(m_context, askState(*m_state.registry.find(id)), asio::detached);
            }
        }
    }

    asio::awaitable<void> askState(registration run)
    {
        net::http_call call = aimedAt(m_state, run, m_state.dialect.makeReportCall(run.id), kProbeTimeout);
        const net::http_result result = co_await net::performCall(std::move(call));
        const auto report = result.answer ? m_state.dialect.readReport(*result.answer) : std::nullopt;
        if (!report) {
            m_state.noteFailedTry(run.id, verdict::NotRun);
        } else if (report->leaving) {
            m_state.registry.onLeaving(run.id);
        }
        const std::string state = !report ? "no_answer" : (report->leaving ? "leaving" : "ready");
        m_state.log(log_level::Info, "refuser_asked", {upstreamField(run.id), {"state", state}});
    }

    /// Asks an upstream that was set aside whether it is well.
    asio::awaitable<void> probe(registration run)
    {
        const service_spec *spec = m_state.routes ? m_state.routes->service(run.service) : nullptr;
        net::http_call call;
        call.method = "GET";
        call.target = spec != nullptr ? spec->healthPath : "/";
        call = aimedAt(m_state, run, std::move(call), kProbeTimeout);
        const net::http_result result = co_await net::performCall(std::move(call));
        const bool well = result.answer && result.answer->status == net::status::kOk && m_state.dialect.readInstance(*result.answer) == run.id;
        m_state.judge.noteProbe(coreNow(), run.id, well);
        m_state.log(log_level::Info, "upstream_probed", {upstreamField(run.id), {"well", well ? "true" : "false"}, {"health", m_state.judge.stateOf(run.id)}});
    }

    void checkStopped()
    {
        const duration since = coreNow() - *m_stoppingSince;
        if (since >= kDrainAfter && !m_drained) {
            m_drained = true;
            m_callers->drain();
        }
        if (since >= kAcceptUntil && !m_closed) {
            m_closed = true;
            m_callers->stopAccepting();
            // Connections that came after the first drain.
            m_callers->drain();
        }
        const bool unread = m_callers->connectionCount() > 0 && since < kAcceptUntil + kLastRequests;
        const bool idle = m_running.empty() && m_closed && !unread;
        const duration cutAt = m_settings.stopGrace - kStopMargin;
        if (since >= cutAt) {
            cutAll();
        }
        if (idle || since >= cutAt + kCutTime) {
            m_state.log(log_level::Info, "stopped", {{"cut", std::to_string(m_cut)}, {"left", std::to_string(m_running.size())}});
            m_onStopped();
            return;
        }
        m_stopTimer.expires_after(kTickInterval);
        m_stopTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                checkStopped();
            }
        });
    }

    void cutAll()
    {
        for (relay_call *call : m_running) {
            if (!call->isOver()) {
                ++m_cut;
                call->cut();
            }
        }
    }

    asio::io_context &m_context;
    relay_duty_settings m_settings;
    relay_state m_state;
    phase_orders m_orders;
    lease_seeker m_leaseSeeker;
    channel<member_event> &m_toMembers;
    channel<store_event> &m_toStore;
    asio::steady_timer m_tick;
    asio::steady_timer m_stopTimer;
    net::http_limits m_limits;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_directory;
    std::vector<member> m_others;
    std::set<relay_call *> m_running;
    std::size_t m_cut = 0;
    std::optional<instant> m_stoppingSince;
    std::function<void()> m_onStopped;
    bool m_drained = false;
    bool m_closed = false;
    bool m_toldReady = false;
    bool m_leaseWanted = false;
    bool m_held = false; ///< The lease.
    bool m_followsClosely = true;
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

void relay_duty::take(relay_event event)
{
    m_impl->take(std::move(event));
}

void relay_duty::stop(std::function<void()> onStopped)
{
    m_impl->stop(std::move(onStopped));
}

metrics_snapshot relay_duty::metrics() const
{
    return m_impl->metrics();
}

} // namespace heatherroute::node
