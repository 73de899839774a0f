#include "standins/engine_server.h"

#include "standins/engine_json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdio>
#include <unistd.h>
#include <utility>

namespace heatherroute::standins
{

namespace
{

constexpr int kCrashExitCode = 70;
constexpr std::chrono::milliseconds kKvPollInterval{50};
constexpr std::chrono::milliseconds kDripInterval{200};

const char *codeOf(refusal reason)
{
    switch (reason) {
    case refusal::NoSlot:
        return "no_slot";
    case refusal::NoMemory:
        return "no_memory";
    case refusal::Duplicate:
        return "duplicate";
    case refusal::None:
        break;
    }
    return "refused";
}

} // namespace

engine_server::engine_server(net::io_context &context, standin_server &server, engine_settings settings, engine_options options)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_options(options)
    , m_prefill(m_settings)
    , m_decode(m_settings)
    , m_changed(context)
    , m_timer(context)
    , m_incarnation(std::to_string(realTime().time_since_epoch().count()))
{
    addRoutes(server);
    sampleLoad(realTime());
}

void engine_server::addRoutes(standin_server &server)
{
    const auto bind = [this](net::awaitable<void> (engine_server::*method)(const standin_request &, standin_connection &)) {
        return [this, method](const standin_request &request, standin_connection &connection) { return (this->*method)(request, connection); };
    };
    const auto jsonHandler = [](std::function<json::object(const standin_request &)> make) {
        return [make = std::move(make)](const standin_request &request, standin_connection &connection) { return connection.answer(200, make(request)); };
    };
    server.route("POST", "/v1/prefill", bind(&engine_server::prefill));
    server.route("POST", "/v1/decode", bind(&engine_server::decode));
    server.route("POST", "/v1/resume", bind(&engine_server::resume));
    server.route("POST", "/v1/cancel", bind(&engine_server::cancel));
    server.route("GET", "/v1/kv/*", bind(&engine_server::sendKv));
    server.route("POST", "/v1/orders", bind(&engine_server::order));
    server.route("GET", "/v1/load", jsonHandler([this](const auto &) { return load(); }));
    server.route("GET", "/v1/requests", jsonHandler([this](const auto &) { return requests(realTime()); }));
    server.route(
        "GET", "/v1/cache-events", jsonHandler([this](const auto &request) { return cacheEvents(static_cast<std::uint64_t>(request.number("after", 0))); }));
    server.route("GET", "/v1/state", jsonHandler([this](const auto &) { return state(); }));
    server.route("GET", "/records", jsonHandler([this](const auto &) { return records(); }));
    server.route("POST", "/fault", [this, &server](const standin_request &request, standin_connection &connection) {
        setFaults(request.body);
        if (boolOf(request.body, "silent")) {
            server.silenceConnections(&connection);
        }
        return connection.answer(200, json::object());
    });
}

void engine_server::advanceModels()
{
    const instant now = realTime();
    m_prefill.advance(now);
    m_decode.advance(now);
    for (const auto &outcome : m_prefill.takeOutcomes()) {
        m_outcomes[outcome.id] = outcome;
    }
    for (const auto transfer : m_prefill.takeCompletedTransfers()) {
        m_sentTransfers.insert(transfer);
    }
    crashIfPromptMatches(m_prefill.runningPrompt());
    if (m_faults.dieAfterTokens > 0 && m_decode.tokensGenerated() - m_tokensAtFault >= m_faults.dieAfterTokens) {
        crash("die_after_tokens");
    }
    sampleLoad(now);
    m_changed.notify();
    scheduleTimer();
}

void engine_server::scheduleTimer()
{
    auto next = m_prefill.nextEvent();
    if (const auto other = m_decode.nextEvent()) {
        next = next ? std::min(*next, *other) : *other;
    }
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max(duration::zero(), *next - realTime()));
    m_timer.async_wait([this](const beast::error_code &error) {
        if (!error) {
            advanceModels();
        }
    });
}

void engine_server::sampleLoad(instant now)
{
    if (m_faults.freezeLoad) {
        return;
    }
    const bool isPrefill = m_settings.role == "prefill";
    load_sample sample;
    sample.at = now;
    sample.running = isPrefill ? m_prefill.running() : m_decode.slotsUsed();
    sample.piecesFree = isPrefill ? m_prefill.piecesFree() : m_decode.piecesFree();
    sample.queue = isPrefill ? m_prefill.queued() : 0;
    m_loadSamples.push_back(sample);
    while (m_loadSamples.size() > 1 && m_loadSamples[1].at <= now - m_options.loadLag) {
        m_loadSamples.pop_front();
    }
}

void engine_server::crashIfPromptMatches(const std::string *prompt)
{
    if (prompt != nullptr && !m_faults.crashOn.empty() && prompt->find(m_faults.crashOn) != std::string::npos) {
        crash("crash_on");
    }
}

void engine_server::crash(const std::string &why)
{
    std::printf("crash %s at %lld\n", why.c_str(), static_cast<long long>(toMs(realTime())));
    std::fflush(stdout);
    _exit(kCrashExitCode);
}

net::awaitable<bool> engine_server::validateRequest(const char *role, const engine_request &engineRequest, standin_connection &connection)
{
    std::string code;
    if (m_faults.refuse) {
        code = "refused";
    } else if (m_settings.role != role) {
        code = "wrong_role";
    } else if (engineRequest.model != m_settings.model) {
        code = "wrong_model";
    } else if (engineRequest.requestId.empty()) {
        code = "bad_request";
    }
    if (code.empty()) {
        co_return true;
    }
    ++m_refusals[code];
    co_await connection.fail(code == "refused" ? 503 : (code == "bad_request" ? 400 : 409), code);
    co_return false;
}

net::awaitable<void> engine_server::prefill(const standin_request &request, standin_connection &connection)
{
    engine_request engineRequest = engineRequestOf(request.body);
    const bool valid = co_await validateRequest("prefill", engineRequest, connection);
    if (!valid) {
        co_return;
    }
    const std::string prompt = engineRequest.prompt;
    std::uint64_t id = 0;
    const refusal refused = m_prefill.submit(realTime(), std::move(engineRequest), &id);
    advanceModels();
    if (refused != refusal::None) {
        ++m_refusals[codeOf(refused)];
        co_await connection.fail(409, codeOf(refused));
        co_return;
    }
    while (m_outcomes.count(id) == 0) {
        co_await m_changed.wait();
    }
    const prefill_outcome outcome = m_outcomes.at(id);
    m_outcomes.erase(id);
    if (outcome.reason != end_reason::Open) {
        co_await connection.fail(outcome.reason == end_reason::Deadline ? 504 : 409, toString(outcome.reason));
        co_return;
    }
    crashIfPromptMatches(&prompt); // A prefill that took no time was never observed as running, so the check is repeated here.
    json::object body{{"kv_id", m_incarnation + '-' + std::to_string(id)},
                      {"prompt_tokens", outcome.promptTokens},
                      {"cached_tokens", outcome.cachedTokens},
                      {"pieces", outcome.pieces},
                      {"ttl_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.kvTtl).count()}};
    co_await connection.answer(200, std::move(body));
}

net::awaitable<void> engine_server::decode(const standin_request &request, standin_connection &connection)
{
    engine_request engineRequest = engineRequestOf(request.body);
    const bool valid = co_await validateRequest("decode", engineRequest, connection);
    if (!valid) {
        co_return;
    }
    const expected_answer answer(engineRequest.model, engineRequest.prompt, engineRequest.maxTokens);
    const std::string requestId = engineRequest.requestId;
    const std::size_t offset = engineRequest.offset;
    const std::string prompt = engineRequest.prompt;
    std::size_t record = 0;
    const refusal refused = m_decode.accept(realTime(), engineRequest, &record);
    advanceModels();
    if (refused != refusal::None) {
        ++m_refusals[codeOf(refused)];
        co_await connection.fail(409, codeOf(refused));
        co_return;
    }
    auto pulling = pullKv(textOf(request.body, "kv_source"), textOf(request.body, "kv_id"), requestId, record);
    net::co_spawn(m_context, std::move(pulling), net::detached);
    const bool arrived = co_await waitForKv(record, requestId, connection);
    if (arrived) {
        crashIfPromptMatches(&prompt);
        co_await stream(requestId, answer, record, offset, connection);
    }
}

net::awaitable<bool> engine_server::waitForKv(std::size_t record, const std::string &requestId, standin_connection &connection)
{
    instant lastProgress = realTime();
    while (m_decode.records()[record].start == instant()) {
        const instant now = realTime();
        lastProgress = m_faults.stallTransfers ? lastProgress : now;
        std::string failure;
        if (m_decode.records()[record].reason != end_reason::Open) {
            failure = toString(m_decode.records()[record].reason);
        } else if (const auto found = m_pullFailures.find(record); found != m_pullFailures.end()) {
            failure = found->second;
        } else if (now - lastProgress > m_options.transferStall) {
            failure = "transfer_stalled";
        }
        if (!failure.empty()) {
            m_pullFailures.erase(record);
            m_decode.failTransfer(now, requestId);
            advanceModels();
            ++m_refusals[failure];
            const unsigned status = failure == "kv_gone" ? 410 : (failure == "transfer_stalled" || failure == "deadline" ? 504 : 409);
            co_await connection.fail(status, failure);
            co_return false;
        }
        co_await m_changed.wait(kKvPollInterval);
    }
    co_return true;
}

net::awaitable<void> engine_server::resume(const standin_request &request, standin_connection &connection)
{
    const std::string requestId = textOf(request.body, "request_id");
    if (m_faults.refuse) {
        co_await connection.fail(503, "refused");
        co_return;
    }
    const auto record = m_decode.attach(realTime(), requestId);
    if (!record) {
        co_await connection.fail(404, "not_running");
        co_return;
    }
    const expected_answer answer = *m_decode.answer(requestId);
    advanceModels();
    co_await stream(requestId, answer, *record, static_cast<std::size_t>(intOf(request.body, "offset")), connection);
}

net::awaitable<void>
engine_server::stream(std::string requestId, expected_answer answer, std::size_t record, std::size_t offset, standin_connection &connection)
{
    const std::uint64_t streamId = ++m_lastStream;
    m_streams[requestId] = streamId;
    m_changed.notify(); // Ends the previous stream of this request.
    co_await connection.beginStream([this] { m_changed.notify(); });
    std::size_t sent = offset;
    std::string finalEvent;
    while (!connection.isClosed()) {
        const decode_record &current = m_decode.records()[record];
        const std::size_t available = current.offset + current.tokens;
        if (m_streams[requestId] != streamId) {
            finalEvent = "event: error\n" + eventText(errorBody("superseded", "another stream reads this request"));
        } else if (m_faults.dripStreams) {
            co_await connection.sendEvents(":\n");
            co_await m_changed.wait(kDripInterval);
            continue;
        } else if (m_faults.stallStreams || (sent >= available && current.reason == end_reason::Open)) {
            co_await m_changed.wait();
            continue;
        } else if (sent < available) {
            std::string events;
            for (; sent < available; ++sent) {
                events += eventText({{"offset", sent}, {"text", answer.token(sent)}});
            }
            co_await connection.sendEvents(std::move(events));
            continue;
        } else if (current.reason == end_reason::Done) {
            finalEvent = eventText({{"done", true}, {"finish_reason", answer.finishReason()}, {"tokens", answer.tokens()}});
        } else {
            finalEvent = "event: error\n" + eventText(errorBody(toString(current.reason), "the request was ended"));
        }
        co_await connection.sendEvents(std::move(finalEvent));
        co_await connection.endStream();
        break;
    }
    if (m_streams[requestId] != streamId) {
        co_return;
    }
    m_streams.erase(requestId);
    if (connection.isClosed()) {
        m_decode.detach(realTime(), requestId);
        advanceModels();
    }
}

net::awaitable<void> engine_server::cancel(const standin_request &request, standin_connection &connection)
{
    const std::string requestId = textOf(request.body, "request_id");
    bool cancelled = true;
    if (!m_faults.ignoreCancel) {
        const instant now = realTime();
        const bool prefillCancelled = m_prefill.cancel(now, requestId);
        const bool decodeCancelled = m_decode.cancel(now, requestId);
        cancelled = prefillCancelled || decodeCancelled;
        advanceModels();
    }
    return connection.answer(200, {{"cancelled", cancelled}});
}

net::awaitable<void> engine_server::order(const standin_request &request, standin_connection &connection)
{
    order_record order;
    order.kind = textOf(request.body, "kind");
    order.value = textOf(request.body, "value");
    order.fence = intOf(request.body, "fence");
    order.at = realTime();
    order.accepted = !m_options.checkFence || order.fence >= m_highestFence;
    m_orders.push_back(order);
    if (!order.accepted) {
        return connection.fail(409, "stale_fence");
    }
    m_highestFence = std::max(m_highestFence, order.fence);
    if (order.kind == "load_model") {
        m_settings.model = order.value;
    } else if (order.kind == "load_adapter") {
        m_adapters.insert(order.value);
    } else if (order.kind == "set_version") {
        m_version = order.value;
    } else if (order.kind == "set_role" && (order.value == "prefill" || order.value == "decode")) {
        m_settings.role = order.value;
    } else {
        return connection.fail(400, "bad_order", order.kind);
    }
    return connection.answer(200, state());
}

void engine_server::setFaults(const json::value &body)
{
    const instant now = realTime();
    engine_faults faults;
    faults.stallTransfers = boolOf(body, "stall_transfers");
    faults.stallStreams = boolOf(body, "stall_streams");
    faults.dripStreams = boolOf(body, "drip_streams");
    faults.refuse = boolOf(body, "refuse");
    faults.freezeLoad = boolOf(body, "freeze_load");
    faults.ignoreCancel = boolOf(body, "ignore_cancel");
    faults.slowFactor = doubleOf(body, "slow_factor", 1);
    faults.crashOn = textOf(body, "crash_on");
    faults.dieAfterTokens = static_cast<std::uint64_t>(intOf(body, "die_after_tokens"));
    m_tokensAtFault = m_decode.tokensGenerated();
    m_faults = faults;
    m_prefill.setSlowFactor(faults.slowFactor);
    m_decode.setSlowFactor(faults.slowFactor);
    m_prefill.setStalled(now, faults.stallTransfers);
    m_decode.setStalled(now, faults.stallTransfers);
    advanceModels();
}

} // namespace heatherroute::standins
