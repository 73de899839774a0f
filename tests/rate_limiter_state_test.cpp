#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "relay/fleet_rate_limiter.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int kStepMs = 20;
constexpr int kStepsPerSecond = 1'000 / kStepMs;
constexpr int kRunSteps = 40 * kStepsPerSecond;
constexpr int kLimitFrom = 2 * kStepsPerSecond;
constexpr int kReplyTimeoutSteps = 4;
constexpr int kLearningSteps = 3 * kStepsPerSecond; ///< The platform's stability window.
constexpr int kWindowSteps = 4 * kStepsPerSecond;
constexpr int kDetectionSteps = 5 * kStepsPerSecond / 2; ///< From the loss of an entry until the others know.
constexpr int kJoinSteps = kStepsPerSecond / 2; ///< From the start of an entry until all know of it.
constexpr int kDownSteps = kStepsPerSecond;

/// Entries that send to one limited upstream and exchange messages over a lossy network, while they are killed, restarted and cut off.
class fleet_before_a_limited_upstream
{
public:
    fleet_before_a_limited_upstream(std::size_t entries, std::uint64_t seed)
        : m_random(seed)
        , m_seed(seed)
        , m_entries(entries)
    {
        for (std::size_t i = 0; i < entries; ++i) {
            start(i);
            m_entries[i].startedAt = -kLearningSteps;
        }
        updateViews(true);
    }

    double perSecond = 2.0;
    double changedPerSecond = 2.0; ///< The limit in the second half of the run.
    double demandPerSecond = 50.0; ///< Requests that would go to the upstream, of all entries together.
    int lostPerCent = 0;
    int repeatedPerCent = 0;
    int maxDelaySteps = 1;
    int killsPerThousandSeconds = 0; ///< Of one entry.
    int groupKillsPerThousandSeconds = 0; ///< Of a third of the entries at the same moment.
    int cutsPerThousandSeconds = 0; ///< Of one entry from the others.
    bool upstreamRestarts = false; ///< The upstream starts anew in the middle of the run, under the same id and without a limit.

    void run()
    {
        for (m_step = 0; m_step < kRunSteps; ++m_step) {
            disturb();
            updateViews(false);
            deliver();
            expireRequests();
            answer();
            sendRequests();
            for (std::size_t i = 0; m_step % 5 == 0 && i < m_entries.size(); ++i) {
                for (limit_reports &message : m_entries[i].isUp ? m_entries[i].limiter->dueReports(now()) : std::vector<limit_reports>()) {
                    for (std::size_t to = 0; to < m_entries.size(); ++to) {
                        post(i, to, message);
                    }
                }
            }
        }
    }

    /// By how much the worst window exceeds what is allowed.
    double worstExcess() const
    {
        double worst = -1e9;
        for (std::size_t last = 0; last < m_counted.size(); ++last) {
            std::size_t first = last;
            double limit = 0.0;
            while (first > 0 && m_counted[first - 1].step > m_counted[last].step - kWindowSteps) {
                --first;
            }
            for (std::size_t i = first; i <= last; ++i) {
                limit = std::max(limit, m_counted[i].limit);
            }
            worst = std::max(worst, static_cast<double>(last - first + 1) - (1.5 * 4 * limit + 5));
        }
        return worst;
    }
    /// Arrivals after the first seconds of the limit.
    std::size_t arrivals() const
    {
        return m_counted.size();
    }
    bool endsUnlimited()
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [this](const entry &one) { return !one.isUp || !one.limiter->limitOf(m_instance); });
    }

private:
    struct entry
    {
        std::optional<fleet_rate_limiter> limiter;
        bool isUp = true;
        int startedAt = 0;
        int downUntil = 0;
        int cutUntil = 0;
        std::uint64_t starts = 0;
        std::map<std::uint32_t, int> waiting; ///< Requests for permits, and when they were sent.
        std::set<std::size_t> known; ///< The entries that this one believes to be up.
    };
    struct message
    {
        int step = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t starts = 0; ///< Of the receiver, so that a restarted one doesn't get it.
        rate_limit_message body;
    };
    struct arrival
    {
        int step = 0;
        std::size_t entry = 0;
        std::uint64_t starts = 0;
        int sentAt = 0;
    };
    struct counted_arrival
    {
        int step = 0;
        double limit = 0.0;
    };

    int below(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    }
    std::size_t anyEntry()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
    }
    bool happens(int perThousandSeconds)
    {
        return perThousandSeconds > 0 && below(1'000 * kStepsPerSecond) < perThousandSeconds;
    }
    instant now() const
    {
        return instant(seconds(1'000)) + milliseconds(m_step * kStepMs);
    }
    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":1";
    }

    void start(std::size_t index)
    {
        entry &one = m_entries[index];
        const std::uint64_t starts = one.starts + 1;
        one = entry();
        one.starts = starts;
        one.startedAt = m_step;
        one.limiter = fleet_rate_limiter::make(now(), {}, "entry-" + std::to_string(index), m_seed + 100 * index + starts);
    }

    void kill(std::size_t index)
    {
        entry &one = m_entries[index];
        one.isUp = false;
        one.downUntil = m_step + kDownSteps + below(4 * kStepsPerSecond);
    }

    void disturb()
    {
        if (happens(killsPerThousandSeconds)) {
            kill(anyEntry());
        }
        if (happens(groupKillsPerThousandSeconds)) {
            for (std::size_t i = 0; i < (m_entries.size() + 2) / 3; ++i) {
                kill(anyEntry());
            }
        }
        if (happens(cutsPerThousandSeconds)) {
            m_entries[anyEntry()].cutUntil = m_step + kStepsPerSecond + below(8 * kStepsPerSecond);
        }
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (!m_entries[i].isUp && m_entries[i].downUntil <= m_step) {
                start(i);
                m_entries[i].isUp = true;
            }
        }
        if (upstreamRestarts && m_step == kRunSteps / 2) {
            m_instance.startedAt += 1;
            for (entry &one : m_entries) {
                if (one.isUp) {
                    one.limiter->noteInstance(m_instance);
                }
            }
        }
    }

    bool mayReach(std::size_t from, std::size_t to) const
    {
        return from != to && m_entries[from].cutUntil <= m_step && m_entries[to].cutUntil <= m_step;
    }

    /// The members that each entry believes to be up follow what is so with a delay.
    void updateViews(bool atOnce)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            entry &one = m_entries[i];
            if (!one.isUp) {
                continue;
            }
            std::set<std::size_t> present;
            for (std::size_t j = 0; j < m_entries.size(); ++j) {
                const entry &other = m_entries[j];
                const bool isThere = other.isUp && mayReach(i, j);
                const bool wasKnown = one.known.contains(j);
                const int delay = isThere ? kJoinSteps : kDetectionSteps;
                int &since = m_viewChanged[{i, j}];
                if (isThere == wasKnown) {
                    since = m_step;
                }
                const bool changes = isThere != wasKnown && (atOnce || m_step - since >= delay + static_cast<int>((i * 7 + j * 3) % 20));
                if (i != j && (changes ? isThere : wasKnown)) {
                    present.insert(j);
                }
            }
            if (present != one.known) {
                std::vector<std::size_t> added;
                std::set_difference(present.begin(), present.end(), one.known.begin(), one.known.end(), std::back_inserter(added));
                one.known = present;
                std::vector<member> others;
                for (const std::size_t j : present) {
                    member other;
                    other.id = {"entry-" + std::to_string(j), m_entries[j].starts};
                    other.peerAddress = addressOf(j);
                    others.push_back(other);
                }
                one.limiter->setMembers(now(), others);
                for (const std::size_t j : added) {
                    for (limit_reports &known : one.limiter->introduction(now())) {
                        post(i, j, known);
                    }
                }
            }
        }
    }

    void post(std::size_t from, std::size_t to, const rate_limit_message &body)
    {
        if (!mayReach(from, to)) {
            return;
        }
        const int copies = below(100) < lostPerCent ? 0 : (below(100) < repeatedPerCent ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            m_messages.push_back({m_step + below(maxDelaySteps + 1), from, to, m_entries[to].starts, body});
        }
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(m_messages, [&](const message &one) {
            const bool isDue = one.step <= m_step;
            if (isDue) {
                due.push_back(one);
            }
            return isDue;
        });
        for (const message &one : due) {
            entry &to = m_entries[one.to];
            if (!to.isUp || to.starts != one.starts) {
                continue;
            }
            if (const auto *reports = std::get_if<limit_reports>(&one.body)) {
                for (const limit_report &report : reports->reports) {
                    to.limiter->onReport(now(), report);
                }
            } else if (const auto *request = std::get_if<permit_request>(&one.body)) {
                post(one.to, one.from, to.limiter->onRequest(now(), *request));
            } else if (const auto result = to.limiter->onReply(now(), std::get<permit_reply>(one.body))) {
                if (to.waiting.erase(result->number) > 0 && result->granted) {
                    arrive(one.to);
                }
            }
        }
    }

    void expireRequests()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            std::vector<std::uint32_t> expired;
            for (const auto &[number, sentAt] : m_entries[i].waiting) {
                if (m_step - sentAt >= kReplyTimeoutSteps) {
                    expired.push_back(number);
                }
            }
            for (const std::uint32_t number : expired) {
                m_entries[i].waiting.erase(number);
                if (m_entries[i].isUp && m_entries[i].limiter->onNoReply(now(), number)) {
                    arrive(i);
                }
            }
        }
    }

    double currentLimit() const
    {
        const bool isOver = upstreamRestarts && m_step >= kRunSteps / 2;
        return m_step < kLimitFrom || isOver ? 0.0 : (m_step < kRunSteps / 2 ? perSecond : changedPerSecond);
    }

    void arrive(std::size_t index)
    {
        const entry &one = m_entries[index];
        const bool isExcused = m_step - one.startedAt < kLearningSteps || m_step < one.cutUntil + kLearningSteps;
        // For a while after a change the limit before counts, too.
        const double limit = std::max(currentLimit(), m_step < kRunSteps / 2 + kLearningSteps && !upstreamRestarts ? perSecond : 0.0);
        if (m_step >= kLimitFrom + kLearningSteps && currentLimit() > 0 && !isExcused) {
            m_counted.push_back({m_step, limit});
        }
        m_arrivals.push_back({m_step, index, one.starts, m_step});
    }

    /// Lets the upstream answer what arrived in the step before.
    void answer()
    {
        while (!m_arrivals.empty() && m_arrivals.front().step < m_step) {
            const arrival one = m_arrivals.front();
            m_arrivals.pop_front();
            entry &sender = m_entries[one.entry];
            if (sender.isUp && sender.starts == one.starts) {
                const instant sentAt = now() - milliseconds((m_step - one.sentAt) * kStepMs);
                sender.limiter->noteAnswer(now(), m_instance, sentAt, currentLimit() > 0 ? std::optional(currentLimit()) : std::nullopt);
            }
        }
    }

    void sendRequests()
    {
        std::poisson_distribution<int> count(demandPerSecond / kStepsPerSecond);
        for (int left = count(m_random); left > 0; --left) {
            const std::size_t index = anyEntry();
            entry &one = m_entries[index];
            if (!one.isUp) {
                continue;
            }
            const permit_decision decision = one.limiter->acquire(now(), m_instance, 1);
            if (decision.outcome == permit_outcome::Granted) {
                arrive(index);
            } else if (decision.outcome == permit_outcome::Ask) {
                one.waiting.emplace(decision.request.number, m_step);
                for (std::size_t to = 0; to < m_entries.size(); ++to) {
                    if (addressOf(to) == decision.coordinator) {
                        post(index, to, decision.request);
                    }
                }
            }
        }
    }

    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    std::vector<entry> m_entries;
    std::vector<message> m_messages;
    std::deque<arrival> m_arrivals;
    std::vector<counted_arrival> m_counted;
    std::map<std::pair<std::size_t, std::size_t>, int> m_viewChanged;
    upstream_instance m_instance{"i-1", 1'000};
    int m_step = 0;
};

fleet_before_a_limited_upstream makeFleet()
{
    fleet_before_a_limited_upstream fleet(*rc::gen::inRange<std::size_t>(2, 25), *rc::gen::arbitrary<std::uint64_t>());
    fleet.perSecond = *rc::gen::inRange(1, 100) / 10.0;
    fleet.changedPerSecond = fleet.perSecond;
    fleet.demandPerSecond = *rc::gen::inRange(10, 100);
    fleet.maxDelaySteps = *rc::gen::inRange(0, 3);
    return fleet;
}

void checkFleet(fleet_before_a_limited_upstream &fleet)
{
    fleet.run();
    RC_LOG() << fleet.arrivals() << " arrivals at a limit of " << fleet.perSecond << ", " << fleet.worstExcess() << " more than allowed";
    RC_ASSERT(fleet.worstExcess() <= 0);
}

} // namespace

// Load pattern: the demand for a limited upstream is spread over all entries.
RC_GTEST_PROP(RateLimiterState, LimitIsKeptAndUsed, ())
{
    auto fleet = makeFleet();
    fleet.lostPerCent = *rc::gen::inRange(0, 5);
    checkFleet(fleet);
    // From the end of the learning time on, half of what the upstream takes, less what is due at the edges.
    RC_ASSERT(static_cast<double>(fleet.arrivals()) >= 0.5 * 35 * fleet.perSecond - 2);
}

// Load pattern: as above; the limit changes, and messages are lost, late and repeated.
RC_GTEST_PROP(RateLimiterState, LimitIsKeptWhileItChangesAndMessagesAreLost, ())
{
    auto fleet = makeFleet();
    fleet.changedPerSecond = *rc::gen::inRange(1, 100) / 10.0;
    fleet.lostPerCent = *rc::gen::inRange(0, 40);
    fleet.repeatedPerCent = *rc::gen::inRange(0, 40);
    fleet.maxDelaySteps = *rc::gen::inRange(0, 8);
    checkFleet(fleet);
}

// Load pattern: as above, while entries are killed one by one and in groups.
RC_GTEST_PROP(RateLimiterState, LimitIsKeptWhileEntriesRestart, ())
{
    auto fleet = makeFleet();
    fleet.lostPerCent = *rc::gen::inRange(0, 10);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(0, 1'000);
    fleet.groupKillsPerThousandSeconds = *rc::gen::inRange(0, 200);
    checkFleet(fleet);
}

// Load pattern: as above, while entries are cut off from the others and still reach the upstream.
RC_GTEST_PROP(RateLimiterState, LimitIsKeptWhileEntriesAreCutOff, ())
{
    auto fleet = makeFleet();
    fleet.lostPerCent = *rc::gen::inRange(0, 10);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(0, 300);
    fleet.cutsPerThousandSeconds = *rc::gen::inRange(0, 1'000);
    checkFleet(fleet);
}

// Load pattern: the upstream starts anew under its id and has no limit any more.
RC_GTEST_PROP(RateLimiterState, LimitEndsWithItsInstance, ())
{
    auto fleet = makeFleet();
    fleet.upstreamRestarts = true;
    checkFleet(fleet);
    RC_ASSERT(fleet.endsUnlimited());
}
