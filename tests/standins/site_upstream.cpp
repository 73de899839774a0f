#include "standins/site_upstream.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <cmath>

namespace heatherroute::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
using net::http_answer;
using net::http_request;
using net::http_responder;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds kReportInterval{300};
constexpr milliseconds kRegistrationTime{2'000}; ///< From the start of an instance until all entries know it.
constexpr std::size_t kLongHeadBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kLongFieldBytes = 60'000; ///< Beast throws at fields of 64 KiB and more.
constexpr const char *kLimitField = "Server-Limit";
constexpr const char *kLeavingField = "Server-Leaving";
constexpr const char *kPauseField = "Retry-After";

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/// Returns the number that @p text names; empty when it is none, or negative.
std::optional<double> numberIn(const std::string &text)
{
    double value = 0.0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool good = status == std::errc{} && end == text.data() + text.size() && std::isfinite(value) && value >= 0.0;
    return good ? std::optional(value) : std::nullopt;
}

/// Returns the last event that the caller has of a stream; 0 when it has none.
std::uint32_t lastEventOf(const http_request &request)
{
    const std::string_view text = request.header("Last-Event-Id");
    std::uint32_t event = 0;
    std::from_chars(text.data(), text.data() + text.size(), event);
    return event;
}

/// Returns the part of the prompt that crashes engines; empty when there is none.
std::string poisonPartOf(const http_request &request)
{
    std::string_view rest = request.header("X-Prompt-Prefix");
    for (auto comma = rest.find(','); comma != std::string_view::npos; comma = rest.find(',')) {
        const std::string_view id = rest.substr(0, std::min(comma, rest.find(':')));
        if (id.starts_with(kPoisonPartPrefix)) {
            return std::string(id);
        }
        rest = rest.substr(comma + 1);
    }
    return {};
}

} // namespace

site_upstream::site_upstream(asio::io_context &context, site_upstream_settings settings, site_store &store, upstream_log &log)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_store(store)
    , m_log(log)
    , m_reportTimer(context)
    , m_restartTimer(context)
    , m_startedAt(unixMilliseconds())
    , m_name(m_settings.id)
{ }

std::unique_ptr<site_upstream>
site_upstream::make(asio::io_context &context, site_upstream_settings settings, site_store &store, upstream_log &log, last_reason *reason)
{
    std::unique_ptr<site_upstream> made(new site_upstream(context, std::move(settings), store, log));
    if (!made->listen(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0), reason)) {
        return nullptr;
    }
    made->report();
    return made;
}

bool site_upstream::listen(const asio::ip::tcp::endpoint &endpoint, last_reason *reason)
{
    const auto handler = [this](http_request request, http_responder &responder) { return serve(std::move(request), responder); };
    const auto badRequestHandler = [](unsigned status, std::string_view) { return jsonAnswer(json::object(), status); };
    m_server = net::http_server::make(m_context, endpoint, {}, handler, badRequestHandler, reason);
    if (!m_server) {
        return false;
    }
    m_endpoint = m_server->endpoint();
    for (const std::string &host : m_settings.linkHosts) {
        const asio::ip::tcp::endpoint link(asio::ip::make_address(host), m_endpoint.port());
        m_linkServers.push_back(net::http_server::make(m_context, link, {}, handler, badRequestHandler, reason));
        if (!m_linkServers.back()) {
            closePorts();
            return false;
        }
    }
    return true;
}

void site_upstream::closePorts()
{
    m_server.reset();
    m_linkServers.clear();
}

void site_upstream::crash()
{
    if (!m_server) {
        return;
    }
    closePorts();
    m_reportTimer.cancel();
    abortAll();
    restartLater();
}

void site_upstream::crashSilently()
{
    if (!m_server || m_isSilent) {
        return;
    }
    m_isSilent = true;
    m_server->stopAccepting();
    m_linkServers.clear();
    m_reportTimer.cancel();
    m_fullPort = std::make_unique<asio::ip::tcp::acceptor>(m_context, m_endpoint.protocol());
    m_fullPort->set_option(asio::socket_base::reuse_address(true));
    m_fullPort->bind(m_endpoint);
    m_fullPort->listen(0);
    m_filler = std::make_unique<asio::ip::tcp::socket>(m_context);
    m_filler->connect(m_endpoint);
    restartLater();
}

void site_upstream::release(std::string version, bool keepsId)
{
    m_nextVersion = std::move(version);
    m_keepsId = keepsId;
    crash();
}

void site_upstream::abortAll()
{
    const auto open = m_open;
    for (const auto &[responder, poisonPart] : open) {
        responder->abort();
    }
}

void site_upstream::restartLater()
{
    m_reservations.clear();
    m_handles.clear();
    m_limit.clear();
    m_restartTimer.expires_after(m_settings.downTime);
    m_restartTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            restart();
        }
    });
}

void site_upstream::restart()
{
    last_reason reason;
    m_fullPort.reset();
    m_filler.reset();
    if (std::exchange(m_isSilent, false)) {
        closePorts();
        abortAll();
    }
    if (!listen(m_endpoint, &reason)) {
        // A connection of the previous instance still occupies the port.
        m_restartTimer.expires_after(kReportInterval);
        m_restartTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                restart();
            }
        });
        return;
    }
    m_settings.version = std::exchange(m_nextVersion, std::nullopt).value_or(m_settings.version);
    if (!std::exchange(m_keepsId, false)) {
        m_store.put("keyed.servers", m_settings.id, "");
        m_settings.id = m_name + "-" + std::to_string(++m_restarts);
    }
    m_startedAt = unixMilliseconds();
    m_sequence = 0;
    m_orders = 0;
    m_highestToken = 0;
    report();
}

bool site_upstream::crashesOn(const http_request &request)
{
    if (m_faults.toleratesPoison || request.target.find(kPoisonMarker) == std::string::npos) {
        return false;
    }
    crashUnder(request, {});
    return true;
}

void site_upstream::crashUnder(const http_request &request, std::string poisonPart)
{
    std::set<std::string> inFlight;
    for (const auto &[responder, part] : m_open) {
        if (!part.empty()) {
            inFlight.insert(part);
        }
    }
    m_log.crashes.push_back({std::chrono::steady_clock::now(), request.target, std::move(poisonPart), std::move(inFlight)});
    if (m_faults.silentCrashes) {
        crashSilently();
    } else {
        crash();
    }
}

void site_upstream::setFaults(const upstream_faults &faults)
{
    m_faults = faults;
}

void site_upstream::setLimit(std::string text)
{
    m_limit = std::move(text);
}

bool site_upstream::isServing(const std::string &phase) const
{
    const bool isKnown = unixMilliseconds() >= m_startedAt + static_cast<std::uint64_t>(kRegistrationTime.count());
    return m_settings.phase == phase && m_server && !m_isSilent && !m_drainedAt && isKnown && m_faults == upstream_faults{} && m_limit.empty();
}

void site_upstream::drain()
{
    m_drainedAt = std::chrono::steady_clock::now();
    report();
}

int site_upstream::runsAfterDrain(milliseconds slack) const
{
    return static_cast<int>(std::distance(m_runsAfterDrain.upper_bound(slack), m_runsAfterDrain.end()));
}

void site_upstream::report()
{
    // A drain during the down time is reported by the next instance.
    if (!m_server) {
        return;
    }
    json::object entry{{"Service", m_settings.service},
                       {"Address", m_settings.sharedHost + ":" + std::to_string(m_server->endpoint().port())},
                       {"Zone", "z"},
                       {"Version", m_settings.version},
                       {"Slots", 64},
                       {"State", m_drainedAt ? "draining" : "ready"},
                       {"ColdLeftMs", 0},
                       {"Sequence", ++m_sequence},
                       {"born", m_startedAt}};
    if (!m_settings.phase.empty()) {
        entry["Phase"] = m_settings.phase;
    }
    if (!m_faults.withholdReports) {
        m_store.put("keyed.servers", m_settings.id, json::serialize(entry));
    }
    m_reportTimer.expires_after(kReportInterval);
    m_reportTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            report();
        }
    });
}

asio::awaitable<void> site_upstream::waitWhileSilent(http_responder &responder)
{
    while (m_isSilent && !responder.isClosed()) {
        co_await sleepFor(m_settings.workTime);
    }
}

asio::awaitable<void> site_upstream::sleepFor(milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

http_answer site_upstream::makeAnswer(const http_request &request, unsigned status) const
{
    http_answer answer;
    answer.status = status;
    const std::string id = m_faults.mismatchedAnswers ? "another" : std::string(request.header("X-Attempt-Id"));
    answer.fields = {{"X-Attempt-Id", id}, {"X-Server-Seal", m_settings.id + "." + id}};
    describeItself(answer);
    return answer;
}

void site_upstream::describeItself(http_answer &answer) const
{
    if (!m_limit.empty() && answer.header(kLimitField).empty()) {
        answer.fields.push_back({kLimitField, m_limit});
    }
    if (m_faults.leaving && answer.header(kLeavingField).empty()) {
        answer.fields.push_back({kLeavingField, "1"});
    }
    if (!m_faults.pause.empty() && answer.status == 503 && answer.header(kPauseField).empty()) {
        answer.fields.push_back({kPauseField, m_faults.pause});
    }
}

http_answer site_upstream::makeEarlierRefusal() const
{
    http_answer answer;
    answer.status = 503;
    answer.fields = {{"X-Attempt-Id", "an-earlier-request"}, {"X-Not-Executed", "1"}};
    describeItself(answer);
    return answer;
}

void site_upstream::recordArrival(const http_request &request)
{
    m_log.calls.push_back({std::chrono::steady_clock::now(), m_settings.id, request.target});
    const std::string_view id = request.header("X-Attempt-Id");
    if (!id.empty()) {
        const bool isPrefill = request.header("X-Stage") == "prefill";
        std::vector<std::string> teams;
        for (const net::http_field &field : request.fields) {
            if (boost::beast::iequals(field.name, "X-Tenant")) {
                teams.push_back(field.value);
            }
        }
        m_log.arrivals.push_back({std::chrono::steady_clock::now(),
                                  m_settings.service,
                                  std::string(id),
                                  request.target,
                                  isPrefill,
                                  poisonPartOf(request),
                                  m_settings.id,
                                  std::string(request.header("X-Key")),
                                  std::move(teams)});
    }
    recordStatement(request);
    if (const auto limit = numberIn(m_limit)) {
        m_log.limitedCalls.push_back({std::chrono::steady_clock::now(), m_settings.id, std::string(id), *limit});
    }
}

void site_upstream::recordStatement(const http_request &request)
{
    const std::string_view id = request.header("X-Attempt-Id");
    const double pause = m_faults.refuse ? numberIn(m_faults.pause).value_or(0.0) : 0.0;
    const std::string_view expected = request.header("X-Expect-Instance");
    const bool isMeant = expected.empty() || expected == m_settings.id; // Otherwise the answer is 421, as of another instance.
    if (!id.empty() && isMeant && (m_faults.leaving || pause > 0.0)) {
        const std::chrono::duration<double> time(pause);
        m_log.statements.push_back({std::chrono::steady_clock::now(), m_settings.id, std::string(id), m_faults.leaving, time});
    }
}

void site_upstream::recordRun(const http_request &request)
{
    if (request.header("X-Stage") == "prefill") {
        return; // Only the prompt is computed.
    }
    m_log.runs[std::string(request.header("X-Attempt-Id"))] += 1;
    if (m_drainedAt) {
        m_runsAfterDrain.insert(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - *m_drainedAt));
    }
}

asio::awaitable<void> site_upstream::serve(http_request request, http_responder &responder)
{
    if (!m_server) {
        responder.abort();
        co_return;
    }
    m_open.emplace(&responder, poisonPartOf(request));
    if (m_isSilent) {
        co_await waitWhileSilent(responder);
        m_open.erase(&responder);
        responder.abort();
        co_return;
    }
    recordArrival(request);
    // Not by a destructor: the coroutine may be destroyed after this upstream.
    try {
        co_await dispatch(request, responder);
    } catch (...) {
        m_open.erase(&responder);
        throw;
    }
    m_open.erase(&responder);
}

asio::awaitable<void> site_upstream::dispatch(const http_request &request, http_responder &responder)
{
    const std::string_view expected = request.header("X-Expect-Instance");
    http_answer answer;
    if (!expected.empty() && expected != m_settings.id) {
        answer.status = 421;
        answer.fields = {{"X-Replica-Id", m_settings.id}};
    } else if (request.path() == "/healthz") {
        answer.fields = {{"X-Replica-Id", m_settings.id}};
    } else if (m_faults.longHeads) {
        recordRun(request);
        answer = makeAnswer(request, 200);
        for (std::size_t bytes = 0; bytes < kLongHeadBytes; bytes += kLongFieldBytes) {
            answer.fields.push_back({"X-Field", std::string(kLongFieldBytes, 'x')});
        }
        co_await responder.send(std::move(answer));
        co_return;
    } else if (m_faults.endlessAnswers) {
        co_await sendEndlessBody(request, responder);
        co_return;
    } else if (m_faults.refuse) {
        answer.status = 503;
        answer.fields = {{"X-Not-Executed", "1"}};
    } else if (request.path() == "/v1/hold-take") {
        answer = reserve(request);
    } else if (request.path().starts_with("/v1/hold-drop/")) {
        m_reservations.erase(std::string(request.path().substr(sizeof("/v1/hold-drop/") - 1)));
    } else if (request.path().starts_with("/v1/kv-handle/")) {
        m_handles.erase(std::string(request.path().substr(sizeof("/v1/kv-handle/") - 1)));
    } else if (request.path() == "/v1/report") {
        answer = jsonAnswer(json::object{{"Phase", m_settings.phase}, {"Busy", false}, {"Sequence", m_orders}, {"born", m_startedAt}});
    } else if (request.path() == "/v1/order") {
        answer = order(request);
    } else if (request.header("X-Stage") == "prefill") {
        while (m_faults.hang && !responder.isClosed()) {
            co_await sleepFor(m_settings.workTime);
        }
        answer = prefill(request);
    } else if (!m_settings.phase.empty()) {
        co_await serveStream(request, responder);
        co_return;
    } else {
        co_await servePlain(request, responder);
        co_return;
    }
    co_await sendAnswer(std::move(answer), responder, m_faults.cutCallAnswers ? body_end::Cut : body_end::Whole);
}

asio::awaitable<void> site_upstream::sendAnswer(http_answer answer, http_responder &responder, body_end end)
{
    describeItself(answer);
    if (!m_faults.unframed && end == body_end::Whole) {
        co_await responder.send(std::move(answer));
        co_return;
    }
    std::string body = std::move(answer.body);
    if (end != body_end::Whole) {
        body.resize(body.size() / 2);
    }
    co_await responder.beginStream(std::move(answer), streamFraming());
    co_await responder.write(std::move(body));
    if (end == body_end::Aborted) {
        responder.abort();
    } else {
        co_await responder.endStream();
    }
}

net::body_framing site_upstream::streamFraming() const
{
    return m_faults.unframed ? net::body_framing::ConnectionClose : net::body_framing::Chunks;
}

asio::awaitable<void> site_upstream::sendEndlessBody(const http_request &request, http_responder &responder)
{
    recordRun(request);
    http_answer head = makeAnswer(request, 200);
    co_await responder.beginStream(std::move(head));
    while (m_faults.endlessAnswers && !responder.isClosed()) {
        std::string block(std::size_t{16} * 1024, 'x');
        const bool sent = co_await responder.write(std::move(block));
        if (!sent) {
            co_return;
        }
    }
    responder.abort();
}

asio::awaitable<void> site_upstream::servePlain(const http_request &request, http_responder &responder)
{
    recordRun(request);
    if (m_faults.failEarly || m_faults.earlierRefusals) {
        http_answer answer = m_faults.failEarly ? makeAnswer(request, 500) : makeEarlierRefusal();
        co_await sendAnswer(std::move(answer), responder, body_end::Whole);
        co_return;
    }
    if (crashesOn(request)) {
        co_await waitWhileSilent(responder);
        co_return;
    }
    co_await sleepFor(m_settings.workTime);
    while (m_faults.hang && !responder.isClosed()) {
        co_await sleepFor(m_settings.workTime);
    }
    if (m_faults.loseAnswers) {
        responder.abort();
        co_return;
    }
    co_await waitWhileSilent(responder);
    http_answer answer = makeAnswer(request, m_faults.fail ? 500 : 200);
    answer.body = std::string(request.header("X-Attempt-Id")) + " " + request.target + " " + request.body;
    co_await sendAnswer(std::move(answer), responder, m_faults.breakAnswers ? body_end::Aborted : body_end::Whole);
}

asio::awaitable<void> site_upstream::serveStream(const http_request &request, http_responder &responder)
{
    const std::string source(request.header("X-Kv-Source"));
    m_reservations.erase(std::string(request.header("X-Kv-Hold")));
    if (m_settings.phase != "decode") {
        http_answer answer;
        answer.status = 421;
        describeItself(answer);
        co_await responder.send(std::move(answer));
        co_return;
    }
    if (m_faults.refuseDecodes) {
        http_answer answer;
        answer.status = 503;
        answer.fields = {{"X-Not-Executed", "1"}};
        describeItself(answer);
        co_await responder.send(std::move(answer));
        co_return;
    }
    recordRun(request);
    if (m_faults.failEarly || m_faults.earlierRefusals) {
        http_answer answer = m_faults.failEarly ? makeAnswer(request, 500) : makeEarlierRefusal();
        co_await sendAnswer(std::move(answer), responder, body_end::Whole);
        co_return;
    }
    if (crashesOn(request)) {
        co_await waitWhileSilent(responder);
        co_return;
    }
    while (m_faults.hang && !responder.isClosed()) {
        co_await sleepFor(m_settings.workTime);
    }
    http_answer head = makeAnswer(request, 200);
    head.contentType = "text/event-stream";
    co_await responder.beginStream(std::move(head), streamFraming());
    const std::string_view resumed = request.header("Resumes");
    const std::string id(resumed.empty() ? request.header("X-Attempt-Id") : resumed);
    const std::string version = m_settings.version;
    const std::string poisonPart = poisonPartOf(request);
    for (std::uint32_t event = lastEventOf(request) + 1; event <= m_settings.events; ++event) {
        co_await sleepFor(m_settings.eventInterval);
        co_await waitWhileSilent(responder);
        if (!poisonPart.empty() && event > kEventsBeforeCrash && !responder.isClosed()) {
            crashUnder(request, poisonPart);
            co_await waitWhileSilent(responder);
            co_return;
        }
        if (m_faults.breakStreams && event > m_settings.events / 2) {
            responder.abort();
            co_return;
        }
        std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        if (m_faults.cutStreams && event > m_settings.events / 2) {
            text.resize(text.size() / 2);
            co_await responder.write(std::move(text));
            break;
        }
        const bool sent = co_await responder.write(std::move(text));
        if (!sent) {
            co_return;
        }
        m_log.streamVersions[id].insert(version);
    }
    co_await responder.endStream();
}

http_answer site_upstream::reserve(const http_request &request)
{
    const auto tokens = json::parse(request.body).at("Tokens").to_number<std::uint64_t>();
    std::uint64_t heldTokens = 0;
    for (const auto &[id, count] : m_reservations) {
        heldTokens += count;
    }
    if (heldTokens + tokens > m_settings.memoryTokens) {
        return jsonAnswer(json::object(), 503);
    }
    const std::string id = "h" + std::to_string(++m_lastId);
    m_reservations[id] = tokens;
    return jsonAnswer(json::object{{"Hold", id}});
}

http_answer site_upstream::prefill(const http_request &request)
{
    if (m_settings.phase != "prefill") {
        return jsonAnswer(json::object(), 421);
    }
    static_cast<void>(request);
    ++m_prefills;
    const std::string handle = "k" + std::to_string(++m_lastId);
    m_handles.insert(handle);
    return jsonAnswer(json::object{{"KvHandle", handle}, {"Tokens", 10}, {"Version", 1}});
}

http_answer site_upstream::order(const http_request &request)
{
    const json::value body = json::parse(request.body);
    const auto token = body.at("FencingToken").to_number<std::uint64_t>();
    if (token < m_highestToken) {
        return jsonAnswer(json::object(), 412);
    }
    m_highestToken = token;
    if (body.at("Expect").to_number<std::uint64_t>() != m_orders) {
        return jsonAnswer(json::object(), 409);
    }
    ++m_orders;
    m_log.orders.push_back({m_settings.id, std::string(body.at("Holder").as_string()), token});
    m_settings.phase = std::string(body.at("Phase").as_string());
    return jsonAnswer(json::object(), 202);
}

} // namespace heatherroute::standins
