#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>

#include "relay/engine_placement_ledger.h"
#include "relay/engine_scheduler.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t kMemoryTokens = 67'167;
constexpr std::uint32_t kSlots = 12;
constexpr std::size_t kEngines = 20;
constexpr std::size_t kNewEngines = kEngines / 10;
constexpr duration kDelay = milliseconds(1); ///< Of a message, one way.
constexpr double kLoss = 0.02;
constexpr duration kSlowTime = milliseconds(600);
constexpr double kSlowShare = 0.15;
constexpr double kSlowdown = 2.5;
constexpr duration kMaxWait = milliseconds(600);
constexpr duration kRetryInterval = milliseconds(60);
constexpr std::size_t kQueriedPerRound = 4;
constexpr std::uint32_t kMaxAsked = 3;
const instant kBegin(seconds(1'000));
const instant kNewEnginesAt = kBegin + seconds(14);
const instant kCoordinatorLostAt = kBegin + seconds(20);
const instant kLossKnownAt = kBegin + seconds(21);
const instant kEnd = kBegin + seconds(30);
/// Requests per second outside of bursts: half of what the engines can serve.
constexpr double kPerSecond = 0.5 * kEngines * kSlots / 2.2;

struct replay_result
{
    double busiestToMean = 0.0; ///< Average over all seconds of the ratio in the second.
    double refusedReservations = 0.0;
    std::array<double, 3> placedInBursts{}; ///< Placed per asked, by priority.
    double allPlacedInBursts = 0.0;
    double placed = 0.0; ///< Placed per asked, in all.
};

/// A fleet of entries that place streams at the same engines, by the coordinator's choice or each by its own load.
class fleet_replay
{
public:
    fleet_replay(std::size_t entries, bool isShared, std::uint64_t seed)
        : m_isShared(isShared)
        , m_random(seed)
        , m_arrivals(seed + 1'000)
        , m_entries(entries)
    {
        for (std::size_t i = 0; i < kEngines; ++i) {
            model_engine engine;
            engine.run.id = "e" + std::to_string(i);
            engine.run.slots = kSlots;
            engine.from = i < kNewEngines ? kNewEnginesAt : kBegin;
            const double fastSeconds = std::chrono::duration<double>(kSlowTime).count() * (1.0 - kSlowShare) / kSlowShare;
            for (instant at = kBegin; at < kEnd + seconds(20); at += kSlowTime) {
                at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exponential_distribution<double>(1.0 / fastSeconds)(m_random)));
                engine.slow.push_back(at);
            }
            m_engines.push_back(std::move(engine));
        }
        m_ledgers.push_back(engine_placement_ledger::make({}, engine_phase::Decode, kBegin, seed));
    }

    replay_result run()
    {
        arrive();
        sample();
        serve();
        for (std::size_t i = 0; i < m_entries.size() && m_isShared; ++i) {
            at(milliseconds(1'000 * i / m_entries.size()), [this, i] { reportRegularly(i); });
        }
        at(kLossKnownAt - kBegin, [this] { m_ledgers.push_back(engine_placement_ledger::make({}, engine_phase::Decode, m_now, 99)); });
        while (!m_events.empty() && m_events.begin()->first < kEnd) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        return result();
    }

private:
    struct model_engine
    {
        registration run;
        instant from{};
        std::vector<instant> slow; ///< Beginnings of slow times.
        std::uint64_t tokens = 0;
        std::uint32_t count = 0;
        double tokenSamples = 0.0;
    };
    struct stream
    {
        std::size_t entry = 0;
        std::uint32_t tokens = 0;
        duration work{};
        std::uint32_t priority = 0;
        instant since{};
        bool isInBurst = false;
        std::uint64_t number = 0; ///< Of the current request to the coordinator; 0 if there is none.
        bool queued = false;
        std::uint32_t asked = 0;
        std::vector<std::string> refusing;
    };
    using stream_ptr = std::shared_ptr<stream>;
    struct model_entry
    {
        engine_scheduler scheduler = engine_scheduler::make({});
        std::map<std::uint64_t, reported_placement> current;
        std::map<std::uint64_t, stream_ptr> waiting;
        std::vector<std::uint64_t> ended;
        std::vector<std::uint64_t> endedBefore; ///< Reported once.
        std::uint64_t next = 1;
    };

    void at(duration fromNow, std::function<void()> event)
    {
        m_events.emplace(m_now + fromNow, std::move(event));
    }
    static double uniformOf(std::mt19937_64 &random, double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }
    /// A message to another entry, which may be lost.
    void transmit(std::function<void()> arrival)
    {
        if (uniformOf(m_random, 0, 1) >= kLoss) {
            at(kDelay, std::move(arrival));
        }
    }
    double burstFactor()
    {
        const duration inPeriod = (m_now - kBegin) % seconds(10);
        return inPeriod >= seconds(4) && inPeriod < seconds(8) ? uniformOf(m_arrivals, 1.8, 2.3) : 1.0;
    }

    void arrive()
    {
        const double factor = burstFactor();
        auto one = std::make_shared<stream>();
        one->entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_arrivals);
        one->tokens = static_cast<std::uint32_t>((5'200 + 2 * 70) * uniformOf(m_arrivals, 0.5, 1.5));
        one->work = milliseconds(static_cast<int>(uniformOf(m_arrivals, 1'000, 3'000)));
        one->priority = std::uniform_int_distribution<std::uint32_t>(0, 2)(m_arrivals);
        one->since = m_now;
        one->isInBurst = factor > 1.0;
        m_asked[one->isInBurst].at(one->priority) += 1;
        m_isShared ? ask(one) : chooseByItself(one);
        const double wait = std::exponential_distribution<double>(kPerSecond * factor)(m_arrivals);
        at(std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)), [this] { arrive(); });
    }

    // The coordinator.

    engine_placement_ledger *coordinatorAt(std::size_t index)
    {
        // The first one is lost for good.
        if (index == 0 && m_now >= kCoordinatorLostAt) {
            return nullptr;
        }
        std::vector<placement_engine> engines;
        for (const model_engine &engine : m_engines) {
            if (engine.from <= m_now) {
                engines.push_back({engine.run.id, kSlots, kMemoryTokens, 1.0});
            }
        }
        m_ledgers[index].setEngines(std::move(engines));
        return &m_ledgers[index];
    }
    void toCoordinator(std::function<std::vector<placement_decision>(engine_placement_ledger &)> message)
    {
        transmit([this, index = m_ledgers.size() - 1, message = std::move(message)] {
            if (engine_placement_ledger *ledger = coordinatorAt(index)) {
                reply(message(*ledger));
            }
        });
    }
    void reply(const std::vector<placement_decision> &decisions)
    {
        for (const placement_decision &decision : decisions) {
            transmit([this, decision] { onReply(std::stoul(decision.sender), decision.reply); });
        }
    }
    void serve()
    {
        if (engine_placement_ledger *ledger = coordinatorAt(m_ledgers.size() - 1)) {
            reply(ledger->advance(m_now));
        }
        at(milliseconds(20), [this] { serve(); });
    }

    // An entry.

    void ask(const stream_ptr &one)
    {
        model_entry &entry = m_entries[one->entry];
        one->asked += 1;
        one->number = entry.next++;
        one->queued = false;
        const std::uint64_t number = one->number;
        entry.waiting.emplace(number, one);
        const duration left = std::max(one->since + kMaxWait - m_now, duration::zero());
        engine_placement_request request;
        request.number = number;
        request.tokens = one->tokens;
        request.priority = one->priority;
        request.maxWaitMs = static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(left).count());
        request.refusing = one->refusing;
        const auto send = [this, request, sender = std::to_string(one->entry)] {
            toCoordinator([this, request, sender](engine_placement_ledger &ledger) { return ledger.onRequest(m_now, sender, request); });
        };
        send();
        for (const bool queued : {false, true}) {
            const duration queueTime = queued ? left : duration::zero();
            at(queueTime + milliseconds(40), [one, number, queued, send] {
                if (one->number == number && one->queued == queued) {
                    send();
                }
            });
            at(queueTime + milliseconds(80), [this, one, number, queued] {
                if (one->number == number && one->queued == queued) {
                    m_entries[one->entry].waiting.erase(number);
                    one->number = 0;
                    end(one->entry, number);
                    chooseByItself(one);
                }
            });
        }
    }

    void onReply(std::size_t index, const placement_reply &reply)
    {
        model_entry &entry = m_entries[index];
        const auto found = entry.waiting.find(reply.number);
        if (found == entry.waiting.end()) {
            return;
        }
        const stream_ptr one = found->second;
        one->queued = true;
        if (reply.queued) {
            return;
        }
        entry.waiting.erase(found);
        one->number = 0;
        if (reply.engine.empty()) {
            if (reply.waitMs == 0) {
                chooseByItself(one);
            }
            return; // Refused.
        }
        entry.current.emplace(reply.number, reported_placement{reply.number, reply.engine, one->tokens});
        reserve(one, reply.engine, reply.number, [this, one, engine = reply.engine, number = reply.number] {
            end(one->entry, number);
            one->refusing.push_back(engine);
            one->asked < kMaxAsked ? ask(one) : chooseByItself(one);
        });
    }

    /// Asks @p engineId for memory; calls @p onRefused if it has none.
    void reserve(const stream_ptr &one, const std::string &engineId, std::uint64_t number, std::function<void()> onRefused)
    {
        at(kDelay, [this, one, engineId, number, onRefused = std::move(onRefused)] {
            const auto engine = std::find_if(m_engines.begin(), m_engines.end(), [&](const model_engine &each) { return each.run.id == engineId; });
            const std::uint64_t tokens = (std::uint64_t{one->tokens} + 15) / 16 * 16;
            m_reservations += 1;
            if (engine->count >= kSlots || engine->tokens + tokens > kMemoryTokens) {
                m_refusals += 1;
                m_entries[one->entry].scheduler.noteFull(m_now, engineId);
                at(kDelay, onRefused);
                return;
            }
            engine->count += 1;
            engine->tokens += tokens;
            m_entries[one->entry].scheduler.addDecode(engineId, one->tokens);
            m_placed[one->isInBurst].at(one->priority) += 1;
            std::uint64_t placement = number;
            if (placement == 0 && m_isShared) {
                placement = adopt(*one, engineId);
            }
            at(timeFor(*engine, one->work), [this, one, engine, tokens, placement] {
                engine->count -= 1;
                engine->tokens -= tokens;
                m_entries[one->entry].scheduler.removeDecode(engine->run.id, one->tokens);
                if (m_isShared) {
                    end(one->entry, placement);
                }
            });
        });
    }
    std::uint64_t adopt(const stream &one, const std::string &engineId)
    {
        model_entry &entry = m_entries[one.entry];
        const reported_placement placement{entry.next++, engineId, one.tokens};
        entry.current.emplace(placement.number, placement);
        report(one.entry, {"", engine_phase::Decode, {}, {placement}});
        return placement.number;
    }
    duration timeFor(const model_engine &engine, duration work) const
    {
        duration left = work;
        instant now = m_now;
        for (const instant slowFrom : engine.slow) {
            const instant slowUntil = slowFrom + kSlowTime;
            if (slowUntil <= now) {
                continue;
            }
            if (now < slowFrom) {
                const duration fast = std::min(left, slowFrom - now);
                now += fast;
                left -= fast;
            }
            if (left <= duration::zero()) {
                break;
            }
            const duration needed(static_cast<duration::rep>(static_cast<double>(left.count()) * kSlowdown));
            const duration slow = std::min(needed, slowUntil - now);
            now += slow;
            left = slow == needed ? duration::zero() : left - duration(static_cast<duration::rep>(static_cast<double>(slow.count()) / kSlowdown));
        }
        return now - m_now + left;
    }

    /// Today's choice: rounds by the entry's own load until the time is over.
    void chooseByItself(const stream_ptr &one)
    {
        std::vector<upstream_candidate> candidates;
        for (const model_engine &engine : m_engines) {
            if (engine.from <= m_now) {
                candidates.push_back({&engine.run});
            }
        }
        std::vector<std::string> order;
        for (const registration *run : m_entries[one->entry].scheduler.decodeOrder(m_now, candidates, m_random)) {
            if (order.size() < kQueriedPerRound) {
                order.push_back(run->id);
            }
        }
        tryNext(one, std::move(order));
    }
    void tryNext(const stream_ptr &one, std::vector<std::string> order)
    {
        if (order.empty()) {
            if (m_now < one->since + kMaxWait) {
                at(kRetryInterval, [this, one] { chooseByItself(one); });
            }
            return;
        }
        const std::string engine = order.front();
        order.erase(order.begin());
        reserve(one, engine, 0, [this, one, order] { tryNext(one, order); });
    }

    void end(std::size_t index, std::uint64_t number)
    {
        model_entry &entry = m_entries[index];
        entry.current.erase(number);
        entry.ended.push_back(number);
        if (entry.ended.size() == 1) {
            at(milliseconds(20), [this, index] {
                std::vector<std::uint64_t> &before = m_entries[index].endedBefore;
                const auto ended = std::exchange(m_entries[index].ended, {});
                before.insert(before.end(), ended.begin(), ended.end());
                reportEnded(index, ended);
            });
        }
    }
    void reportEnded(std::size_t index, const std::vector<std::uint64_t> &numbers)
    {
        for (std::size_t i = 0; i < numbers.size(); i += kMaxReportedPlacements) {
            const auto begin = numbers.begin() + static_cast<std::ptrdiff_t>(i);
            placement_report message;
            message.ended.assign(begin, begin + static_cast<std::ptrdiff_t>(std::min(numbers.size() - i, kMaxReportedPlacements)));
            report(index, std::move(message));
        }
    }
    void report(std::size_t index, placement_report message)
    {
        toCoordinator(
            [this, index, message = std::move(message)](engine_placement_ledger &ledger) { return ledger.onReport(m_now, std::to_string(index), message); });
    }
    void reportRegularly(std::size_t index)
    {
        reportEnded(index, std::exchange(m_entries[index].endedBefore, {}));
        placement_report message;
        for (const auto &[number, placement] : m_entries[index].current) {
            message.current.push_back(placement);
            if (message.current.size() == kMaxReportedPlacements) {
                report(index, std::exchange(message, {}));
            }
        }
        if (!message.current.empty()) {
            report(index, std::move(message));
        }
        at(seconds(1), [this, index] { reportRegularly(index); });
    }

    // Results.

    void sample()
    {
        if (m_now - m_windowFrom >= seconds(1)) {
            double busiest = 0.0;
            double sum = 0.0;
            double engines = 0.0;
            for (model_engine &engine : m_engines) {
                if (engine.from <= m_windowFrom) {
                    busiest = std::max(busiest, engine.tokenSamples);
                    sum += engine.tokenSamples;
                    engines += 1;
                }
                engine.tokenSamples = 0.0;
            }
            // The first seconds, while the load builds up, don't count.
            if (m_windowFrom >= kBegin + seconds(2)) {
                m_ratios.push_back(busiest * engines / sum);
            }
            m_windowFrom = m_now;
        }
        for (model_engine &engine : m_engines) {
            engine.tokenSamples += static_cast<double>(engine.tokens);
        }
        at(milliseconds(10), [this] { sample(); });
    }
    replay_result result() const
    {
        replay_result all;
        for (const double ratio : m_ratios) {
            all.busiestToMean += ratio / static_cast<double>(m_ratios.size());
        }
        all.refusedReservations = static_cast<double>(m_refusals) / static_cast<double>(m_reservations);
        const auto sum = [](const std::array<double, 3> &values) { return values[0] + values[1] + values[2]; };
        for (std::size_t i = 0; i < 3; ++i) {
            all.placedInBursts.at(i) = m_placed[1].at(i) / m_asked[1].at(i);
        }
        all.allPlacedInBursts = sum(m_placed[1]) / sum(m_asked[1]);
        all.placed = (sum(m_placed[0]) + sum(m_placed[1])) / (sum(m_asked[0]) + sum(m_asked[1]));
        return all;
    }

    bool m_isShared;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals; ///< Of its own, so that both choices get the same streams.
    std::vector<model_engine> m_engines;
    std::vector<model_entry> m_entries;
    std::vector<engine_placement_ledger> m_ledgers; ///< Of the coordinators, the current one last.
    instant m_now = kBegin;
    std::multimap<instant, std::function<void()>> m_events;
    std::array<std::array<double, 3>, 2> m_asked{}; ///< By whether in a burst, and priority.
    std::array<std::array<double, 3>, 2> m_placed{};
    std::uint64_t m_reservations = 0;
    std::uint64_t m_refusals = 0;
    instant m_windowFrom = kBegin;
    std::vector<double> m_ratios;
};

replay_result replay(const char *name, std::size_t entries, bool isShared, std::uint64_t seed)
{
    const replay_result result = fleet_replay(entries, isShared, seed).run();
    std::cout << name << ", " << entries << " entries, seed " << seed << ": busiest to mean " << result.busiestToMean << ", refused reservations "
              << result.refusedReservations << ", placed " << result.placed << ", in bursts " << result.allPlacedInBursts << " (by priority "
              << result.placedInBursts[0] << " " << result.placedInBursts[1] << " " << result.placedInBursts[2] << ")\n";
    return result;
}

} // namespace

// Guards against engines that are overloaded in turn while others are idle, which is what happens when each entry chooses by its own load.
TEST(EnginePlacementReplay, LoadIsEvenAndFewReservationsAreRefused)
{
    for (const std::size_t entries : {12U, 30U, 116U, 300U}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            replay("own load", entries, false, seed);
            const replay_result shared = replay("coordinator", entries, true, seed);
            EXPECT_LE(shared.busiestToMean, 1.5) << entries << " entries, seed " << seed;
            EXPECT_LE(shared.refusedReservations, 0.1) << entries << " entries, seed " << seed;
            for (const double placed : shared.placedInBursts) {
                EXPECT_GE(placed, 0.5 * shared.allPlacedInBursts) << entries << " entries, seed " << seed;
            }
        }
    }
}
