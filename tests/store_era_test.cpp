#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "relay/lease_term.h"
#include "relay/store_era.h"

using namespace heatherroute;
using std::chrono::milliseconds;

namespace
{

constexpr int kSteps = 300;

/// A store that comes back from older copies, and readers that learn of it late, from answers or from each other.
class restored_store
{
public:
    restored_store(std::uint64_t seed, std::size_t readers, std::uint64_t firstEra)
        : m_random(seed)
        , m_readers(readers)
        , m_era(firstEra)
    { }

    int restoresPerThousand = 20;
    int delayPerCent = 30; ///< Answers that arrive later than those to later reads.
    int gossipPerCent = 20;

    void run()
    {
        for (m_step = 0; m_step < kSteps; ++m_step) {
            step();
        }
        for (reader &one : m_readers) {
            deliverAll(one);
            for (int i = 0; i < 3; ++i) {
                send(one);
                deliverAll(one);
            }
        }
    }

    /// Whether each reader holds the newest value of each key.
    bool allAreCurrent() const
    {
        return std::all_of(m_readers.begin(), m_readers.end(), [this](const reader &one) { return one.values == m_written; });
    }
    bool anyWentBack() const
    {
        return m_wentBack;
    }

private:
    using record = std::pair<int, int>; ///< A key and its value, which only rises.
    struct answer
    {
        std::optional<std::uint64_t> era;
        std::vector<record> records;
        std::uint64_t next = 0;
    };
    struct reader
    {
        store_era era = store_era::make();
        stream_position position;
        std::optional<answer> pending; ///< At most one read at a time, as store_duty does it.
        std::map<int, int> values;
    };

    int below(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    }

    void step()
    {
        if (below(2) == 0) {
            const int key = below(200);
            m_written[key] = ++m_nextValue;
            m_log.push_back({key, m_nextValue});
        }
        if (below(10) == 0) {
            m_copy = m_log;
        }
        if (below(1'000) < restoresPerThousand) {
            m_log = m_copy;
            m_era += m_era > 0 ? 1 : 0;
            // The writer writes again what was lost, so the store is complete at any time.
            for (const auto &[key, value] : m_written) {
                m_log.push_back({key, value});
            }
        }
        reader &one = m_readers[static_cast<std::size_t>(below(static_cast<int>(m_readers.size())))];
        if (!one.pending) {
            send(one);
        } else if (below(100) >= delayPerCent) {
            deliverAll(one);
        }
        if (below(100) < gossipPerCent) {
            one.era.onPeer(m_readers[static_cast<std::size_t>(below(static_cast<int>(m_readers.size())))].era.current());
        }
    }

    void send(reader &one)
    {
        const auto from = one.position.begin(one.era);
        answer made;
        made.era = m_era > 0 ? std::optional(m_era) : std::nullopt;
        made.next = m_log.size();
        if (from && *from > m_log.size()) {
            one.position.reset(); // 410
            return;
        }
        made.records.assign(m_log.begin() + static_cast<std::ptrdiff_t>(from.value_or(0)), m_log.end());
        one.pending = std::move(made);
    }

    void deliverAll(reader &one)
    {
        if (!one.pending) {
            return;
        }
        const answer got = *std::exchange(one.pending, std::nullopt);
        const era_verdict verdict = one.era.onAnswer(got.era);
        if (one.position.end(one.era, verdict, got.next) != read_verdict::Use) {
            return;
        }
        for (const auto &[key, value] : got.records) {
            // As for configurations and registrations, an older value never replaces a newer one.
            m_wentBack = m_wentBack || one.values[key] > std::max(one.values[key], value);
            one.values[key] = std::max(one.values[key], value);
        }
    }

    std::mt19937_64 m_random;
    std::vector<reader> m_readers;
    std::uint64_t m_era;
    std::vector<record> m_log;
    std::vector<record> m_copy;
    std::map<int, int> m_written;
    int m_nextValue = 0;
    int m_step = 0;
    bool m_wentBack = false;
};

} // namespace

// Load pattern: the store comes back from older copies again and again while answers are late and some readers hear of it from others.
RC_GTEST_PROP(StoreEraState, ReadersMissNothingThatIsWrittenAfterARestore, ())
{
    restored_store store(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange<std::size_t>(1, 6), *rc::gen::inRange<std::uint64_t>(1, 10));
    store.restoresPerThousand = *rc::gen::inRange(0, 100);
    store.delayPerCent = *rc::gen::inRange(0, 90);
    store.gossipPerCent = *rc::gen::inRange(0, 100);
    store.run();
    RC_ASSERT(store.allAreCurrent());
    RC_ASSERT(!store.anyWentBack());
}

RC_GTEST_PROP(StoreEraState, FencingTokensRiseAlthoughGenerationsGoBack, ())
{
    std::uint64_t era = *rc::gen::inRange<std::uint64_t>(1, 100);
    std::uint64_t last = 0;
    std::uint64_t generation = *rc::gen::inRange<std::uint64_t>(1, 1'000);
    for (int i = 0; i < 50; ++i) {
        const std::uint64_t token = fencingTokenOf(era, generation);
        RC_ASSERT(token > last);
        last = token;
        if (*rc::gen::inRange(0, 4) == 0) {
            era += 1;
            generation -= *rc::gen::inRange<std::uint64_t>(0, generation);
        } else {
            generation += 1;
        }
    }
}

TEST(StoreEra, StoreWithoutAnEraWorksAsBefore)
{
    auto era = store_era::make();
    stream_position position;
    EXPECT_FALSE(position.begin(era));
    EXPECT_EQ(position.end(era, era.onAnswer(std::nullopt), 7), read_verdict::Use);
    EXPECT_EQ(position.begin(era), 7U);
    EXPECT_EQ(position.end(era, era.onAnswer(std::nullopt), 9), read_verdict::Use);
    EXPECT_EQ(position.begin(era), 9U);
    EXPECT_EQ(fencingTokenOf(era.current(), 12), 12U);
}

TEST(StoreEra, AnswerWithoutTheEraOfAStoreThatHasSentItGivesNoPosition)
{
    auto era = store_era::make();
    stream_position position;
    position.begin(era);
    position.end(era, era.onAnswer(3), 7);
    EXPECT_EQ(position.begin(era), 7U);
    EXPECT_EQ(position.end(era, era.onAnswer(std::nullopt), 9), read_verdict::Reread);
    EXPECT_FALSE(position.begin(era));
    EXPECT_EQ(position.end(era, era.onAnswer(std::nullopt), 9), read_verdict::Use);
    EXPECT_FALSE(position.begin(era));
}

TEST(StoreEra, AnswerOfAnOlderEraCountsAsNone)
{
    auto era = store_era::make();
    stream_position position;
    position.begin(era);
    position.end(era, era.onAnswer(3), 7);
    EXPECT_EQ(era.onPeer(4), era_verdict::Newer);
    EXPECT_FALSE(position.begin(era));
    EXPECT_EQ(position.end(era, era.onAnswer(3), 9), read_verdict::Discard);
    EXPECT_EQ(era.current(), 4U);
    EXPECT_EQ(era.onPeer(3), era_verdict::Older);
}

TEST(StoreEra, LeaseEndsWhenTheStoreIsRestored)
{
    auto tracker = lease_tracker::make({});
    lease_answer answer{store_outcome::Done, "", 7, true, 3};
    tracker.onAnswer(answer, 1'000, 1'010);
    EXPECT_TRUE(mayOrder(tracker.term(), 5'000 - 4'000 + 10, milliseconds(0)));
    EXPECT_EQ(tracker.term().fencingToken, fencingTokenOf(3, 7));
    tracker.onRestored();
    EXPECT_FALSE(tracker.term().holds);
    EXPECT_EQ(tracker.generation(), 0U);
    answer.generation = 6;
    answer.era = 4;
    tracker.onAnswer(answer, 2'000, 2'010);
    EXPECT_EQ(tracker.term().fencingToken, fencingTokenOf(4, 6));
    // Another entry may have held the lease in the lost time, so the new term begins anew.
    EXPECT_EQ(tracker.term().heldSinceMs, 2'010);
}
