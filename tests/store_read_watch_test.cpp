#include "relay/store_read_watch.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kStart{std::chrono::hours(1)};
constexpr auto kRegistrations = store_stream::Registrations;
constexpr auto kConfiguration = store_stream::Configuration;

instant at(milliseconds time)
{
    return kStart + time;
}

bool contains(const std::vector<store_stream> &streams, store_stream stream)
{
    return std::find(streams.begin(), streams.end(), stream) != streams.end();
}

/// A store that answers within some milliseconds, but is silent at times, and one entry that reads a snapshot of one stream from it until it gets
/// an answer. What is sent while the store is silent is lost.
class silent_store_replay
{
public:
    explicit silent_store_replay(std::uint64_t seed)
        : m_random(seed)
    { }

    void addSilence(milliseconds from, milliseconds to)
    {
        m_silences.emplace_back(at(from), at(to));
    }

    /// Returns the time from @p from on until a read that was sent from then on has been answered.
    milliseconds timeUntilRead(milliseconds from)
    {
        constexpr milliseconds kStep{5};
        constexpr milliseconds kPause{150}; // Between two reads.
        std::optional<instant> lostAt; // When the pending read was sent.
        instant nextReadAt = kStart;
        for (instant now = kStart; now < kStart + std::chrono::minutes(1); now += kStep) {
            if (m_watch.shouldProbe(now)) {
                m_watch.noteProbe(now, milliseconds(0), m_random);
                m_probes += 1;
                if (!isSilent(now)) {
                    m_watch.noteAnswer(now);
                }
            }
            const bool isGivenUp = !m_watch.takeGivenUp(now).empty();
            if (lostAt && (isGivenUp || now - *lostAt >= m_watch.timeout(kRegistrations))) {
                m_watch.noteFailed(kRegistrations);
                lostAt.reset();
                nextReadAt = now + kPause;
            }
            if (lostAt || now < nextReadAt) {
                continue;
            }
            m_watch.noteSent(kRegistrations, now, milliseconds(0));
            if (isSilent(now)) {
                lostAt = now;
                continue;
            }
            m_watch.noteAnswering(kRegistrations);
            m_watch.noteDone(kRegistrations);
            nextReadAt = now + kPause;
            if (now >= at(from)) {
                return std::chrono::duration_cast<milliseconds>(now - at(from));
            }
        }
        return milliseconds::max();
    }

    int probes() const noexcept
    {
        return m_probes;
    }

private:
    bool isSilent(instant now) const
    {
        return std::any_of(m_silences.begin(), m_silences.end(), [now](const auto &one) { return now >= one.first && now < one.second; });
    }

    std::mt19937_64 m_random;
    store_read_watch m_watch = store_read_watch::make({});
    std::vector<std::pair<instant, instant>> m_silences;
    int m_probes = 0;
};

} // namespace

// A read that was lost in a silence of the store was waited for up to 6 s after the store was back, and so was what follows from it.
TEST(StoreReadWatch, StoreIsReadSoonAfterItsSilence)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const milliseconds length{4'000 + 97 * static_cast<int>(seed)};
        silent_store_replay store(seed);
        store.addSilence(seconds(2), seconds(2) + length);
        EXPECT_LE(store.timeUntilRead(seconds(2) + length), milliseconds(1'500)) << "silent for " << length.count() << " ms";
        EXPECT_LE(store.probes(), 2 + length / milliseconds(500));
    }
}

// All entries started in one silence, missed the moment in which the store answered, and waited for 6 s in the next silence.
TEST(StoreReadWatch, StoreIsReadBetweenTwoSilences)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        silent_store_replay store(seed);
        store.addSilence(seconds(0), milliseconds(7'900));
        store.addSilence(milliseconds(9'300), milliseconds(10'300));
        EXPECT_LE(store.timeUntilRead(milliseconds(7'900)), milliseconds(1'400));
    }
}

// Reads of hundreds of entries queue at a store that answers; giving them up early would make them queue again for good.
TEST(StoreReadWatch, TimeGivenToAReadGrowsWhileTheStoreAnswersOthers)
{
    store_read_watch watch = store_read_watch::make({});
    instant now = kStart;
    for (const milliseconds expected : {milliseconds(1'200), milliseconds(2'400), milliseconds(4'800), milliseconds(6'000), milliseconds(6'000)}) {
        watch.noteSent(kRegistrations, now, milliseconds(0));
        watch.noteAnswer(now + milliseconds(100));
        EXPECT_TRUE(watch.takeGivenUp(now + expected - milliseconds(1)).empty());
        EXPECT_EQ(watch.nextChange(), now + expected);
        EXPECT_TRUE(contains(watch.takeGivenUp(now + expected), kRegistrations));
        watch.noteFailed(kRegistrations);
        now += seconds(10);
    }
    watch.noteSent(kRegistrations, now, milliseconds(0));
    watch.noteDone(kRegistrations);
    EXPECT_EQ(watch.timeout(kRegistrations), milliseconds(1'200));
}

TEST(StoreReadWatch, ReadIsKeptWhileOnlyEarlierCallsAreAnswered)
{
    store_read_watch watch = store_read_watch::make({});
    watch.noteSent(kRegistrations, kStart, milliseconds(0));
    watch.noteAnswer(kStart - milliseconds(1));
    watch.noteAnswer(kStart);
    EXPECT_TRUE(watch.takeGivenUp(at(seconds(20))).empty());
}

// A long answer arrives for longer than a read is waited for.
TEST(StoreReadWatch, ReadWhoseAnswerArrivesIsKept)
{
    store_read_watch watch = store_read_watch::make({});
    watch.noteSent(kRegistrations, kStart, milliseconds(0));
    watch.noteAnswering(kRegistrations);
    watch.noteAnswer(at(milliseconds(100)));
    EXPECT_TRUE(watch.takeGivenUp(at(seconds(20))).empty());
    EXPECT_FALSE(watch.shouldProbe(at(seconds(20))));
}

TEST(StoreReadWatch, ReadThatWaitsAtTheStoreIsNeitherGivenUpNorProbedFor)
{
    store_read_watch watch = store_read_watch::make({});
    watch.noteSent(kConfiguration, kStart, seconds(1));
    EXPECT_FALSE(watch.shouldProbe(at(milliseconds(1'699))));
    EXPECT_TRUE(watch.shouldProbe(at(milliseconds(1'700))));
    watch.noteAnswer(at(milliseconds(10)));
    EXPECT_FALSE(watch.shouldProbe(at(milliseconds(1'700)))) << "the store answers";
    EXPECT_TRUE(watch.takeGivenUp(at(milliseconds(2'199))).empty());
    EXPECT_TRUE(contains(watch.takeGivenUp(at(milliseconds(2'200))), kConfiguration));
}

// A fleet of hundreds of entries must not probe a store that recovers all at once.
TEST(StoreReadWatch, ProbesAreSpreadAndAtLeastTheMinimumApart)
{
    std::mt19937_64 random(1);
    milliseconds least = milliseconds::max();
    milliseconds most{0};
    for (int i = 0; i < 1'000; ++i) {
        store_read_watch watch = store_read_watch::make({});
        watch.noteSent(kRegistrations, kStart, milliseconds(0));
        watch.noteProbe(at(milliseconds(700)), seconds(3), random);
        const auto interval = std::chrono::duration_cast<milliseconds>(watch.nextChange().value_or(kStart) - at(milliseconds(700)));
        least = std::min(least, interval);
        most = std::max(most, interval);
    }
    EXPECT_GE(least, milliseconds(2'250));
    EXPECT_LE(most, milliseconds(3'750));
    EXPECT_GT(most - least, seconds(1)) << "not spread";
}
