#include "heatherroute/entry_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <array>
#include <cmath>
#include <random>

#include "net/http_client.h"
#include "node/caller_duty.h"
#include "node/core_duty.h"
#include "node/duty_thread.h"
#include "node/log_relay.h"
#include "node/operator_duty.h"
#include "node/peer_duty.h"
#include "node/platform_duty.h"
#include "node/refusal_report.h"
#include "node/session_table.h"
#include "node/upstream_duty.h"
#include "telemetry/log.h"

namespace heatherroute
{

namespace asio = boost::asio;

namespace
{

/// Capacity of the channels between the core and the duties that carry answers. All slots take up memory even while the entry is idle.
constexpr std::size_t kDataChannelCapacity = 1024;
/// Capacity of the channels between the core and all other duties.
constexpr std::size_t kControlChannelCapacity = 256;
/// Time for sending the last answers after the core has stopped.
constexpr std::chrono::milliseconds kFlushDelay{200};

std::string textOf(const asio::ip::tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// The outputs of the core, in the order in which they are added.
enum output_index : std::size_t {
    CallerOutput,
    UpstreamOutput,
    PlatformOutput,
    OperatorOutput,
    MainOutput,
    PeerOutput,
};

template<typename Action>
constexpr bool kIsForCaller = requires(const Action &action)
{
    action.caller;
};

std::size_t outputOf(const core_action &action)
{
    if (node::upstream_duty::handles(action)) {
        return UpstreamOutput;
    }
    if (node::platform_duty::handles(action)) {
        return PlatformOutput;
    }
    if (node::peer_duty::handles(action)) {
        return PeerOutput;
    }
    return std::visit(
        [](const auto &typed) -> std::size_t {
            if constexpr (kIsForCaller<std::decay_t<decltype(typed)>>) {
                return node::session_table::dutyOf(typed.caller) == node::operator_duty::kDuty ? OperatorOutput : CallerOutput;
            } else {
                return MainOutput;
            }
        },
        action);
}

caller_id callerOf(const core_action &action)
{
    return std::visit(
        [](const auto &typed) {
            if constexpr (kIsForCaller<std::decay_t<decltype(typed)>>) {
                return typed.caller;
            } else {
                return caller_id{};
            }
        },
        action);
}

node::caller_limits callerLimitsOf(const limit_settings &settings)
{
    node::caller_limits limits;
    limits.http.maxHeaderBytes = settings.maxHeaderBytes;
    limits.http.maxBodyBytes = settings.maxBodyBytes;
    limits.http.headerTimeout = settings.headerTimeout;
    limits.http.bodyTimeout = settings.bodyTimeout;
    limits.http.bodyProgressTimeout = settings.bodyProgressTimeout;
    limits.http.idleTimeout = settings.idleTimeout;
    limits.http.maxRequestsPerConnection = settings.maxRequestsPerConnection;
    limits.http.sendBufferBytes = settings.maxBufferedBytesPerStream;
    limits.maxBufferedBytes = settings.maxBufferedBytesPerStream;
    return limits;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

membership_settings membershipOf(const membership_timing &timing)
{
    // The configured suspicion timeout is that of the largest fleet. It scales with the logarithm of the number of members, because
    // gossip spreads faster in a smaller fleet.
    constexpr double kMaxFleetSize = 340;
    membership_settings membership;
    membership.probePeriod = timing.probeInterval;
    membership.ackTimeout = timing.probeTimeout;
    membership.indirectProbes = timing.indirectProbes;
    const double periods = static_cast<double>(timing.suspicionTimeout.count()) / static_cast<double>(timing.probeInterval.count());
    membership.suspicionFactor = periods / std::log2(kMaxFleetSize);
    return membership;
}

net::peer_transport_settings peerSettingsOf(const entry_settings &settings, const asio::ip::tcp::endpoint &bind, std::uint64_t incarnation)
{
    net::peer_transport_settings peers;
    peers.bindAddress = bind.address().to_string();
    peers.port = bind.port();
    // Entries that read the same configuration stream form one fleet.
    peers.clusterId = clusterIdOf(settings.platform().configStream);
    peers.self = {settings.name(), incarnation};
    return peers;
}

core_options coreOptionsOf(const entry_settings &settings, const std::string &callerAddress, const std::string &peerAddress, std::uint64_t incarnation)
{
    core_options options;
    options.region = settings.region();
    options.peerAddress = settings.advertise().peers.value_or(peerAddress);
    options.seeds = settings.seeds();
    options.membership = membershipOf(settings.membership());
    options.entryName = settings.name();
    options.half = settings.half();
    options.zone = settings.zone();
    options.callerAddress = settings.advertise().callers.value_or(callerAddress);
    options.incarnation = incarnation;
    options.seed = settings.seed().value_or(randomNumber());
    options.maxRequests = settings.limits().maxRequests;
    options.stopLimit = settings.stopLimit();
    options.placement = settings.placement();
    options.targets.firstTokenTarget = settings.targets().firstToken;
    options.targets.tokenIntervalTarget = settings.targets().tokenInterval;
    options.entryLifetime = settings.entryAnswerLifetime();
    options.configuration.freshness.maxProofAge = settings.config().cutOffAfter;
    return options;
}

} // namespace

class entry_node::impl
{
public:
    impl()
        : m_signals(m_main, SIGTERM, SIGINT)
    { }

    ~impl()
    {
        for (node::duty_thread *thread : threads()) {
            thread->stop();
        }
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    bool open(const entry_settings &settings, last_reason *reason)
    {
        const auto callers = net::parseEndpoint(settings.listen().callers);
        const auto operators = net::parseEndpoint(settings.listen().operators);
        const auto peers = net::parseEndpoint(settings.listen().peers);
        const auto log = net::parseEndpoint(settings.platform().log);
        if (!callers || !operators || !peers || !log) {
            setReason(reason, "listen.callers, listen.operators, listen.peers and platform.log must be IP:port");
            return false;
        }
        constexpr std::uint64_t kMebibyte = 1'048'576;
        const std::uint64_t memoryBytes = settings.limits().memoryMb ? *settings.limits().memoryMb * kMebibyte : net::systemMemoryBytes();
        const auto memory = net::memory_budget::make(net::budgetLimitsFor(memoryBytes));
        const auto connections = net::connectionSharesOf(settings.limits().maxDescriptors.value_or(net::processDescriptorLimit()));
        node::caller_limits callerLimits = callerLimitsOf(settings.limits());
        callerLimits.http.maxConnections = connections.callers;
        callerLimits.memory = memory;
        m_callers = node::caller_duty::make(m_callerThread.context(), *callers, callerLimits, m_fromCallers, reason);
        if (!m_callers) {
            return false;
        }
        const auto refusals = std::make_shared<node::refusal_report>([this](log_line line) { m_log.post(std::move(line)); });
        node::operator_limits operatorLimits;
        operatorLimits.maxConnections = connections.others;
        operatorLimits.memory = memory;
        operatorLimits.onRefused = [refusals](net::refusal_reason why, const std::string &remoteAddress) {
            refusals->note(std::chrono::steady_clock::now(), "operators", why, remoteAddress);
        };
        m_operators = node::operator_duty::make(m_operatorThread.context(), *operators, std::move(operatorLimits), m_fromOperators, reason);
        if (!m_operators) {
            return false;
        }
        const std::uint64_t incarnation = randomNumber();
        m_peers = node::peer_duty::make(m_peerThread.context(), peerSettingsOf(settings, *peers, incarnation), m_fromPeers, reason);
        if (!m_peers) {
            return false;
        }
        auto core = router_core::make(coreOptionsOf(settings, textOf(m_callers->endpoint()), m_peers->address(), incarnation), reason);
        if (!core) {
            return false;
        }
        node::platform_options platform;
        platform.log = *log;
        platform.configStream = settings.platform().configStream;
        platform.pollWait = settings.config().pollWait;
        platform.vms = net::parseEndpoint(settings.platform().vms);
        m_upstreams = std::make_unique<node::upstream_duty>(m_upstreamThread.context(), m_fromUpstreams, memory);
        m_platform = std::make_unique<node::platform_duty>(m_platformThread.context(), std::move(platform), m_fromPlatform);
        m_core = std::make_unique<node::core_duty>(m_coreThread.context(), std::move(core));
        connectChannels();
        return true;
    }

    int run()
    {
        awaitSignal();
        m_core->start();
        m_platform->start();
        for (node::duty_thread *thread : threads()) {
            thread->start();
        }
        const auto guard = asio::make_work_guard(m_main);
        m_main.run();
        return m_exitCode;
    }

    std::string callerAddress() const
    {
        return textOf(m_callers->endpoint());
    }

    std::string operatorAddress() const
    {
        return textOf(m_operators->endpoint());
    }

    std::string peerAddress() const
    {
        return m_peers->address();
    }

private:
    std::array<node::duty_thread *, 6> threads()
    {
        return {&m_coreThread, &m_callerThread, &m_upstreamThread, &m_platformThread, &m_operatorThread, &m_peerThread};
    }

    void connectChannels()
    {
        for (node::channel<core_event> *input : {&m_fromCallers, &m_fromUpstreams, &m_fromPlatform, &m_fromOperators, &m_fromMain, &m_fromPeers}) {
            m_core->addInput(*input);
        }
        for (node::channel<core_action> *output : {&m_toCallers, &m_toUpstreams, &m_toPlatform, &m_toOperators, &m_toMain, &m_toPeers}) {
            m_core->addOutput(*output);
        }
        m_core->setRoute(outputOf);
        m_callers->setLog([this](log_line line) { m_log.post(std::move(line)); });
        m_operators->addMetrics(m_callerThread.context(), [this] { return m_callers->metrics(); });
        consume(m_toCallers, m_callerThread.context(), [this](core_action action) {
            const caller_id caller = callerOf(action);
            m_callers->deliver(caller, std::move(action));
        });
        consume(m_toOperators, m_operatorThread.context(), [this](core_action action) {
            const caller_id caller = callerOf(action);
            m_operators->deliver(caller, std::move(action));
        });
        consume(m_toUpstreams, m_upstreamThread.context(), [this](core_action action) { m_upstreams->perform(std::move(action)); });
        consume(m_toPlatform, m_platformThread.context(), [this](core_action action) { m_platform->perform(std::move(action)); });
        consume(m_toPeers, m_peerThread.context(), [this](const core_action &action) { m_peers->perform(action); });
        consume(m_toMain, m_main, [this](const core_action &action) { performMain(action); });
    }

    static void consume(node::channel<core_action> &output, asio::io_context &context, std::function<void(core_action)> perform)
    {
        output.setConsumer(context, [&output, perform = std::move(perform)] {
            while (std::optional<core_action> action = output.tryPop()) {
                perform(std::move(*action));
            }
        });
    }

    void performMain(const core_action &action)
    {
        if (const auto *line = std::get_if<log_line>(&action)) {
            writeLog(*line);
        } else if (const auto *stop = std::get_if<stop_process>(&action)) {
            m_exitCode = stop->exitCode;
            m_flushTimer.expires_after(kFlushDelay);
            m_flushTimer.async_wait([this](const boost::system::error_code &) { m_main.stop(); });
        }
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (error) {
                return;
            }
            asio::co_spawn(m_main, m_fromMain.push(stop_requested{}), asio::detached);
            awaitSignal();
        });
    }

    node::channel<core_event> m_fromCallers{kDataChannelCapacity};
    node::channel<core_event> m_fromUpstreams{kDataChannelCapacity};
    node::channel<core_event> m_fromPlatform{kControlChannelCapacity};
    node::channel<core_event> m_fromOperators{kControlChannelCapacity};
    node::channel<core_event> m_fromMain{kControlChannelCapacity};
    node::channel<core_event> m_fromPeers{kControlChannelCapacity};
    node::channel<core_action> m_toCallers{kDataChannelCapacity};
    node::channel<core_action> m_toUpstreams{kDataChannelCapacity};
    node::channel<core_action> m_toPlatform{kControlChannelCapacity};
    node::channel<core_action> m_toOperators{kControlChannelCapacity};
    node::channel<core_action> m_toMain{kControlChannelCapacity};
    node::channel<core_action> m_toPeers{kControlChannelCapacity};

    asio::io_context m_main{1};
    node::log_relay m_log{m_main};
    asio::signal_set m_signals;
    asio::steady_timer m_flushTimer{m_main};
    int m_exitCode = 0;

    node::duty_thread m_coreThread;
    node::duty_thread m_callerThread;
    node::duty_thread m_upstreamThread;
    node::duty_thread m_platformThread;
    node::duty_thread m_operatorThread;
    node::duty_thread m_peerThread;
    std::unique_ptr<node::caller_duty> m_callers;
    std::unique_ptr<node::upstream_duty> m_upstreams;
    std::unique_ptr<node::platform_duty> m_platform;
    std::unique_ptr<node::operator_duty> m_operators;
    std::unique_ptr<node::peer_duty> m_peers;
    std::unique_ptr<node::core_duty> m_core;
};

std::unique_ptr<entry_node> entry_node::make(const entry_settings &settings, last_reason *reason)
{
    auto implementation = std::make_unique<impl>();
    if (!implementation->open(settings, reason)) {
        return nullptr;
    }
    return std::unique_ptr<entry_node>(new entry_node(std::move(implementation)));
}

entry_node::entry_node(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{ }

entry_node::~entry_node() = default;

std::string entry_node::callerAddress() const
{
    return m_impl->callerAddress();
}

std::string entry_node::operatorAddress() const
{
    return m_impl->operatorAddress();
}

std::string entry_node::peerAddress() const
{
    return m_impl->peerAddress();
}

int entry_node::run()
{
    return m_impl->run();
}

} // namespace heatherroute
