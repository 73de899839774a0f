#include "support/relay_site.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

#include "net/http_status.h"
#include "support/link_cut.h"
#include "support/link_hosts.h"

namespace heatherroute::support
{

namespace asio = boost::asio;
using asio::ip::tcp;
using net::http_answer;
using net::http_call;
using net::http_request;
using net::http_responder;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds kAnswerSlack{700}; ///< How long after its deadline a caller waits for an answer.

/// Claims one of a few port ranges for this process, which holds it until it ends. Without a free one, the first is shared.
std::uint16_t claimPortRange(std::uint16_t ranges)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path();
    for (std::uint16_t range = 0; range < ranges; ++range) {
        const std::string name = (folder / ("relay-site-ports-" + std::to_string(range))).string();
        // The lock is released by the kernel, and not inherited by the entries.
        const int file = ::open(name.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, S_IRUSR | S_IWUSR);
        if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0) {
            return range;
        }
        ::close(file);
    }
    return 0;
}

/// Returns a port that is currently free. It is below the kernel's ephemeral port range, because an outgoing connection could otherwise
/// take it before the entry binds it, and in a range of this process, because another site could.
std::uint16_t freePort(asio::io_context &context, std::mt19937 &random)
{
    constexpr std::uint16_t kFirstPort = 12'000;
    constexpr std::uint16_t kPortsPerRange = 2'500;
    constexpr std::uint16_t kRanges = 8;
    static const std::uint16_t range = claimPortRange(kRanges);
    const auto first = static_cast<std::uint16_t>(kFirstPort + range * kPortsPerRange);
    std::uniform_int_distribution<std::uint16_t> ports(first, first + kPortsPerRange - 1);
    while (true) {
        const std::uint16_t port = ports(random);
        boost::system::error_code error;
        tcp::acceptor acceptor(context, tcp::v4());
        acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        if (!error) {
            datagrams.bind(asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), port), error);
        }
        if (!error) {
            return port;
        }
    }
}

std::string makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, bool generates)
{
    return std::string(R"({"Name":"r","Host":")") + kSiteHost + R"(","PathPrefix":")" + prefix + R"(","Kind":")" + kind
           + R"(","TimeoutMs":5000,"TargetLatencyMs":200,"Priority":1,"Service":")" + service + R"(","MaxAttempts":2,"Sticky":)"
           + (generates ? "true" : "false") + "}";
}

/// Returns why @p body isn't the complete answer of an upstream to request @p id at @p path; empty when it is.
std::string faultOfPlainBody(const std::string &id, const std::string &path, const std::string &body)
{
    return body == id + " " + path + " " ? "" : "the body does not match the request: " + body;
}

/// Returns why @p body isn't the rest of the stream that request @p id began, after its event @p lastEvent; empty when it is.
std::string faultOfEvents(const std::string &id, std::uint32_t lastEvent, const std::string &body)
{
    std::string expected;
    for (std::uint32_t event = lastEvent + 1; event <= 12; ++event) {
        expected += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    }
    return body == expected ? "" : "the events are incomplete or out of order";
}

/// Returns the id of the last complete event in @p body; 0 when there is none.
std::uint32_t lastEventIn(const std::string &body)
{
    const std::string_view complete(body.data(), body.rfind("\n\n") == std::string::npos ? 0 : body.rfind("\n\n"));
    constexpr std::string_view kIdField = "id: ";
    const auto found = complete.rfind(kIdField);
    return found == std::string_view::npos ? 0 : static_cast<std::uint32_t>(std::strtoul(complete.data() + found + kIdField.size(), nullptr, 10));
}

/// The loopback address at which entry @p index reaches the upstreams, if it has links of its own.
std::string linkHostOf(std::size_t index)
{
    return "127.0." + std::to_string(index + 1) + ".1";
}

/// The library beside @p program that gives an entry links of its own.
std::string preloadOf(const std::string &program)
{
    return std::filesystem::absolute(std::filesystem::path(program).parent_path() / "liblink_preload.so").string();
}

} // namespace

relay_site::relay_site(asio::io_context &context, relay_site_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
{ }

relay_site::~relay_site()
{
    m_entries.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::unique_ptr<relay_site> relay_site::make(asio::io_context &context, relay_site_settings settings, last_reason *reason)
{
    std::unique_ptr<relay_site> site(new relay_site(context, std::move(settings)));
    return site->start(reason) ? std::move(site) : nullptr;
}

bool relay_site::start(last_reason *reason)
{
    std::string folder = (std::filesystem::temp_directory_path() / "relay-site-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        setReason(reason, "cannot create a temporary folder");
        return false;
    }
    m_folder = folder;
    bool good = startStore(reason);
    for (std::size_t i = 0; good && i < m_settings.prefillEngines; ++i) {
        good = addUpstream("llm", "prefill", "v1", reason);
    }
    for (std::size_t i = 0; good && i < m_settings.decodeEngines; ++i) {
        good = addUpstream("llm", "decode", m_settings.decodeVersions[i % m_settings.decodeVersions.size()], reason);
    }
    for (std::size_t i = 0; good && i < m_settings.services; ++i) {
        good = addUpstream("portal", "", "v1", reason);
    }
    publish(true);
    for (std::size_t i = 0; good && i < m_settings.entries; ++i) {
        good = addEntry(i, reason);
    }
    return good;
}

bool relay_site::startStore(last_reason *reason)
{
    m_store = std::make_unique<standins::site_store>(m_context);
    m_store->setEra(m_settings.storeEra);
    const auto handler = [this](http_request request, http_responder &responder) { return m_store->serve(std::move(request), responder); };
    const auto makeErrorAnswer = [](unsigned status, std::string_view) {
        http_answer answer;
        answer.status = status;
        return answer;
    };
    m_storeServer = net::http_server::make(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0), {}, handler, makeErrorAnswer, reason);
    return m_storeServer != nullptr;
}

bool relay_site::addUpstream(const std::string &service, const std::string &phase, const std::string &version, last_reason *reason)
{
    standins::site_upstream_settings settings;
    settings.id = "i-" + service + phase + std::to_string(m_upstreams.size());
    settings.service = service;
    settings.phase = phase;
    settings.version = version;
    settings.eventInterval = m_settings.eventInterval;
    settings.downTime = m_settings.upstreamDownTime;
    if (m_settings.hasOwnLinks) {
        settings.sharedHost = kSharedLinkHost;
    }
    for (std::size_t i = 0; m_settings.hasOwnLinks && i < m_settings.entries; ++i) {
        settings.linkHosts.push_back(linkHostOf(i));
    }
    auto upstream = standins::site_upstream::make(m_context, std::move(settings), *m_store, m_log, reason);
    if (!upstream) {
        return false;
    }
    m_upstreams.push_back(std::move(upstream));
    return true;
}

void relay_site::publish(bool lookups)
{
    std::string streams = makeRoute("/gen/", "stream", "llm", true);
    if (m_settings.hasResumableStreams) {
        streams.insert(1, "\"Resumable\":true,");
    }
    std::string routes = makeRoute("/book/", "non_idempotent", "portal", false) + "," + streams;
    if (lookups) {
        routes += "," + makeRoute("/look/", "idempotent", "portal", false);
    }
    std::string teams;
    if (!m_settings.teams.empty()) {
        std::string open = makeRoute("/open/", "non_idempotent", "portal", false);
        open.insert(1, "\"Public\":true,");
        routes += "," + open;
        teams = ",\"Tenants\":" + m_settings.teams;
    }
    const std::string services = R"([{"Name":"portal","HealthPath":"/healthz","MaxConnections":100},
        {"Name":"llm","HealthPath":"/healthz","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":60000,"KvTtlS":0.5,"RoleSwitchS":1,"HoldMs":2000}}])";
    const std::string limits = R"({"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":5000})";
    m_store->put("keyed.op",
                 "config",
                 "{\"Version\":" + std::to_string(++m_version) + ",\"Routes\":[" + routes + "],\"Services\":" + services + ",\"Limits\":" + limits + teams
                     + "}");
}

void relay_site::publishTeams(std::string teams)
{
    m_settings.teams = std::move(teams);
    publish(true);
}

bool relay_site::addEntry(std::size_t index, last_reason *reason)
{
    running_entry entry;
    entry.proxy = std::make_unique<fault_proxy>(m_context, m_storeServer->endpoint());
    entry.settingsFile = m_folder + "/entry-" + std::to_string(index) + ".yaml";
    for (const char *name : {"callers", "readiness", "directory", "operators", "peers", "entries"}) {
        do {
            entry.ports[name] = freePort(m_context, m_random);
        } while (!m_ports.insert(entry.ports[name]).second);
    }
    std::ofstream file(entry.settingsFile);
    file << "name: " << entryName(index) << "\nhalf: fleet\nzone: z\nregion: r\nlisten:\n";
    for (const auto &[name, port] : entry.ports) {
        file << "  " << name << ": \"127.0.0.1:" << port << "\"\n";
    }
    const std::string store = "127.0.0.1:" + std::to_string(entry.proxy->endpoint().port());
    file << "platform: {log: \"" << store << "\", vms: \"" << store << "\", config_stream: fleet}\n";
    if (index > 0) {
        file << "seeds: [\"127.0.0.1:" << m_entries.front().ports.at("peers") << "\"]\n";
    }
    file << "relay: {retry_share: 0.2, retry_slack: 100, retry_window_s: 10, stop_grace_s: " << m_settings.stopGraceS
         << ", lease_ms: 3000, thaw_ms: 300, revoke_ms: " << m_settings.revokeMs << ", shared_placement_entries: " << m_settings.sharedPlacementEntries
         << "}\n"
            "log: {format: json, output: stdout}\n"
         << m_settings.furtherSettings;
    file.close();
    m_entries.push_back(std::move(entry));
    return restart(index, reason);
}

bool relay_site::restart(std::size_t index, last_reason *reason)
{
    running_entry &entry = m_entries.at(index);
    std::vector<std::string> environment;
    if (m_settings.hasOwnLinks) {
        environment = {"LD_PRELOAD=" + preloadOf(m_settings.program), std::string(kLinkHostVariable) + "=" + linkHostOf(index)};
    }
    auto process =
        child_process::make(m_settings.program, {"--relay", "--settings", entry.settingsFile}, reason, m_settings.discardStandardError, std::move(environment));
    if (!process) {
        return false;
    }
    if (entry.process) {
        entry.earlierLog += entry.process->output();
    }
    entry.process = std::move(process);
    return true;
}

std::string relay_site::logOf(std::size_t index) const
{
    const running_entry &entry = m_entries.at(index);
    return entry.earlierLog + entry.process->output();
}

void relay_site::cutFromUpstreams(std::size_t index, bool isCut, bool resetsOpen)
{
    setLinkCut(linkHostOf(index), std::nullopt, isCut, resetsOpen);
}

void relay_site::cutFromUpstream(std::size_t index, std::size_t upstream, bool isCut)
{
    setLinkCut(linkHostOf(index), m_upstreams.at(upstream)->port(), isCut, false);
}

asio::awaitable<void> relay_site::pause(milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> relay_site::isReady(std::size_t index)
{
    http_call call;
    call.method = "GET";
    call.target = "/v1/ready";
    call.endpoint = tcp::endpoint(asio::ip::address_v4::loopback(), m_entries.at(index).ports.at("readiness"));
    call.progressTimeout = milliseconds(500);
    const net::http_result result = co_await net::performCall(std::move(call));
    co_return result.answer &&result.answer->status == 200;
}

asio::awaitable<bool> relay_site::waitUntilReady(milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    for (std::size_t index = 0; index < m_entries.size();) {
        const bool ready = co_await isReady(index);
        if (ready) {
            ++index;
            continue;
        }
        const auto code = m_entries[index].process->waitForEnd(milliseconds(0));
        if (code || std::chrono::steady_clock::now() > until) {
            constexpr std::size_t kLastBytes = 2000;
            const std::string log = m_entries[index].process->output();
            m_unready = "entry " + std::to_string(index) + (code ? " ended with code " + std::to_string(*code) : " isn't ready") + "; its log ends:\n"
                        + log.substr(log.size() - std::min(log.size(), kLastBytes));
            co_return false;
        }
        co_await pause(milliseconds(20));
    }
    co_return true;
}

asio::awaitable<caller_result> relay_site::call(std::size_t index, std::string path, milliseconds timeLeft)
{
    caller_request request;
    request.path = std::move(path);
    request.timeLeft = timeLeft;
    co_return co_await call(index, std::move(request));
}

asio::awaitable<void> relay_site::sendFrom(std::size_t caller, std::size_t index, std::string path, milliseconds timeLeft)
{
    constexpr std::size_t kAddresses = 200;
    constexpr std::size_t kMaxAnswerBytes = std::size_t{1024} * 1024;
    const auto host = static_cast<unsigned char>(2 + caller % kAddresses);
    asio::ip::tcp::socket socket(m_context, asio::ip::tcp::v4());
    socket.bind({asio::ip::address_v4({127, 0, 0, host}), 0});
    const std::string method = path.starts_with("/look/") ? "GET" : "POST";
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + kSiteHost + "\r\nX-Attempt-Id: r" + std::to_string(++m_requests)
                                + "\r\nX-Deadline-Ms: " + std::to_string(timeLeft.count()) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    std::string answer;
    boost::system::error_code error;
    co_await socket.async_connect(callerEndpoint(index), asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        co_await asio::async_read(socket, asio::dynamic_buffer(answer, kMaxAnswerBytes), asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<caller_result> relay_site::call(std::size_t index, caller_request request)
{
    const std::string path = request.path;
    const milliseconds timeLeft = request.timeLeft;
    const milliseconds readPause = request.readPause;
    caller_result outcome;
    outcome.id = "r" + std::to_string(++m_requests);
    outcome.path = path;
    http_call call;
    call.method = path.starts_with("/look/") ? "GET" : "POST";
    call.target = path;
    call.endpoint = callerEndpoint(index);
    call.progressTimeout = timeLeft + kAnswerSlack;
    if (readPause.count() > 0) {
        // A slow caller makes its answer last, and leaves at its deadline.
        call.totalTimeout = call.progressTimeout;
    }
    call.fields = {{"Host", kSiteHost}, {"X-Attempt-Id", outcome.id}, {"X-Deadline-Ms", std::to_string(timeLeft.count())}};
    const bool streamed = path.starts_with("/gen/");
    if (streamed) {
        call.fields.push_back({"X-Model", "m"});
        call.fields.push_back({"X-Token-Count", "500," + std::to_string(request.maxOutputTokens)});
        call.fields.push_back({"X-Prompt-Prefix", request.promptParts});
    }
    const std::string streamId = request.resumes.empty() ? outcome.id : request.resumes;
    const std::uint32_t lastEvent = request.lastEvent;
    if (!request.resumes.empty()) {
        call.fields.push_back({"Resumes", request.resumes});
        call.fields.push_back({"Last-Event-Id", std::to_string(lastEvent)});
    }
    if (!request.key.empty()) {
        call.fields.push_back({"X-Key", request.key});
    }
    if (!request.claimedTeam.empty()) {
        call.fields.push_back({"X-Tenant", request.claimedTeam});
    }
    std::string body;
    const net::http_exchange::head_hook onHead = [](const http_answer &) -> asio::awaitable<bool> { co_return true; };
    const net::http_exchange::body_hook onBody = [this, &body, readPause](std::string_view piece) -> asio::awaitable<void> {
        body.append(piece);
        if (readPause.count() > 0) {
            co_await pause(readPause);
        }
    };
    const auto exchange = net::http_exchange::make(m_context.get_executor(), std::move(call));
    net::http_result result = co_await exchange->run(onHead, onBody);
    outcome.lastEvent = streamed ? lastEventIn(body) : 0;
    if (!result.answer) {
        outcome.fault = result.timedOut && readPause.count() == 0 ? "no answer within 700 ms after the deadline" : "";
        co_return outcome;
    }
    http_answer &answer = *result.answer;
    answer.body = std::move(body);
    outcome.status = answer.status;
    outcome.isComplete = true;
    const bool success = answer.status < net::status::kFirstRedirect;
    if (answer.status == net::status::kUnavailable) {
        outcome.refusal = answer.body;
    }
    if (answer.header("X-Attempt-Id") != outcome.id) {
        outcome.fault = "the answer carries the id of another request";
    } else if (success && answer.header("X-Server-Seal").empty()) {
        outcome.fault = "a successful answer without the upstream's seal";
    } else if (success) {
        outcome.fault = streamed ? faultOfEvents(streamId, lastEvent, answer.body) : faultOfPlainBody(outcome.id, path, answer.body);
    }
    co_return outcome;
}

tcp::endpoint relay_site::callerEndpoint(std::size_t index) const
{
    return tcp::endpoint(asio::ip::address_v4::loopback(), m_entries.at(index).ports.at("callers"));
}

tcp::endpoint relay_site::operatorsEndpoint(std::size_t index) const
{
    return tcp::endpoint(asio::ip::address_v4::loopback(), m_entries.at(index).ports.at("operators"));
}

int relay_site::runCountOf(const std::string &id) const
{
    const auto found = m_log.runs.find(id);
    return found == m_log.runs.end() ? 0 : found->second;
}

} // namespace heatherroute::support
