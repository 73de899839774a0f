// Applies random events to the core through its public interface and checks its actions against a small model of callers and
// engines.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/json/parse.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <set>

#include "heatherroute/config_record.h"
#include "heatherroute/router_core.h"

namespace
{

using namespace heatherroute;
using namespace std::chrono_literals;

constexpr std::uint32_t kEnginesPerRole = 4;
constexpr std::uint32_t kMaxTokens = 12;
constexpr unsigned kKeys = 4;
constexpr unsigned kStepKinds = 20;
constexpr std::uint32_t kChoices = 1U << 20U;
constexpr instant kStart{1h};
constexpr duration kMinKeyRetention = 9min; ///< A little less than the time for which the core keeps an idempotency key.

std::uint64_t coreSteps = 0; ///< Number of steps in all runs of this process.

/// One random step. Its effect depends on the state in which it is applied, so that any subsequence of a run is a valid run.
struct random_step
{
    unsigned kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &out, const random_step &value)
{
    return out << "{" << value.kind << "," << value.a << "," << value.b << "}";
}

std::string tokenOf(const std::string &prompt, std::uint32_t index)
{
    return prompt + "-" + std::to_string(index) + " ";
}

/// An engine and the id by which it identifies a request.
using hold_key = std::pair<std::string, std::string>;

struct caller_model
{
    bool isGeneration = true;
    bool isIdempotent = false;
    std::string key;
    std::string prompt;
    std::uint32_t total = 0;
    std::uint32_t delivered = 0;
    unsigned ends = 0;
    bool gone = false;
    bool mayHaveRun = false; ///< Whether an attempt ended with an outcome other than NotRun.
    std::set<attempt_id> open; ///< Attempts that have no outcome yet.
    hold_key prefill;
    hold_key decode;

    bool isLive() const
    {
        return ends == 0 && !gone;
    }
};

struct attempt_model
{
    caller_id caller;
    core_action action;
    hold_key prefill; ///< The prefill engine that holds the KV cache of the placement.
    std::uint32_t cursor = 0; ///< Index of the next token of the stream.
    bool notRun = false; ///< Whether the attempt ended without having run; no result of it may arrive later.
};

class core_model
{
public:
    core_model()
    {
        core_options options;
        options.entryName = "entry-1";
        options.half = "north";
        options.incarnation = 1;
        options.seed = 1;
        options.maxRequests = 22;
        m_core = router_core::make(options, nullptr);
        step(tick{});
        config_change change;
        for (std::uint32_t i = 0; i < kEnginesPerRole; ++i) {
            for (const upstream_kind kind : {upstream_kind::PrefillEngine, upstream_kind::DecodeEngine, upstream_kind::PlainService}) {
                change.upserts.push_back(upstreamOf(kind, i));
            }
        }
        change.ruleUpserts = {service_route{"shop", "/", {"GET"}}};
        publish(std::move(change));
    }

    void apply(const random_step &next)
    {
        if (m_stopped) {
            return;
        }
        answerRead();
        switch (next.kind) {
        case 0:
        case 1:
            requestGeneration(next);
            break;
        case 2:
        case 3:
            requestService(next);
            break;
        case 4:
            leave(next.a);
            break;
        case 5:
            m_now += std::chrono::milliseconds(next.a % 700);
            step(tick{});
            break;
        case 6:
            confirmOne(next.a, next.b % 4 != 0);
            break;
        case 7:
            reconfigure(next);
            break;
        case 8:
            if (next.a % 64 == 0) {
                m_stopRequests += 1;
                step(stop_requested{});
            }
            break;
        case 9:
            failAttempt(next);
            break;
        default:
            advanceAttempt(next);
        }
    }

    /// Disconnects half of the callers, lets the deadlines of the others pass, and checks that no request or reservation remains.
    void end()
    {
        for (auto &[id, caller] : m_callers) {
            if (id.value % 2 == 0 && caller.isLive()) {
                leaveCaller(id);
            }
        }
        m_now += 10min;
        step(tick{});
        for (int round = 0; round < 20 && !m_cancels.empty(); ++round) {
            while (!m_cancels.empty()) {
                confirmOne(0, true);
            }
            m_now += 6s;
            step(tick{});
        }
        for (const auto &[id, caller] : m_callers) {
            RC_ASSERT(caller.ends == (caller.gone ? 0U : 1U));
        }
        RC_ASSERT(m_held.empty());
        step(dump_requested{caller_id{++m_nextCaller}});
        checkDump();
        if (m_stopRequests == 0) {
            step(stop_requested{});
        }
        RC_ASSERT(m_stopped);
    }

private:
    static std::string answerOf(const caller_model &caller)
    {
        return caller.key.empty() || caller.isIdempotent ? caller.prompt : caller.key;
    }

    static upstream upstreamOf(upstream_kind kind, std::uint32_t index)
    {
        const std::string prefix = kind == upstream_kind::PrefillEngine ? "prefill-" : kind == upstream_kind::DecodeEngine ? "decode-" : "shop-";
        upstream value;
        value.name = prefix + std::to_string(index);
        value.address = value.name;
        value.half = "north";
        value.kind = kind;
        value.modelOrService = kind == upstream_kind::PlainService ? "shop" : "audit";
        value.slots = 3;
        value.pieces = kind == upstream_kind::PlainService ? 0 : 8;
        value.pieceTokens = kind == upstream_kind::PlainService ? 0 : 8;
        return value;
    }

    void publish(config_change change)
    {
        change.publishId = "p" + std::to_string(m_log);
        if (m_log > 0) {
            change.baseRevision = m_log - 1;
        }
        const log_offset at = m_log++;
        step(log_read{m_now, {0, m_log, {{at, encodeRecord(change)}}}});
    }

    void answerRead()
    {
        step(log_read{m_now, {0, m_log, {}}});
    }

    void reconfigure(const random_step &next)
    {
        const upstream_kind kind = next.a % 2 == 0 ? upstream_kind::DecodeEngine : upstream_kind::PrefillEngine;
        upstream value = upstreamOf(kind, next.b % kEnginesPerRole);
        config_change change;
        if (m_leavingUpstreams.erase(value.name) == 0) {
            m_leavingUpstreams.insert(value.name);
            value.state = upstream_state::Leaving;
        }
        if (value.state == upstream_state::Leaving && next.a % 3 == 0) {
            change.removals = {value.name};
        } else {
            change.upserts = {value};
        }
        publish(std::move(change));
    }

    caller_id addCaller(caller_model model)
    {
        const caller_id id{++m_nextCaller};
        model.prompt = "q" + std::to_string(id.value);
        m_byPrompt[model.prompt] = id;
        m_callers[id] = std::move(model);
        return id;
    }

    void requestGeneration(const random_step &next)
    {
        caller_model model;
        model.total = next.a % (kMaxTokens + 1);
        const caller_id id = addCaller(model);
        generation_requested request;
        request.caller = id;
        request.model = "audit";
        request.prompt = m_callers[id].prompt;
        request.maxTokens = kMaxTokens;
        request.traits.deadline = next.b % 3 == 0 ? duration(std::chrono::milliseconds(1 + next.b % 9'000)) : duration(5min);
        step(request);
    }

    void requestService(const random_step &next)
    {
        caller_model model;
        model.isGeneration = false;
        model.isIdempotent = next.a % 3 == 0;
        model.key = next.b % 2 == 0 ? "key-" + std::to_string(next.a % kKeys) : "";
        const caller_id id = addCaller(model);
        service_requested request;
        request.caller = id;
        request.service = "shop";
        request.method = model.isIdempotent ? "GET" : "POST";
        request.path = "/";
        request.contentType = m_callers[id].prompt; // Identifies the caller in the calls that the core starts.
        request.traits.idempotencyKey = model.key;
        request.traits.deadline = duration(std::chrono::milliseconds(1 + next.b % 9'000));
        step(request);
    }

    void leave(std::uint32_t choice)
    {
        if (!m_callers.empty()) {
            leaveCaller(std::next(m_callers.begin(), static_cast<std::ptrdiff_t>(choice % m_callers.size()))->first);
        }
    }

    void leaveCaller(caller_id id)
    {
        caller_model &caller = m_callers.at(id);
        caller.gone = caller.gone || caller.ends == 0;
        step(caller_gone{id});
    }

    void confirmOne(std::uint32_t choice, bool done)
    {
        if (m_cancels.empty()) {
            return;
        }
        const auto chosen = std::next(m_cancels.begin(), static_cast<std::ptrdiff_t>(choice % m_cancels.size()));
        const auto [attempt, held] = *chosen;
        m_cancels.erase(chosen);
        if (done) {
            m_held.erase(held);
            m_ordered.erase(held);
        }
        step(cancel_finished{attempt, done});
    }

    /// Returns an attempt without an outcome in most cases, otherwise any earlier attempt, which is usually superseded.
    std::optional<attempt_id> chooseAttempt(std::uint32_t choice) const
    {
        std::vector<attempt_id> open;
        for (const auto &[id, caller] : m_callers) {
            open.insert(open.end(), caller.open.begin(), caller.open.end());
        }
        if (choice % 8 != 0 && !open.empty()) {
            return open[choice / 8 % open.size()];
        }
        if (m_attempts.empty()) {
            return std::nullopt;
        }
        return std::next(m_attempts.begin(), static_cast<std::ptrdiff_t>(choice / 8 % m_attempts.size()))->first;
    }

    void closeAttempt(attempt_id id, verdict outcome)
    {
        caller_model &caller = m_callers.at(m_attempts.at(id).caller);
        if (caller.open.erase(id) > 0) {
            m_attempts.at(id).notRun = outcome == verdict::NotRun;
            caller.mayHaveRun = caller.mayHaveRun || outcome != verdict::NotRun;
            if (!caller.key.empty() && !caller.isIdempotent && outcome == verdict::NotRun) {
                m_keyRuns.erase(caller.key);
            }
        }
    }

    void failAttempt(const random_step &next)
    {
        const auto id = chooseAttempt(next.a);
        if (!id) {
            return;
        }
        const attempt_model &attempt = m_attempts.at(*id);
        const auto failure = static_cast<attempt_failure>(next.b % 8);
        const verdict outcome = next.b / 8 % 2 == 0 ? verdict::NotRun : verdict::MayHaveRun;
        const bool wasOpen = m_callers.at(attempt.caller).open.contains(*id);
        if (wasOpen && outcome == verdict::NotRun) {
            if (const auto *prefill = std::get_if<start_prefill>(&attempt.action)) {
                m_held.erase({prefill->address, prefill->engineRequest});
            } else if (const auto *decode = std::get_if<start_decode>(&attempt.action)) {
                m_held.erase({decode->address, decode->engineRequest});
            }
        }
        closeAttempt(*id, outcome);
        step(attempt_failed{*id, failure, outcome, "injected failure"});
    }

    void advanceAttempt(const random_step &next)
    {
        const auto id = chooseAttempt(next.a);
        if (!id) {
            return;
        }
        attempt_model &attempt = m_attempts.at(*id);
        if (attempt.notRun) {
            return;
        }
        if (std::holds_alternative<start_prefill>(attempt.action)) {
            closeAttempt(*id, verdict::Ran);
            step(prefill_finished{*id, "kv", 1, 0, std::chrono::milliseconds(next.b % 900)});
        } else if (std::holds_alternative<start_service_call>(attempt.action)) {
            closeAttempt(*id, verdict::Ran);
            step(service_answered{*id, 200, "text/plain", answerOf(m_callers.at(attempt.caller))});
        } else {
            advanceStream(*id, attempt, next.b);
        }
    }

    void advanceStream(attempt_id id, attempt_model &attempt, std::uint32_t choice)
    {
        caller_model &caller = m_callers.at(attempt.caller);
        m_held.erase(attempt.prefill);
        if (attempt.cursor >= caller.total || choice % 32 == 0) {
            if (const auto *decode = std::get_if<start_decode>(&attempt.action)) {
                m_held.erase({decode->address, decode->engineRequest});
            } else {
                const auto &resume = std::get<resume_decode>(attempt.action);
                m_held.erase({resume.address, resume.engineRequest});
            }
            closeAttempt(id, verdict::Ran);
            step(decode_finished{id, "stop", attempt.cursor >= caller.total ? caller.total : attempt.cursor + 1});
            return;
        }
        caller.mayHaveRun = true;
        if (choice % 32 == 1) {
            ++attempt.cursor; // Simulates a lost token.
        } else if (choice % 32 < 6 && attempt.cursor > 0) {
            --attempt.cursor; // Simulates a duplicate token.
        }
        tokens_received tokens{id, attempt.cursor, {}};
        const std::uint32_t last = std::min(caller.total, attempt.cursor + 1 + choice / 32 % 5);
        for (; attempt.cursor < last; ++attempt.cursor) {
            tokens.texts.push_back(tokenOf(caller.prompt, attempt.cursor));
        }
        step(std::move(tokens));
    }

    void step(core_event event)
    {
        ++coreSteps;
        for (core_action &action : m_core->handle(m_now, std::move(event))) {
            std::visit([this](auto &typed) { on(typed); }, action);
        }
        checkHeld();
    }

    template<typename Action>
    void begin(const Action &action, caller_id id)
    {
        caller_model &caller = m_callers.at(id);
        RC_ASSERT(caller.isLive());
        RC_ASSERT(action.attempt.value > m_lastAttempt.value);
        m_lastAttempt = action.attempt;
        caller.open.insert(action.attempt);
        m_attempts[action.attempt] = {id, action, caller.prefill, 0, false};
    }

    void on(const start_prefill &action)
    {
        const caller_id id = m_byPrompt.at(action.prompt);
        caller_model &caller = m_callers.at(id);
        RC_ASSERT(!m_leavingUpstreams.contains(action.address));
        RC_ASSERT(action.deadline > duration::zero());
        std::string generated;
        for (std::uint32_t i = 0; i < caller.delivered; ++i) {
            generated += tokenOf(caller.prompt, i);
        }
        RC_ASSERT(action.generated == generated);
        begin(action, id);
        caller.prefill = {action.address, action.engineRequest};
        caller.decode = {};
        hold(caller.prefill, id);
    }

    void on(const start_decode &action)
    {
        const caller_id id = m_byPrompt.at(action.prompt);
        caller_model &caller = m_callers.at(id);
        RC_ASSERT(action.offset == caller.delivered);
        RC_ASSERT(action.deadline > duration::zero());
        begin(action, id);
        m_attempts[action.attempt].cursor = action.offset;
        caller.decode = {action.address, action.engineRequest};
        hold(caller.decode, id);
    }

    void on(const resume_decode &action)
    {
        const caller_id id = m_owners.at({action.address, action.engineRequest});
        RC_ASSERT(action.offset == m_callers.at(id).delivered);
        begin(action, id);
        m_attempts[action.attempt].cursor = action.offset;
    }

    void on(const start_service_call &action)
    {
        const caller_id id = m_byPrompt.at(action.contentType);
        caller_model &caller = m_callers.at(id);
        RC_ASSERT(!m_leavingUpstreams.contains(action.address));
        RC_ASSERT(action.deadline > duration::zero());
        RC_ASSERT(caller.isIdempotent || (!caller.mayHaveRun && caller.open.empty()));
        if (!caller.key.empty() && !caller.isIdempotent) {
            const auto run = m_keyRuns.find(caller.key);
            RC_ASSERT(run == m_keyRuns.end() || m_now - run->second > kMinKeyRetention);
            m_keyRuns[caller.key] = m_now;
        }
        begin(action, id);
    }

    void on(const abandon_attempt &action)
    {
        const auto found = m_attempts.find(action.attempt);
        if (found != m_attempts.end()) {
            closeAttempt(action.attempt, verdict::MayHaveRun);
        }
    }

    void on(const cancel_request &action)
    {
        RC_ASSERT(!action.engineRequest.empty());
        m_cancels[action.attempt] = {action.address, action.engineRequest};
        m_ordered.insert({action.address, action.engineRequest});
    }

    void on(const deliver_tokens &action)
    {
        caller_model &caller = m_callers.at(action.caller);
        RC_ASSERT(caller.isLive());
        RC_ASSERT(action.offset == caller.delivered);
        for (const std::string &text : action.texts) {
            RC_ASSERT(text == tokenOf(caller.prompt, caller.delivered));
            ++caller.delivered;
        }
    }

    void on(const finish_generation &action)
    {
        caller_model &caller = endOf(action.caller);
        RC_ASSERT(caller.delivered == caller.total);
        RC_ASSERT(action.tokens == caller.total);
    }

    void on(const finish_service_call &action)
    {
        const caller_model &caller = endOf(action.caller);
        RC_ASSERT(action.body == answerOf(caller));
    }

    void on(const fail_caller &action)
    {
        const caller_model &caller = endOf(action.caller);
        const bool mayHaveRun = caller.mayHaveRun || !caller.open.empty();
        RC_ASSERT(action.outcome != verdict::NotRun || !mayHaveRun);
        const bool booking = !caller.isGeneration && !caller.isIdempotent;
        RC_ASSERT(!booking || action.outcome == verdict::NotRun || !action.retryAfter);
    }

    void on(const answer_document &action)
    {
        m_document = action.body;
    }

    void on(const stop_process &)
    {
        RC_ASSERT(!m_stopped);
        for (const auto &[id, caller] : m_callers) {
            RC_ASSERT(!caller.isLive());
        }
        m_stopped = true;
    }

    template<typename Other>
    void on(const Other &)
    { }

    caller_model &endOf(caller_id id)
    {
        caller_model &caller = m_callers.at(id);
        RC_ASSERT(!caller.gone);
        RC_ASSERT(++caller.ends == 1U);
        return caller;
    }

    void hold(const hold_key &key, caller_id id)
    {
        m_held.insert(key);
        m_ordered.erase(key);
        m_owners[key] = id;
    }

    /// Checks that engines hold memory only for placements in use or for placements whose cancellation has been ordered.
    void checkHeld() const
    {
        for (const hold_key &held : m_held) {
            const caller_model &caller = m_callers.at(m_owners.at(held));
            const bool inUse = caller.isLive() && (held == caller.prefill || held == caller.decode);
            RC_ASSERT(inUse || m_ordered.contains(held));
        }
    }

    void checkDump() const
    {
        const auto state = boost::json::parse(m_document);
        RC_ASSERT(state.at("generations") == 0);
        RC_ASSERT(state.at("service_calls") == 0);
        RC_ASSERT(state.at("unconfirmed_cancels") == 0);
        for (const auto &known : state.at("upstreams").as_array()) {
            RC_ASSERT(known.at("slots_used") == 0);
            RC_ASSERT(known.at("pieces_used") == 0);
        }
    }

    std::unique_ptr<router_core> m_core;
    instant m_now = kStart;
    log_offset m_log = 0;
    std::uint64_t m_nextCaller = 0;
    unsigned m_stopRequests = 0;
    bool m_stopped = false;
    attempt_id m_lastAttempt;
    std::map<caller_id, caller_model> m_callers;
    std::map<std::string, caller_id> m_byPrompt;
    std::map<attempt_id, attempt_model> m_attempts;
    std::map<attempt_id, hold_key> m_cancels; ///< Cancel orders that wait for an answer.
    std::set<hold_key> m_held; ///< Requests for which engines may hold memory.
    std::set<hold_key> m_ordered; ///< Requests whose cancellation has been ordered and not confirmed.
    std::map<hold_key, caller_id> m_owners;
    std::map<std::string, instant> m_keyRuns; ///< Last start, by idempotency key, of a call that may have run.
    std::set<std::string> m_leavingUpstreams; ///< Upstreams that must not get new work.
    std::string m_document;
};

rc::Gen<random_step> genRandomStep()
{
    // The size is fixed, because the range of a generated number grows with it; only the number of steps must grow.
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, kChoices));
    const auto kind = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, kStepKinds));
    return rc::gen::build<random_step>(rc::gen::set(&random_step::kind, kind), rc::gen::set(&random_step::a, number), rc::gen::set(&random_step::b, number));
}

} // namespace

RC_GTEST_PROP(router_core, keepsItsGuaranteesUnderAnyEvents, ())
{
    const auto steps = *rc::gen::scale(4.0, rc::gen::container<std::vector<random_step>>(genRandomStep()));
    core_model model;
    for (const random_step &next : steps) {
        model.apply(next);
    }
    model.end();
    testing::Test::RecordProperty("core_steps", std::to_string(coreSteps));
}
