#include <gtest/gtest.h>

#include "core/prompt_parts.h"
#include "heatherroute/crash_tracker.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t kFirst = 1; ///< A part that many prompts begin with.
constexpr std::uint64_t kPoison = 2;
constexpr std::uint64_t kOther = 3;

/// One entry, and requests that are all different.
class tracked_entry
{
public:
    crash_tracker tracker = crash_tracker::make();

    static instant at(duration time)
    {
        return instant(seconds(100)) + time;
    }

    request_fingerprints requestWith(std::vector<std::uint64_t> parts)
    {
        return {1'000 + ++m_requests, std::move(parts)};
    }

    /// Lets an upstream crash at @p time under requests that were sent @p ran before.
    void crash(duration time, const std::vector<request_fingerprints> &requests, duration ran = milliseconds(100))
    {
        const upstream_instance instance{"i-" + std::to_string(++m_crashes), 1'000};
        for (const request_fingerprints &request : requests) {
            tracker.noteInterrupted(at(time), instance, request, ran);
        }
        tracker.noteCrashed(at(time), instance);
    }

    void complete(duration time, std::vector<std::uint64_t> parts)
    {
        tracker.noteCompleted(at(time), requestWith(std::move(parts)));
    }

    bool isRefused(duration time, std::vector<std::uint64_t> parts)
    {
        return tracker.quarantinedFor(at(time), requestWith(std::move(parts))) > duration::zero();
    }

private:
    std::uint64_t m_requests = 0;
    int m_crashes = 0;
};

} // namespace

TEST(PartQuarantine, PartThatDifferentCrashedRequestsShareIsQuarantined)
{
    tracked_entry entry;
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst, kPoison})) << i;
        entry.crash(seconds(i), {entry.requestWith({kFirst, kPoison})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(3), {kFirst, kPoison}));
    EXPECT_TRUE(entry.isRefused(seconds(3), {kOther, kPoison}));
    EXPECT_TRUE(entry.isRefused(seconds(3), {kPoison, kOther}));
    EXPECT_FALSE(entry.isRefused(seconds(3), {kFirst}));
    EXPECT_FALSE(entry.isRefused(seconds(3), {kFirst, kOther}));
    const auto started = entry.tracker.takeStartedParts(entry.at(seconds(3)));
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().part, kPoison);
    EXPECT_TRUE(entry.tracker.takeStartedParts(entry.at(seconds(3))).empty());
}

// Load pattern: sound streams with the same first part run on each engine that crashes, and hardly one ends between two crashes.
TEST(PartQuarantine, PartsOfRequestsThatRanBesideAreServed)
{
    for (const bool soundCameBefore : {false, true}) {
        tracked_entry entry;
        if (soundCameBefore) {
            entry.complete(seconds(-5), {kFirst});
        }
        for (int i = 0; i < 12; ++i) {
            const auto poison = entry.requestWith({kFirst, kPoison});
            const auto beside = entry.requestWith({kFirst});
            const auto besideToo = entry.requestWith({kFirst, kOther});
            const upstream_instance instance{"b-" + std::to_string(i), 1};
            entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, besideToo, milliseconds(700));
            entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, beside, milliseconds(800));
            entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, poison, milliseconds(100));
            entry.tracker.noteCrashed(entry.at(seconds(i)), instance);
            EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst})) << i;
            EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst, kOther})) << i;
        }
        EXPECT_TRUE(entry.isRefused(seconds(12), {kFirst, kPoison}));
    }
}

// Load pattern: all entries have just started, and engines crash for another reason before any stream has ended.
TEST(PartQuarantine, PartsOfStreamsThatAreBeingWrittenAreServedWhileEnginesCrash)
{
    tracked_entry entry;
    const auto running = entry.requestWith({kFirst});
    for (int i = 0; i < 5; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kFirst}), entry.requestWith({kFirst, kOther})}, milliseconds(700));
        entry.tracker.noteWriting(entry.at(seconds(i) + milliseconds(500)), running);
        EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst})) << i;
    }
}

TEST(PartQuarantine, PartIsBlamedLaterBesideCrashesThatNoPartExplains)
{
    tracked_entry entry;
    entry.crash(seconds(-2), {entry.requestWith({})});
    for (int i = 0; i < 4; ++i) {
        EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst, kPoison})) << i;
        entry.crash(seconds(i), {entry.requestWith({kFirst, kPoison})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(4), {kFirst, kPoison}));
}

TEST(PartQuarantine, PartBesideManyCrashesThatNoPartExplainsIsBlamedAfterFive)
{
    tracked_entry entry;
    for (int i = 0; i < 20; ++i) {
        entry.crash(seconds(i), {entry.requestWith({})});
    }
    for (int i = 20; i < 25; ++i) {
        EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst, kPoison})) << i;
        entry.crash(seconds(i), {entry.requestWith({kFirst, kPoison})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(25), {kFirst, kPoison}));
}

TEST(PartQuarantine, TwoPartsAreFoundAtOnce)
{
    tracked_entry entry;
    for (int i = 0; i < 6; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kFirst, i % 2 == 0 ? kPoison : kOther}), entry.requestWith({kFirst})});
        EXPECT_FALSE(entry.isRefused(seconds(i), {kFirst})) << i;
    }
    EXPECT_TRUE(entry.isRefused(seconds(6), {kFirst, kPoison}));
    EXPECT_TRUE(entry.isRefused(seconds(6), {kFirst, kOther}));
    EXPECT_FALSE(entry.isRefused(seconds(6), {kFirst, 99}));
}

TEST(PartQuarantine, CompleteAnswerFreesItsParts)
{
    tracked_entry entry;
    for (int i = 0; i < 3; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kPoison})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(3), {kPoison}));
    entry.complete(seconds(4), {kPoison});
    EXPECT_FALSE(entry.isRefused(seconds(4), {kPoison}));
    entry.crash(seconds(5), {entry.requestWith({kPoison})});
    EXPECT_FALSE(entry.isRefused(seconds(6), {kPoison}));
}

// Load pattern: a zone with many engines loses its power, before any stream has ended.
TEST(PartQuarantine, EnginesThatCrashAtTheSameTimeDoNotQuarantineAPart)
{
    tracked_entry entry;
    for (int i = 0; i < 20; ++i) {
        entry.crash(milliseconds(i), {entry.requestWith({kFirst}), entry.requestWith({kFirst, kOther})}, seconds(1));
    }
    EXPECT_FALSE(entry.isRefused(seconds(1), {kFirst}));
    EXPECT_FALSE(entry.isRefused(seconds(1), {kFirst, kOther}));
}

TEST(PartQuarantine, CrashesAtTheSameTimeSoonAfterTheRequestsQuarantineAPartOnceTheyAreFive)
{
    tracked_entry entry;
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(entry.isRefused(milliseconds(i), {kFirst, kPoison})) << i;
        entry.crash(milliseconds(i), {entry.requestWith({kFirst, kPoison}), entry.requestWith({kFirst})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(1), {kFirst, kPoison}));
    EXPECT_FALSE(entry.isRefused(seconds(1), {kFirst}));
}

TEST(PartQuarantine, CrashesThatOverlapQuarantineAPartOnceTheyAreFive)
{
    tracked_entry entry;
    for (int i = 0; i < 6; ++i) {
        entry.crash(milliseconds(100 * i), {entry.requestWith({kFirst, kPoison})}, milliseconds(300));
    }
    EXPECT_TRUE(entry.isRefused(seconds(1), {kFirst, kPoison}));
}

TEST(PartQuarantine, RequestThatComesAgainIsBlamedInsteadOfItsParts)
{
    tracked_entry entry;
    const auto poison = entry.requestWith({kFirst, kOther});
    for (int i = 0; i < 4; ++i) {
        entry.crash(seconds(i), {poison, entry.requestWith({kFirst, kOther})});
    }
    EXPECT_FALSE(entry.isRefused(seconds(4), {kFirst, kOther}));
    EXPECT_GT(entry.tracker.quarantinedFor(entry.at(seconds(4)), poison), duration::zero());
}

TEST(PartQuarantine, CrashesOfAPartDoNotCountAgainstRequestsThatRanBeside)
{
    tracked_entry entry;
    const auto beside = entry.requestWith({kFirst});
    for (int i = 0; i < 4; ++i) {
        std::vector<request_fingerprints> requests{entry.requestWith({kFirst, kPoison})};
        if (i > 0) {
            requests.push_back(beside);
        }
        entry.crash(seconds(i), requests);
    }
    EXPECT_TRUE(entry.isRefused(seconds(4), {kFirst, kPoison}));
    EXPECT_EQ(entry.tracker.quarantinedFor(entry.at(seconds(4)), beside), duration::zero());
}

TEST(PartQuarantine, PartBeforeOthersIsFoundAfterFiveCrashes)
{
    tracked_entry entry;
    for (int i = 0; i < 5; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kPoison, static_cast<std::uint64_t>(100 + i)})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(5), {kPoison, 200}));
    EXPECT_FALSE(entry.isRefused(seconds(5), {kPoison})) << "nothing says that it crashes engines by itself";
}

TEST(PartQuarantine, PartThatFollowedTheOneToBlameIsFreed)
{
    tracked_entry entry;
    for (int i = 0; i < 3; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kPoison, kOther})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(3), {kOther}));
    for (int i = 3; i < 8; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kPoison, static_cast<std::uint64_t>(100 + i)})});
    }
    EXPECT_TRUE(entry.isRefused(seconds(8), {kPoison, 200}));
    EXPECT_FALSE(entry.isRefused(seconds(8), {kOther}));
}

// A wrong verdict is revised: the part that ran beside gets fewer crashes than the one to blame.
TEST(PartQuarantine, WrongVerdictIsRevisedByTheNextCrash)
{
    tracked_entry entry;
    for (int i = 0; i < 3; ++i) {
        // The request beside was sent later, so that it seems likelier.
        const upstream_instance instance{"w-" + std::to_string(i), 1};
        entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, entry.requestWith({kPoison}), milliseconds(500));
        entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, entry.requestWith({kOther}), milliseconds(100));
        entry.tracker.noteCrashed(entry.at(seconds(i)), instance);
    }
    EXPECT_TRUE(entry.isRefused(seconds(3), {kOther}));
    entry.crash(seconds(4), {entry.requestWith({kPoison})});
    EXPECT_TRUE(entry.isRefused(seconds(5), {kPoison}));
    EXPECT_FALSE(entry.isRefused(seconds(5), {kOther}));
}

TEST(PartQuarantine, OneTrialAtATimeAfterTheQuarantineAndOneCrashRenewsItForLonger)
{
    tracked_entry entry;
    for (int i = 0; i < 3; ++i) {
        entry.crash(seconds(i), {entry.requestWith({kPoison})});
    }
    const auto admit = [&entry](duration time) { return entry.tracker.admit(entry.at(time), entry.requestWith({kPoison})).refusedFor == duration::zero(); };
    EXPECT_FALSE(admit(minutes(2)));
    entry.tracker.setRank(1);
    EXPECT_FALSE(admit(minutes(2) + seconds(5)));
    EXPECT_TRUE(admit(minutes(2) + seconds(20)));
    EXPECT_FALSE(admit(minutes(2) + seconds(25)));
    entry.crash(minutes(2) + seconds(30), {entry.requestWith({kPoison})});
    EXPECT_FALSE(admit(minutes(2) + seconds(50)));
    EXPECT_FALSE(admit(minutes(6) + seconds(29)));
    entry.tracker.setRank(0);
    EXPECT_TRUE(admit(minutes(6) + seconds(31)));
    entry.complete(minutes(6) + seconds(33), {kPoison});
    EXPECT_TRUE(admit(minutes(6) + seconds(34)));
    EXPECT_TRUE(admit(minutes(6) + seconds(34)));
}

TEST(PartQuarantine, CrashesOfAPartDoNotCountAgainstOthersAfterItsQuarantine)
{
    tracked_entry entry;
    for (int i = 0; i < 3; ++i) {
        const upstream_instance instance{"l-" + std::to_string(i), 1};
        entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, entry.requestWith({kPoison}), milliseconds(100));
        entry.tracker.noteInterrupted(entry.at(seconds(i)), instance, entry.requestWith({kOther}), milliseconds(500));
        entry.tracker.noteCrashed(entry.at(seconds(i)), instance);
    }
    EXPECT_TRUE(entry.isRefused(minutes(1), {kPoison}));
    EXPECT_FALSE(entry.isRefused(minutes(1), {kOther}));
    EXPECT_FALSE(entry.isRefused(minutes(3), {kPoison}));
    entry.tracker.setRank(3);
    entry.crash(minutes(3), {entry.requestWith({99})});
    EXPECT_EQ(entry.tracker.admit(entry.at(minutes(3) + seconds(1)), entry.requestWith({kOther})).refusedFor, duration::zero());
}

TEST(PartQuarantine, EntriesAndRestartedOnesJudgeByWhatAllOfThemSaw)
{
    tracked_entry one;
    tracked_entry other;
    one.complete(seconds(-1), {kFirst});
    for (int i = 0; i < 3; ++i) {
        tracked_entry &seer = i % 2 == 0 ? one : other;
        tracked_entry &told = i % 2 == 0 ? other : one;
        const upstream_instance instance{"e-" + std::to_string(i), 1};
        seer.tracker.noteInterrupted(one.at(seconds(i)), instance, {static_cast<std::uint64_t>(50 + i), {kFirst, kPoison}}, milliseconds(100));
        seer.tracker.noteCrashed(one.at(seconds(i)), instance);
        for (const crash_message &message : seer.tracker.dueMessages(one.at(seconds(i)))) {
            told.tracker.onMessage(one.at(seconds(i)), message);
        }
        for (const crash_message &message : told.tracker.dueMessages(one.at(seconds(i)))) {
            seer.tracker.onMessage(one.at(seconds(i)), message);
        }
    }
    tracked_entry introduced;
    for (const crash_message &message : one.tracker.introduction(one.at(seconds(3)))) {
        introduced.tracker.onMessage(one.at(seconds(3)), message);
    }
    tracked_entry restarted;
    restarted.tracker.onRecord(one.at(seconds(3)), one.tracker.observations(one.at(seconds(3)), 100), true);
    restarted.tracker.onRecord(one.at(seconds(3)), other.tracker.observations(one.at(seconds(3)), 100), false);
    for (tracked_entry *entry : {&one, &other, &introduced, &restarted}) {
        EXPECT_TRUE(entry->isRefused(seconds(3), {kFirst, kPoison}));
        EXPECT_FALSE(entry->isRefused(seconds(3), {kFirst}));
    }
}

TEST(PartQuarantine, MemoryIsBounded)
{
    part_quarantine_settings settings;
    settings.maxSoundParts = 10;
    auto parts = part_quarantine::make(settings);
    for (std::uint64_t i = 0; i < 100; ++i) {
        parts.noteCompleted(instant(seconds(i)), {i});
    }
    EXPECT_EQ(parts.completedReports(instant(seconds(100)), 100).size(), 10U);
    EXPECT_TRUE(parts.isSound(99));
    EXPECT_FALSE(parts.isSound(0));
}

TEST(PromptParts, PromptsWithTheSameBeginningShareItsParts)
{
    const auto words = [](const std::string &word, int count) {
        std::string text;
        for (int i = 0; i < count; ++i) {
            text += word + std::to_string(i) + "  ";
        }
        return text;
    };
    EXPECT_TRUE(promptPartsOf("m", "short").empty());
    EXPECT_TRUE(promptPartsOf("m", words("a", 64)).empty()) << "the whole prompt is no shared part";
    const auto one = promptPartsOf("m", words("a", 130) + words("b", 100));
    const auto other = promptPartsOf("m", words("a", 130) + words("c", 100));
    ASSERT_EQ(one.size(), 3U);
    EXPECT_EQ(one[0], other[0]);
    EXPECT_EQ(one[1], other[1]);
    EXPECT_NE(one[2], other[2]);
    EXPECT_NE(one[0], promptPartsOf("n", words("a", 130))[0]);
    EXPECT_EQ(promptPartsOf("m", words("a", 100'000)).size(), kMaxSharedParts);
}

// An entry that was down when a request was cleared restored its crashes from its own record.
TEST(CrashTracker, EntryThatRestartsIsToldWhichRequestsWereCleared)
{
    tracked_entry stays;
    tracked_entry restarts;
    const request_fingerprints request{77, {}};
    for (int i = 0; i < 3; ++i) {
        const upstream_instance instance{"i-" + std::to_string(i), 1'000};
        for (tracked_entry *entry : {&stays, &restarts}) {
            entry->tracker.noteInterrupted(stays.at(seconds(i)), instance, request, milliseconds(100));
            entry->tracker.noteCrashed(stays.at(seconds(i)), instance);
        }
    }
    const crash_evidence outdated = restarts.tracker.observations(stays.at(seconds(3)), 100);
    stays.tracker.noteCompleted(stays.at(seconds(4)), request);
    tracked_entry restarted;
    restarted.tracker.onRecord(stays.at(seconds(5)), outdated, true);
    EXPECT_GT(restarted.tracker.quarantinedFor(stays.at(seconds(5)), request, false), duration::zero());
    for (const crash_message &message : stays.tracker.introduction(stays.at(seconds(5)))) {
        restarted.tracker.onMessage(stays.at(seconds(5)), message);
    }
    EXPECT_EQ(restarted.tracker.quarantinedFor(stays.at(seconds(5)), request, false), duration::zero());
}
