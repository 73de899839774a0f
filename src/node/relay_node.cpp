#include "heatherroute/relay_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>
#include <random>

#include "net/http_server.h"
#include "node/duty_thread.h"
#include "node/log_relay.h"
#include "node/member_duty.h"
#include "node/relay_duty.h"
#include "node/store_duty.h"
#include "telemetry/log.h"

namespace heatherroute
{

namespace asio = boost::asio;

namespace
{

/// Capacity of each event channel between two duties.
constexpr std::size_t kChannelCapacity = 256;
/// Time between the end of the relay and the end of the process, in which the last answers and log lines are written.
constexpr std::chrono::milliseconds kFlushTime{150};

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::chrono::milliseconds millisecondsOf(double value)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

constexpr double kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kMebibyte = 1'048'576;

membership_settings membershipOf(const membership_timing &timing)
{
    membership_settings membership;
    membership.probePeriod = timing.probeInterval;
    membership.ackTimeout = timing.probeTimeout;
    membership.indirectProbes = timing.indirectProbes;
    return membership;
}

retry_limit retriesOf(const relay_settings &settings)
{
    retry_limit limit;
    limit.share = settings.retryShare;
    limit.slack = settings.retrySlack;
    limit.window = millisecondsOf(settings.retryWindowS * kMillisecondsPerSecond);
    return limit;
}

} // namespace

class relay_node::impl
{
public:
    impl()
        : m_signals(m_mainContext, SIGTERM, SIGINT, SIGHUP)
    { }

    ~impl()
    {
        for (node::duty_thread *thread : {&m_relayThread, &m_storeThread, &m_memberThread, &m_logThread}) {
            thread->stop();
        }
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    bool open(const entry_settings &settings, settings_reader readSettings, platform_dialect dialect, platform_store store, last_reason *reason)
    {
        m_readSettings = std::move(readSettings);
        const auto callers = net::parseEndpoint(settings.listen().callers);
        const auto readiness = net::parseEndpoint(settings.listen().readiness.value_or(""));
        const auto directory = net::parseEndpoint(settings.listen().directory.value_or(""));
        const auto operators = net::parseEndpoint(settings.listen().operators);
        const auto peers = net::parseEndpoint(settings.listen().peers);
        if (!callers || !readiness || !directory || !operators || !peers) {
            setReason(reason, "listen.callers, listen.readiness, listen.directory, listen.operators and listen.peers must be IP:port");
            return false;
        }
        const std::optional<std::string> &entriesAddress = settings.listen().entries;
        const auto entries = net::parseEndpoint(entriesAddress.value_or(""));
        if (entriesAddress && !entries) {
            setReason(reason, "listen.entries must be IP:port");
            return false;
        }
        const std::uint64_t seed = settings.seed().value_or(randomNumber());
        const std::uint64_t incarnation = randomNumber();
        const auto log = [this](log_line line) { m_log.post(std::move(line)); };
        if (!openMembers(settings, *peers, incarnation, seed, log, reason)) {
            return false;
        }
        const std::uint64_t memoryBytes = settings.limits().memoryMb ? *settings.limits().memoryMb * kMebibyte : net::systemMemoryBytes();
        const auto memory = net::memory_budget::make(net::budgetLimitsFor(memoryBytes));
        const auto connections = net::connectionSharesOf(settings.limits().maxDescriptors.value_or(net::processDescriptorLimit()));
        node::relay_duty_settings relay;
        relay.callers = *callers;
        relay.readiness = *readiness;
        relay.directory = *directory;
        relay.entries = entries;
        relay.incarnation = incarnation;
        relay.callerAddress = settings.advertise().callers.value_or(settings.listen().callers);
        relay.entryName = settings.name();
        relay.zone = settings.zone();
        relay.region = settings.region();
        relay.retries = retriesOf(settings.relay());
        relay.stopGrace = millisecondsOf(settings.relay().stopGraceS * kMillisecondsPerSecond);
        relay.takeoverDelay = millisecondsOf(settings.relay().leaseMs + settings.relay().thawMs);
        relay.revokeTime = millisecondsOf(settings.relay().revokeMs);
        relay.quota.window = millisecondsOf(settings.relay().quotaWindowS * kMillisecondsPerSecond);
        relay.quota.over = settings.relay().quotaOver;
        relay.quota.slack = settings.relay().quotaSlack;
        relay.sharedPlacementEntries = settings.relay().sharedPlacementEntries;
        relay.seed = seed;
        relay.memory = memory;
        relay.connections = connections;
        relay.bodyProgressTimeout = settings.limits().bodyProgressTimeout;
        m_relay = node::relay_duty::make(m_relayThread.context(), std::move(relay), std::move(dialect), m_relayToMembers, m_relayToStore, log, reason);
        if (!m_relay) {
            return false;
        }
        node::store_duty_settings storeSettings;
        storeSettings.entryName = settings.name();
        storeSettings.peerAddress = m_members->address();
        m_store =
            std::make_unique<node::store_duty>(m_storeThread.context(), std::move(storeSettings), std::move(store), m_storeToRelay, m_storeToMembers, log);
        connectChannels();
        return openMetrics(*operators, memory, connections.others, reason);
    }

    int run()
    {
        awaitSignal();
        m_store->start();
        m_members->start();
        m_relay->start();
        m_log.post({log_level::Info, "started", {{"version", HEATHERROUTE_VERSION}, {"peers", m_members->address()}}});
        for (node::duty_thread *thread : {&m_logThread, &m_relayThread, &m_storeThread, &m_memberThread}) {
            thread->start();
        }
        const auto guard = asio::make_work_guard(m_mainContext);
        m_mainContext.run();
        return 0;
    }

private:
    bool openMembers(const entry_settings &settings,
                     const asio::ip::tcp::endpoint &bind,
                     std::uint64_t incarnation,
                     std::uint64_t seed,
                     std::function<void(log_line)> log,
                     last_reason *reason)
    {
        node::member_duty_settings members;
        members.transport.bindAddress = bind.address().to_string();
        members.transport.port = bind.port();
        members.transport.clusterId = clusterIdOf(settings.platform().configStream);
        members.self.id = {settings.name(), incarnation};
        members.self.callerAddress = settings.advertise().callers.value_or(settings.listen().callers);
        members.self.zone = settings.zone();
        members.self.region = settings.region();
        members.self.half = settings.half();
        // The membership duty replaces this address by the bound one. The membership rejects an empty address.
        members.self.peerAddress = settings.listen().peers;
        members.transport.self = members.self.id;
        members.membership = membershipOf(settings.membership());
        members.seeds = settings.seeds();
        members.seed = seed;
        m_members = node::member_duty::make(m_memberThread.context(), std::move(members), m_membersToRelay, std::move(log), reason);
        return m_members != nullptr;
    }

    void connectChannels()
    {
        const auto toRelay = [this](relay_event event) { m_relay->handle(std::move(event)); };
        drain<relay_event>(m_storeToRelay, m_relayThread.context(), toRelay);
        drain<relay_event>(m_membersToRelay, m_relayThread.context(), toRelay);
        const auto toMembers = [this](node::member_event event) { m_members->handle(std::move(event)); };
        drain<node::member_event>(m_storeToMembers, m_memberThread.context(), toMembers);
        drain<node::member_event>(m_relayToMembers, m_memberThread.context(), toMembers);
        drain<node::store_event>(m_relayToStore, m_storeThread.context(), [this](const node::store_event &event) { m_store->handle(event); });
    }

    template<typename Event>
    static void drain(node::channel<Event> &from, asio::io_context &context, std::function<void(Event)> handler)
    {
        from.setConsumer(context, [&from, handler = std::move(handler)] {
            while (std::optional<Event> event = from.tryPop()) {
                handler(std::move(*event));
            }
        });
    }

    /// Starts the metrics server on the main thread. The relay's metrics are copied on the relay's thread.
    bool
    openMetrics(const asio::ip::tcp::endpoint &endpoint, const std::shared_ptr<net::memory_budget> &memory, std::size_t maxConnections, last_reason *reason)
    {
        net::http_limits limits;
        limits.maxConnections = maxConnections;
        const auto handler = [this](net::http_request request, net::http_responder &responder) { return answerMetrics(std::move(request), responder); };
        const auto makeErrorAnswer = [](unsigned status, std::string_view) {
            net::http_answer answer;
            answer.status = status;
            return answer;
        };
        m_metrics = net::http_server::make(m_mainContext, endpoint, limits, handler, makeErrorAnswer, reason);
        if (m_metrics) {
            m_metrics->guard(memory, [this](net::refusal_reason why, const std::string &remoteAddress) {
                asio::post(m_relayThread.context(), [this, why, remoteAddress] { m_relay->noteRefusal("operators", why, remoteAddress); });
            });
        }
        return m_metrics != nullptr;
    }

    asio::awaitable<void> answerMetrics(net::http_request request, net::http_responder &responder)
    {
        net::http_answer answer;
        answer.contentType = "text/plain; version=0.0.4";
        if (request.path() == "/metrics") {
            const metrics_snapshot snapshot = co_await asio::co_spawn(m_relayThread.context(), copyMetrics(), asio::use_awaitable);
            answer.body = toPrometheusText(snapshot);
        } else {
            answer.status = 404;
        }
        co_await responder.send(std::move(answer));
    }

    asio::awaitable<metrics_snapshot> copyMetrics()
    {
        co_return m_relay->metrics();
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else if (!m_stopping) {
                m_stopping = true;
                asio::post(m_relayThread.context(), [this] { m_relay->stop([this] { stopAfterFlush(); }); });
            }
            awaitSignal();
        });
    }

    /// Applies the log level of the settings file. An invalid file changes nothing.
    void reload()
    {
        last_reason reason;
        const auto settings = m_readSettings ? m_readSettings(&reason) : std::nullopt;
        if (!settings) {
            m_log.post({log_level::Error, "reload", {{"outcome", "refused"}, {"reason", reason.text()}}});
            return;
        }
        setLogLevel(settings->log().level);
        m_log.post({log_level::Info, "reload", {{"outcome", "log level applied"}, {"level", std::string(toString(settings->log().level))}}});
    }

    void stopAfterFlush()
    {
        asio::post(m_mainContext, [this] {
            m_flushTimer.expires_after(kFlushTime);
            m_flushTimer.async_wait([this](const boost::system::error_code &) { m_mainContext.stop(); });
        });
    }

    using relay_event = node::relay_event;

    asio::io_context m_mainContext{1};
    asio::signal_set m_signals;
    asio::steady_timer m_flushTimer{m_mainContext};
    settings_reader m_readSettings;
    bool m_stopping = false;

    node::channel<relay_event> m_storeToRelay{kChannelCapacity};
    node::channel<relay_event> m_membersToRelay{kChannelCapacity};
    node::channel<node::member_event> m_storeToMembers{kChannelCapacity};
    node::channel<node::member_event> m_relayToMembers{kChannelCapacity};
    node::channel<node::store_event> m_relayToStore{kChannelCapacity};

    node::duty_thread m_logThread;
    node::duty_thread m_relayThread;
    node::duty_thread m_storeThread;
    node::duty_thread m_memberThread;
    node::log_relay m_log{m_logThread.context()};
    std::unique_ptr<node::member_duty> m_members;
    std::unique_ptr<node::relay_duty> m_relay;
    std::unique_ptr<node::store_duty> m_store;
    std::unique_ptr<net::http_server> m_metrics;
};

std::unique_ptr<relay_node>
relay_node::make(const entry_settings &settings, settings_reader readSettings, platform_dialect dialect, platform_store store, last_reason *reason)
{
    auto implementation = std::make_unique<impl>();
    if (!implementation->open(settings, std::move(readSettings), std::move(dialect), std::move(store), reason)) {
        return nullptr;
    }
    return std::unique_ptr<relay_node>(new relay_node(std::move(implementation)));
}

relay_node::relay_node(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

relay_node::~relay_node() = default;

int relay_node::run()
{
    return m_impl->run();
}

} // namespace heatherroute
