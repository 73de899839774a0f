#include "node/stream_relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

#include "net/http_status.h"

namespace heatherroute::node
{

namespace asio = boost::asio;
using net::http_answer;
using net::http_call;
using net::http_result;

namespace
{

constexpr std::uint32_t kMostPrefills = 3; ///< Engines asked for the same prompt.
constexpr std::size_t kMostAsked = 4; ///< Engines asked for memory in one round; more than this are rarely all full by chance.
/// Decodes refused after which a KV cache is computed anew: an engine that can't fetch it refuses like one that leaves its phase.
constexpr std::uint32_t kMostHandleRefusals = 2;
constexpr std::uint32_t kMostDecodes = 3; ///< Engines asked to generate before the caller is told.
/// How long a prefill may take before its engine is given up: prompts are admitted with half a second of work before them, and
/// callers go away after some 3.5 s without an event.
constexpr std::chrono::milliseconds kPrefillTimeout{1'500};
constexpr std::chrono::milliseconds kFullWait{2000}; ///< How long engines that are full are expected to stay so.
constexpr std::chrono::milliseconds kNoEngineWait{2500};
/// Time of a plain part of a decode that placement compares with: from sending to the first event.
constexpr duration kExpectedFirstEvent = std::chrono::milliseconds(60);

/// A decode engine whose memory is reserved.
struct reservation
{
    registration run;
    std::string id; ///< Empty when the engine takes no reservations.
    std::uint32_t tokens = 0;
};

/// A KV cache that was computed.
struct prefilled
{
    registration run;
    std::string handle;
};

enum class stage_end : std::uint8_t {
    Done,
    NotRun, ///< May be tried on other engines.
    Ended, ///< The request is over; nothing is left to try.
};

asio::awaitable<void> fireAndForget(http_call call)
{
    co_await net::performCall(std::move(call));
}

class stream_relay
{
public:
    explicit stream_relay(relay_call &call)
        : m_call(call)
        , m_state(call.state())
    { }

    ~stream_relay()
    {
        giveBack();
        freeHandle();
    }

    stream_relay(const stream_relay &) = delete;
    stream_relay &operator=(const stream_relay &) = delete;

    asio::awaitable<void> run()
    {
        const route_target *target = pickTarget(m_call.matched(), m_state.draw());
        m_service = target != nullptr ? target->service : std::string();
        m_prompt = m_call.facts().prompt.value_or(prompt_facts{});
        m_state.retries.noteRequest(coreNow(), m_service);
        std::uint32_t decodes = 0;
        bool paid = true; // The first try isn't a repeat.
        while (decodes < kMostDecodes) {
            // Before the prompt is read again, which would be in vain.
            if (!paid && !m_state.retries.tryRepeat(coreNow(), m_service)) {
                m_reason = "retry_budget_used_up";
                break;
            }
            paid = true;
            const bool reserved = co_await reserve();
            if (!reserved) {
                break;
            }
            const bool computed = co_await compute();
            if (!computed) {
                break;
            }
            if (!holdsUsableReservation()) {
                giveBack();
                continue;
            }
            ++decodes;
            paid = false;
            const stage_end end = co_await decode();
            if (end != stage_end::NotRun) {
                break;
            }
        }
        co_await conclude();
    }

private:
    std::vector<upstream_candidate> enginesIn(engine_phase phase) const
    {
        return m_state.candidates(m_state.registry.usable(m_service, phase));
    }

    /// Reserves memory at some decode engine, waiting a while when all are full.
    asio::awaitable<bool> reserve()
    {
        if (m_reserved) {
            co_return true;
        }
        const instant giveUpAt = coreNow() + m_state.desk.settings().longestWait;
        while (!m_call.isOver()) {
            if (enginesIn(engine_phase::Decode).empty()) {
                m_reason = "no_engine";
                co_return false;
            }
            const bool taken = co_await askRound();
            if (taken) {
                co_return true;
            }
            if (coreNow() >= giveUpAt) {
                m_reason = "engines_full";
                co_return false;
            }
            co_await m_call.wait(std::chrono::duration_cast<std::chrono::milliseconds>(m_state.desk.settings().askInterval));
        }
        co_return false;
    }

    /// Whether the reservation is still good: a prefill may have taken long, and the engine may leave meanwhile.
    bool holdsUsableReservation() const
    {
        return m_state.registry.isUsable(m_reserved->run.id) && coreNow() - m_reservedAt < reservationLifetime();
    }

    /// Asks a few decode engines that aren't known to be full; each question is a connection.
    asio::awaitable<bool> askRound()
    {
        std::vector<registration> order;
        for (const registration *run : m_state.desk.decodeOrder(coreNow(), enginesIn(engine_phase::Decode), m_state.random)) {
            if (order.size() < kMostAsked) {
                order.push_back(*run);
            }
        }
        for (const registration &run : order) {
            const bool taken = co_await ask(run);
            if (taken) {
                co_return true;
            }
            if (m_call.isOver()) {
                co_return false;
            }
        }
        co_return false;
    }

    asio::awaitable<bool> ask(registration run)
    {
        const std::uint32_t tokens = m_state.desk.reservedTokens(m_prompt);
        const auto id = co_await reserveAt(run, tokens);
        if (!id) {
            m_refusals += 1;
            co_return false;
        }
        m_state.desk.addDecode(run.id, tokens);
        m_reserved = reservation{run, *id, tokens};
        m_reservedAfter = m_call.age();
        m_reservedAt = coreNow();
        m_reservationSent = false;
        co_return true;
    }

    /// Reserves @p tokens of memory at @p run; empty when it has no room or gives no answer.
    asio::awaitable<std::optional<std::string>> reserveAt(registration run, std::uint32_t tokens)
    {
        http_call call = m_state.dialect.makeReservation(run.id, tokens, reservationLifetime());
        call = aimedAt(m_state, run, std::move(call), m_state.timing.engineCallTimeout);
        const http_result result = co_await m_call.perform(std::move(call));
        if (!result.answer) {
            if (!m_call.isOver()) {
                m_state.noteFailedTry(run.id, result.failure.outcome);
                m_state.desk.noteFull(coreNow(), run.id);
                m_call.noteFailedTry(run, "reserve", result.failure.reason, verdict::NotRun);
            }
            co_return std::nullopt;
        }
        const answer_facts facts = m_state.dialect.readAnswer(*result.answer, run.id);
        if (facts.wrongInstance) {
            m_state.registry.onDisplaced(run.id);
            co_return std::nullopt;
        }
        auto id = result.answer->status == net::status::kOk ? m_state.dialect.readReservation(*result.answer) : std::nullopt;
        if (id) {
            m_state.desk.noteTaken(run.id);
        } else {
            m_state.desk.noteFull(coreNow(), run.id);
        }
        co_return id;
    }

    std::chrono::milliseconds reservationLifetime() const
    {
        constexpr std::chrono::milliseconds kDefaultLifetime{2000};
        const service_spec *spec = m_state.routes ? m_state.routes->service(m_service) : nullptr;
        const bool known = spec != nullptr && spec->engine && spec->engine->maxReservation.count() > 0;
        return known ? spec->engine->maxReservation : kDefaultLifetime;
    }

    /// Has some prefill engine compute the prompt's KV cache. Where there is none at all the decode engine computes it itself,
    /// which holds up the generations that it runs. False when the request must end.
    asio::awaitable<bool> compute()
    {
        if (m_computed) {
            co_return true;
        }
        const instant giveUpAt = coreNow() + m_state.desk.settings().longestWait;
        std::set<std::string> tried;
        bool paid = m_prefills == 0;
        while (tried.size() < kMostPrefills && !m_call.isOver()) {
            std::vector<upstream_candidate> engines = enginesIn(engine_phase::Prefill);
            if (engines.empty()) {
                co_return true;
            }
            std::erase_if(engines, [&tried](const upstream_candidate &engine) { return tried.count(engine.run->id) > 0; });
            const auto order = m_state.desk.prefillOrder(coreNow(), engines, m_state.random);
            if (order.empty()) {
                m_reason = "prefill_engines_busy";
                if (coreNow() >= giveUpAt) {
                    co_return false;
                }
                co_await m_call.wait(std::chrono::duration_cast<std::chrono::milliseconds>(m_state.desk.settings().askInterval));
                continue;
            }
            if (!paid && !m_state.retries.tryRepeat(coreNow(), m_service)) {
                m_reason = "retry_budget_used_up";
                co_return false;
            }
            paid = true;
            const registration run = *order.front();
            const std::uint32_t tokens = m_state.desk.prefillReservation(m_prompt, static_cast<std::uint32_t>(memoryOf(run.service)));
            const auto place = co_await reserveAt(run, tokens);
            if (!place) {
                continue;
            }
            tried.insert(run.id);
            const bool done = co_await prefillAt(run);
            paid = false;
            send(run, m_state.dialect.dropReservation(run.id, *place));
            if (done) {
                co_return true;
            }
        }
        m_reason = "prefill_failed";
        co_return false;
    }

    asio::awaitable<bool> prefillAt(registration run)
    {
        m_prefills += 1;
        upstream_directions directions;
        directions.instance = run.id;
        directions.timeLeft = m_call.timeLeft();
        directions.prefillOnly = true;
        http_call call = m_call.forward(run, directions);
        call.progressTimeout = std::min(call.progressTimeout, kPrefillTimeout);
        const instant sentAt = coreNow();
        m_state.desk.addPrefill(run.id, m_prompt.promptTokens);
        http_result result = co_await m_call.perform(std::move(call));
        m_state.desk.removePrefill(run.id, m_prompt.promptTokens);
        const duration took = coreNow() - sentAt;
        if (!result.answer) {
            if (!m_call.isOver()) {
                m_state.noteFailedTry(run.id, result.failure.outcome);
                m_state.desk.notePrefill(coreNow(), run.id, m_prompt.promptTokens, took);
                m_call.noteFailedTry(run, "prefill", result.failure.reason, verdict::NotRun);
            }
            co_return false;
        }
        const answer_facts facts = m_state.dialect.readAnswer(*result.answer, run.id);
        if (facts.wrongInstance) {
            m_state.registry.onDisplaced(run.id);
        }
        const auto handle = result.answer->status == net::status::kOk ? m_state.dialect.readPrefill(*result.answer) : std::nullopt;
        if (!handle) {
            if (facts.notRun) {
                m_state.desk.noteWrongPhase(coreNow(), run.id);
            } else {
                m_state.judge.noteFailure(coreNow(), run.id);
            }
            m_call.noteFailedTry(run, "prefill", "status_" + std::to_string(result.answer->status), verdict::NotRun);
            co_return false;
        }
        m_prefillTook = took;
        const duration computing = m_state.desk.computing(m_prompt.promptTokens);
        m_state.judge.noteSuccess(coreNow(), run.id, took, std::max(computing, duration(1)));
        m_state.desk.notePrefill(coreNow(), run.id, m_prompt.promptTokens, took);
        m_state.plannerOf(m_service).notePrefill(computing);
        m_computed = prefilled{run, *handle};
        co_return true;
    }

    /// Has the engine with the reservation generate, and passes its answer on.
    asio::awaitable<stage_end> decode()
    {
        const registration run = m_reserved->run;
        upstream_directions directions;
        directions.instance = run.id;
        directions.timeLeft = m_call.timeLeft();
        if (m_computed) {
            directions.source = kv_handle{m_computed->run.address, m_computed->handle};
        }
        directions.reservation = m_reserved->id;
        http_call call = m_call.forward(run, directions);
        m_upstream = run.id;
        m_sentAt = coreNow();
        m_reservationSent = true;
        auto onHead = [this](const http_answer &head) { return begin(head); };
        auto onBody = [this](std::string_view piece) { return passOn(piece); };
        http_result result = co_await m_call.perform(std::move(call), onHead, onBody);
        co_return co_await settle(run, std::move(result));
    }

    /// Decides from the head of the answer whether it is streamed to the caller.
    asio::awaitable<bool> begin(http_answer head)
    {
        const answer_facts facts = m_state.dialect.readAnswer(head, m_upstream);
        if (!net::status::isSuccess(head.status) || !m_call.faultOf(facts, head).empty()) {
            co_return false;
        }
        m_started = true;
        http_answer answer;
        answer.status = head.status;
        answer.contentType.clear();
        answer.fields = m_state.dialect.callerFields(head);
        co_await m_call.responder().beginStream(std::move(answer));
        co_return true;
    }

    asio::awaitable<void> passOn(std::string_view piece)
    {
        if (!m_firstAt) {
            m_firstAt = coreNow();
            const duration computing = m_computed ? duration::zero() : 2 * m_state.desk.computing(m_prompt.promptTokens);
            m_state.judge.noteSuccess(*m_firstAt, m_upstream, *m_firstAt - m_sentAt, kExpectedFirstEvent + computing);
        }
        std::string data(piece);
        co_await m_call.responder().write(std::move(data));
    }

    asio::awaitable<stage_end> settle(registration run, http_result result)
    {
        m_ranFor = coreNow() - m_sentAt;
        if (m_started) {
            const double memory = memoryOf(run.service);
            if (memory > 0) {
                m_state.plannerOf(m_service).noteDecode(m_ranFor, m_state.desk.reservedTokens(m_prompt) / memory);
            }
            m_complete = result.answer.has_value();
            if (m_complete) {
                co_await m_call.responder().endStream();
            } else if (!m_call.isOver()) {
                m_state.judge.noteFailure(coreNow(), run.id);
                m_call.noteFailedTry(run, "decode", result.failure.reason, verdict::Ran);
            }
            m_reason = result.failure.reason;
            m_computed.reset();
            co_return stage_end::Ended;
        }
        if (!result.answer) {
            co_return settleFailure(run, result);
        }
        co_return co_await settleAnswer(run, std::move(*result.answer));
    }

    stage_end settleFailure(const registration &run, const http_result &result)
    {
        m_reason = "decode_failed: " + result.failure.reason;
        if (m_call.isOver()) {
            m_ran = result.failure.outcome;
            return stage_end::Ended;
        }
        m_state.noteFailedTry(run.id, result.failure.outcome);
        m_call.noteFailedTry(run, "decode", result.failure.reason, result.failure.outcome);
        if (result.failure.outcome == verdict::NotRun) {
            giveBack();
            return stage_end::NotRun;
        }
        m_ran = verdict::MayHaveRun;
        return stage_end::Ended;
    }

    asio::awaitable<stage_end> settleAnswer(registration run, http_answer answer)
    {
        const answer_facts facts = m_state.dialect.readAnswer(answer, run.id);
        const bool success = net::status::isSuccess(answer.status);
        m_call.noteFailedTry(run, "decode", "status_" + std::to_string(answer.status), facts.notRun ? verdict::NotRun : verdict::Ran);
        if (facts.notRun) {
            if (facts.wrongInstance) {
                m_state.registry.onDisplaced(run.id);
            }
            // It has kept memory for this request, so it is rather on its way to another phase than full.
            m_state.desk.noteWrongPhase(coreNow(), run.id);
            giveBack();
            if (++m_handleRefusals >= kMostHandleRefusals) {
                freeHandle();
            }
            m_reason = "decode_refused";
            co_return stage_end::NotRun;
        }
        m_state.judge.noteFailure(coreNow(), run.id);
        m_ran = verdict::MayHaveRun;
        m_reason = "decode_answer_unusable";
        if (!success) {
            m_passed = answer.status;
            co_await m_call.pass(std::move(answer));
        }
        co_return stage_end::Ended;
    }

    double memoryOf(const std::string &service) const
    {
        const service_spec *spec = m_state.routes ? m_state.routes->service(service) : nullptr;
        return spec != nullptr && spec->engine ? static_cast<double>(spec->engine->memoryTokens) : 0.0;
    }

    /// Where the request's time went, for its last log line.
    std::vector<log_field> times() const
    {
        const auto text = [](duration value) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()); };
        return {{"prompt_tokens", std::to_string(m_prompt.promptTokens)},
                {"reserved_after_ms", text(m_reservedAfter)},
                {"prefill_ms", m_prefillTook > duration::zero() ? text(m_prefillTook) : "at_decode"},
                {"first_event_ms", m_firstAt ? text(*m_firstAt - m_sentAt) : "none"},
                {"decode_ms", text(m_ranFor)},
                {"reservations_refused", std::to_string(m_refusals)}};
    }

    /// Answers the caller when no stream did, and writes how it ended.
    asio::awaitable<void> conclude()
    {
        m_call.addFields(times());
        giveBack();
        freeHandle();
        if (m_call.isGone()) {
            m_call.finish({"caller_gone", 0, "the caller closed its connection", m_started ? verdict::Ran : m_ran, m_upstream});
        } else if (m_started) {
            if (!m_complete) {
                m_call.responder().abort();
            }
            m_call.finish({m_complete ? "answered" : "broken", net::status::kOk, m_reason, verdict::Ran, m_upstream});
        } else if (m_passed) {
            m_call.finish({"answered", *m_passed, m_reason, verdict::Ran, m_upstream});
        } else if (m_ran == verdict::NotRun && !m_call.isLate()) {
            co_await refuse();
        } else {
            const unsigned status = m_call.isLate() ? net::status::kGatewayTimeout : net::status::kBadGateway;
            co_await m_call.refuse(status, "failed", std::nullopt);
            m_call.finish({"failed", status, m_reason, m_ran, m_upstream});
        }
    }

    asio::awaitable<void> refuse()
    {
        const duration wait = m_reason == "no_engine" ? kNoEngineWait : kFullWait;
        const auto back = returnAfter(m_state.returns, wait, m_call.timeLeft(), m_state.draw());
        co_await m_call.refuse(net::status::kUnavailable, m_reason, back);
        m_call.finish({"refused", net::status::kUnavailable, m_reason, verdict::NotRun, m_upstream});
    }

    /// Gives the reservation back; one that was sent with a request ends with it.
    void giveBack()
    {
        if (!m_reserved) {
            return;
        }
        m_state.desk.removeDecode(m_reserved->run.id, m_reserved->tokens);
        if (!m_reservationSent && !m_reserved->id.empty()) {
            send(m_reserved->run, m_state.dialect.dropReservation(m_reserved->run.id, m_reserved->id));
        }
        m_reserved.reset();
    }

    /// Frees a KV cache that no engine has fetched.
    void freeHandle()
    {
        if (!m_computed) {
            return;
        }
        send(m_computed->run, m_state.dialect.freeHandle(m_computed->run.id, m_computed->handle));
        m_computed.reset();
    }

    void send(const registration &run, http_call call)
    {
        call = aimedAt(m_state, run, std::move(call), m_state.timing.engineCallTimeout);
        asio::co_spawn(m_state.executor, fireAndForget(std::move(call)), asio::detached);
    }

    relay_call &m_call;
    relay_state &m_state;
    std::string m_service;
    prompt_facts m_prompt;
    std::optional<reservation> m_reserved;
    std::optional<prefilled> m_computed;
    std::string m_upstream;
    std::string m_reason;
    instant m_sentAt{};
    std::optional<instant> m_firstAt;
    instant m_reservedAt{};
    duration m_reservedAfter{};
    duration m_prefillTook{};
    duration m_ranFor{};
    std::optional<unsigned> m_passed; ///< The status of an upstream's own failure that was passed on.
    verdict m_ran = verdict::NotRun;
    std::uint32_t m_prefills = 0;
    std::uint32_t m_handleRefusals = 0;
    std::uint32_t m_refusals = 0;
    bool m_reservationSent = false;
    bool m_started = false;
    bool m_complete = false;
};

} // namespace

asio::awaitable<void> relayStream(relay_call &call)
{
    stream_relay relay(call);
    co_await relay.run();
}

} // namespace heatherroute::node
