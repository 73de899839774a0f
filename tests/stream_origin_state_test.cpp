#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "relay/origin_record_requests.h"
#include "relay/origin_recorder.h"
#include "relay/stream_origin_exchange.h"

using namespace heatherroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int kStepMs = 20;
constexpr int kStepsPerSecond = 1'000 / kStepMs;
constexpr int kRunSteps = 30 * kStepsPerSecond;
constexpr int kPrefillSteps = 5; ///< From the choice of an engine until its first event.
constexpr int kKeptByAllSteps = 20;
constexpr int kDetectionSteps = 5 * kStepsPerSecond / 2;
constexpr int kJoinSteps = kStepsPerSecond / 2;
constexpr int kDownSteps = kStepsPerSecond;
constexpr int kMaxStreamSteps = 5 * kStepsPerSecond;
constexpr int kTickSteps = 5;
constexpr int kMaxHoldSteps = 15; ///< For which the first event of a stream waits for its record.
constexpr int kUnrecordedSteps = kStepsPerSecond; ///< From the first event of a stream until its origin is in a record at the latest.

/// Entries that begin streams and are lost in groups, while the callers of their streams come back at others.
class fleet_with_two_versions
{
public:
    fleet_with_two_versions(std::size_t entries, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < entries; ++i) {
            m_entries.emplace_back(i);
        }
        updateViews(true);
    }

    int lostPerCent = 0;
    int repeatedPerCent = 0;
    int maxDelaySteps = 1;
    int killsPerThousandSeconds = 0; ///< Of a group.
    int groupPerCent = 35; ///< Of the entries are in a group.
    int stopsPerThousandSeconds = 0; ///< Planned ones, of one entry.
    int versionChangePerCent = 0; ///< Attempts that begin at another version than the engine that was chosen first.
    int resumePerCent = 20; ///< Streams whose connection breaks though their entry lives.
    bool hasStore = false; ///< The entries record origins in a store.
    bool holdsFirstEvents = false; ///< Until their streams are recorded.
    int maxAppendSteps = 0; ///< Time that the store takes for a record.
    int maxComebackSteps = 1; ///< From the loss of its entry until the caller comes back.

    void run()
    {
        for (m_step = 0; m_step < kRunSteps; ++m_step) {
            disturb();
            updateViews(false);
            deliver();
            beginStreams();
            endStreams();
            comeBack();
            for (std::size_t i = 0; m_step % kTickSteps == 0 && i < m_entries.size(); ++i) {
                if (m_entries[i].isUp) {
                    carryOut(i, m_entries[i].exchange.advance(now()));
                    sendOrigins(i);
                }
            }
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                if (m_entries[i].isUp) {
                    record(i);
                }
            }
        }
    }

    int wrong() const
    {
        return m_wrong;
    }
    int resumes() const
    {
        return m_resumes;
    }
    int known() const
    {
        return m_known;
    }

private:
    struct entry
    {
        explicit entry(std::size_t index)
            : recorder(origin_recorder::make({}, nameOf(index)))
        { }

        origin_recorder recorder;
        origin_record_requests requests = origin_record_requests::make({});
        std::vector<stream_origin> appended; ///< The record that the store is taking.
        int appendEndsAt = 0;
        stream_origin_exchange exchange = stream_origin_exchange::make({}, [](const sought_stream &) { return std::nullopt; });
        bool isUp = true;
        int downUntil = 0;
        std::uint64_t starts = 0;
        std::set<std::size_t> known;
        std::map<std::uint32_t, std::uint64_t> queries; ///< Streams by the number of the query.
        std::size_t read = 0; ///< Records of the store that it has read.
    };
    struct stream
    {
        std::size_t entry = 0;
        std::uint64_t starts = 0;
        std::string version;
        int beginsAt = 0; ///< With the first event.
        int endsAt = 0;
        bool changesVersion = false;
        bool hasChanged = false;
        bool hasBegun = false;
        std::optional<int> heldSince; ///< When its first event came, if that waits for the record.
        bool breaks = false;
    };
    struct message
    {
        int step = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t starts = 0;
        stream_origin_message body;
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
    static std::string nameOf(std::size_t index)
    {
        return "entry-" + std::to_string(index);
    }
    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":1";
    }

    void kill(std::size_t index)
    {
        entry &one = m_entries[index];
        // The store may or may not take a record whose writer is lost.
        if (below(2) == 0) {
            m_recorded.insert(m_recorded.end(), one.appended.begin(), one.appended.end());
        }
        const std::uint64_t starts = one.starts + 1;
        one = entry(index);
        one.starts = starts;
        one.isUp = false;
        one.downUntil = m_step + kDownSteps;
    }

    void disturb()
    {
        if (happens(killsPerThousandSeconds)) {
            std::vector<std::size_t> order(m_entries.size());
            for (std::size_t i = 0; i < order.size(); ++i) {
                order[i] = i;
            }
            std::shuffle(order.begin(), order.end(), m_random);
            for (std::size_t i = 0; i < order.size() * static_cast<std::size_t>(groupPerCent) / 100; ++i) {
                kill(order[i]);
            }
        }
        if (happens(stopsPerThousandSeconds)) {
            const std::size_t index = anyEntry();
            if (m_entries[index].isUp) {
                for (const addressed_origin_message &each : m_entries[index].exchange.handOver(now())) {
                    post(index, each);
                }
                kill(index);
            }
        }
        for (entry &one : m_entries) {
            one.isUp = one.isUp || one.downUntil <= m_step;
        }
    }

    void updateViews(bool atOnce)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            entry &one = m_entries[i];
            if (!one.isUp) {
                continue;
            }
            std::set<std::size_t> present;
            for (std::size_t j = 0; j < m_entries.size(); ++j) {
                const bool isThere = m_entries[j].isUp;
                const bool wasKnown = one.known.contains(j);
                int &since = m_viewChanged[{i, j}];
                since = isThere == wasKnown ? m_step : since;
                const int delay = isThere ? kJoinSteps : kDetectionSteps;
                const bool changes = isThere != wasKnown && (atOnce || m_step - since >= delay + static_cast<int>((i * 7 + j * 3) % 20));
                if (i != j && (changes ? isThere : wasKnown)) {
                    present.insert(j);
                }
            }
            if (present != one.known) {
                one.known = present;
                std::vector<member> others;
                for (const std::size_t j : present) {
                    member other;
                    other.id = {nameOf(j), m_entries[j].starts};
                    other.peerAddress = addressOf(j);
                    others.push_back(other);
                }
                one.exchange.setMembers(others);
                if (one.recorder.setMembers(others)) {
                    one.requests.repeatAll();
                }
            }
        }
    }

    void post(std::size_t from, const addressed_origin_message &addressed)
    {
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (addressOf(to) != addressed.peerAddress) {
                continue;
            }
            const int copies = below(100) < lostPerCent ? 0 : (below(100) < repeatedPerCent ? 2 : 1);
            for (int i = 0; i < copies; ++i) {
                m_messages.push_back({m_step + below(maxDelaySteps + 1), from, to, m_entries[to].starts, addressed.message});
            }
        }
    }

    void carryOut(std::size_t index, const origin_effects &effects)
    {
        for (const addressed_origin_message &each : effects.sends) {
            post(index, each);
        }
        for (const origin_query_result &result : effects.results) {
            const auto found = m_entries[index].queries.find(result.number);
            if (found != m_entries[index].queries.end()) {
                noteResume(found->second, result.origin ? result.origin : findInStore(index, found->second));
                m_entries[index].queries.erase(found);
            }
        }
    }

    void sendOrigins(std::size_t index)
    {
        for (const addressed_origin_message &each : m_entries[index].recorder.dueMessages()) {
            post(index, each);
        }
        sendRequests(index);
    }

    void sendRequests(std::size_t index)
    {
        entry &one = m_entries[index];
        for (const auto &[request, sends] : one.requests.dueRequests(now())) {
            for (const addressed_origin_message &each : one.recorder.requestMessages(request)) {
                post(index, each);
            }
            if (one.recorder.isRecorder()) {
                one.recorder.onRequest(now(), {}, request);
            }
            if (sends == 2) {
                one.recorder.add(request.origin);
            }
        }
    }

    void record(std::size_t index)
    {
        entry &one = m_entries[index];
        if (!one.appended.empty() && m_step >= one.appendEndsAt) {
            m_recorded.insert(m_recorded.end(), one.appended.begin(), one.appended.end());
            one.appended.clear();
            for (const origin_requester &requester : one.recorder.onRecorded()) {
                if (requester.peerAddress.empty()) {
                    one.requests.onAck(requester.ack);
                } else {
                    post(index, {requester.peerAddress, requester.ack});
                }
            }
        }
        if (one.appended.empty()) {
            one.appended = one.recorder.dueRecord(now());
            one.appendEndsAt = m_step + below(maxAppendSteps + 1);
        }
    }

    std::optional<stream_origin> findInStore(std::size_t index, std::uint64_t key)
    {
        entry &one = m_entries[index];
        for (; hasStore && one.read < m_recorded.size(); ++one.read) {
            one.exchange.note(now(), m_recorded[one.read]);
        }
        return one.exchange.find(now(), {key, "llm", seconds(19)});
    }

    void noteResume(std::uint64_t key, const std::optional<stream_origin> &origin)
    {
        m_resumes += m_unrecorded.contains(key) ? 0 : 1;
        m_known += origin && !m_unrecorded.contains(key) ? 1 : 0;
        m_wrong += origin && origin->version != m_begun.at(key) ? 1 : 0;
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
            if (m_entries[one.to].isUp && m_entries[one.to].starts == one.starts) {
                if (const auto *batch = std::get_if<stream_origin_batch>(&one.body)) {
                    m_entries[one.to].recorder.onBatch(*batch);
                    continue;
                }
                if (const auto *request = std::get_if<origin_record_request>(&one.body)) {
                    m_entries[one.to].recorder.onRequest(now(), addressOf(one.from), *request);
                    continue;
                }
                if (const auto *ack = std::get_if<origin_record_ack>(&one.body)) {
                    m_entries[one.to].requests.onAck(*ack);
                    continue;
                }
                carryOut(one.to, m_entries[one.to].exchange.onMessage(now(), addressOf(one.from), one.body));
            }
        }
    }

    void tell(std::uint64_t key, const stream &one, std::uint32_t revision)
    {
        const stream_origin origin{key, revision, 14'000, "llm", one.version};
        for (const addressed_origin_message &each : m_entries[one.entry].exchange.tell(now(), origin)) {
            post(one.entry, each);
        }
    }

    void beginStreams()
    {
        const std::size_t index = anyEntry();
        if (!m_entries[index].isUp) {
            return;
        }
        stream one;
        one.entry = index;
        one.starts = m_entries[index].starts;
        one.version = below(2) == 0 ? "v1" : "v1.1";
        one.changesVersion = below(100) < versionChangePerCent;
        one.beginsAt = m_step + kPrefillSteps;
        one.endsAt = one.beginsAt + 1 + below(kMaxStreamSteps);
        one.breaks = below(100) < resumePerCent;
        const std::uint64_t key = ++m_lastStream;
        tell(key, one, 1);
        m_streams.emplace(key, one);
    }

    bool isAlive(const stream &one) const
    {
        return m_entries[one.entry].isUp && m_entries[one.entry].starts == one.starts;
    }

    void endStreams()
    {
        std::vector<std::uint64_t> ended;
        for (auto &[key, one] : m_streams) {
            if (!isAlive(one)) {
                if (one.hasBegun && hasStore && !holdsFirstEvents && m_step - one.beginsAt < kUnrecordedSteps) {
                    m_unrecorded.insert(key);
                }
                if (one.hasBegun) {
                    m_comebacks.emplace(m_step + below(maxComebackSteps), key);
                }
                ended.push_back(key);
            } else if (!one.hasBegun && m_step >= one.beginsAt) {
                advanceStart(key, one, ended);
            } else if (one.hasBegun && m_step >= one.endsAt) {
                m_entries[one.entry].exchange.finish(key);
                if (one.breaks) {
                    resume(key);
                }
                ended.push_back(key);
            }
        }
        for (const std::uint64_t key : ended) {
            m_streams.erase(key);
        }
    }

    void advanceStart(std::uint64_t key, stream &one, std::vector<std::uint64_t> &ended)
    {
        if (one.changesVersion && !one.hasChanged) {
            one.hasChanged = true;
            one.version = one.version == "v1" ? "v1.1" : "v1";
            tell(key, one, 2);
            return;
        }
        if (one.hasChanged && !m_entries[one.entry].exchange.isKeptByAll(key)) {
            if (m_step >= one.beginsAt + kKeptByAllSteps) {
                m_entries[one.entry].exchange.finish(key);
                ended.push_back(key);
            }
            return;
        }
        if (isHeld(key, one)) {
            return;
        }
        one.hasBegun = true;
        one.endsAt = std::max(one.endsAt, m_step + 1);
        m_begun.emplace(key, one.version);
        const auto told = m_entries[one.entry].exchange.toldOrigin(key);
        if (told && !holdsFirstEvents) {
            m_entries[one.entry].recorder.add(*told);
        }
    }

    /// Whether the first event, which has come, waits for the record of its stream.
    bool isHeld(std::uint64_t key, stream &one)
    {
        origin_record_requests &requests = m_entries[one.entry].requests;
        if (!holdsFirstEvents) {
            return false;
        }
        const auto told = m_entries[one.entry].exchange.toldOrigin(key);
        if (!one.heldSince && told) {
            one.heldSince = m_step;
            requests.add(*told);
            sendRequests(one.entry);
        }
        return requests.isOpen(key) && !requests.isOverdue(now()) && m_step - *one.heldSince < kMaxHoldSteps;
    }

    void comeBack()
    {
        while (!m_comebacks.empty() && m_comebacks.begin()->first <= m_step) {
            const std::uint64_t key = m_comebacks.begin()->second;
            m_comebacks.erase(m_comebacks.begin());
            resume(key);
        }
    }

    void resume(std::uint64_t key)
    {
        const std::size_t index = anyEntry();
        entry &one = m_entries[index];
        if (!one.isUp) {
            return;
        }
        if (const auto known = one.exchange.find(now(), {key, "llm", seconds(19)})) {
            noteResume(key, known);
            return;
        }
        std::vector<addressed_origin_message> sends;
        one.queries.emplace(one.exchange.ask(now(), {key, "llm", seconds(19)}, &sends), key);
        for (const addressed_origin_message &each : sends) {
            post(index, each);
        }
    }

    std::mt19937_64 m_random;
    std::vector<entry> m_entries;
    std::vector<message> m_messages;
    std::map<std::pair<std::size_t, std::size_t>, int> m_viewChanged;
    std::map<std::uint64_t, stream> m_streams;
    std::multimap<int, std::uint64_t> m_comebacks; ///< Of callers whose entry is lost, by step.
    std::vector<stream_origin> m_recorded; ///< In the store.
    std::set<std::uint64_t> m_unrecorded; ///< Streams that had begun too late before the loss of their entry to be in a record.
    std::map<std::uint64_t, std::string> m_begun; ///< The version of each stream's first event.
    std::uint64_t m_lastStream = 0;
    int m_step = 0;
    int m_wrong = 0;
    int m_resumes = 0;
    int m_known = 0;
};

fleet_with_two_versions makeFleet(std::size_t minEntries)
{
    fleet_with_two_versions fleet(*rc::gen::inRange<std::size_t>(minEntries, 25), *rc::gen::arbitrary<std::uint64_t>());
    fleet.maxDelaySteps = *rc::gen::inRange(0, 3);
    fleet.versionChangePerCent = *rc::gen::inRange(0, 30);
    return fleet;
}

void checkFleet(fleet_with_two_versions &fleet)
{
    fleet.run();
    RC_LOG() << fleet.resumes() << " resumes, " << fleet.known() << " with a known version, " << fleet.wrong() << " with a wrong one";
    RC_ASSERT(fleet.wrong() == 0);
}

} // namespace

// Load pattern: connections of callers break, and they come back at another entry.
RC_GTEST_PROP(StreamOriginState, OriginIsKnownAtOtherEntries, ())
{
    auto fleet = makeFleet(2);
    fleet.lostPerCent = *rc::gen::inRange(0, 5);
    checkFleet(fleet);
    RC_ASSERT(fleet.known() * 20 >= fleet.resumes() * 19);
}

// Load pattern: a third of the entries are killed at the same moment, and start again after a second.
RC_GTEST_PROP(StreamOriginState, OriginOutlivesItsEntryAndAThirdOfTheOthers, ())
{
    auto fleet = makeFleet(8);
    fleet.lostPerCent = *rc::gen::inRange(0, 5);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(50, 200);
    checkFleet(fleet);
    RC_ASSERT(fleet.known() * 2 >= fleet.resumes());
}

// Load pattern: entries are stopped and started in turn.
RC_GTEST_PROP(StreamOriginState, OriginOutlivesPlannedStops, ())
{
    auto fleet = makeFleet(4);
    fleet.stopsPerThousandSeconds = *rc::gen::inRange(100, 500);
    checkFleet(fleet);
    RC_ASSERT(fleet.known() * 2 >= fleet.resumes());
}

// Load pattern: messages are lost, late and repeated, and entries are killed in groups of any size.
RC_GTEST_PROP(StreamOriginState, OriginIsNeverWrong, ())
{
    auto fleet = makeFleet(2);
    fleet.versionChangePerCent = *rc::gen::inRange(0, 101);
    fleet.lostPerCent = *rc::gen::inRange(0, 60);
    fleet.repeatedPerCent = *rc::gen::inRange(0, 50);
    fleet.maxDelaySteps = *rc::gen::inRange(0, 30);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(0, 300);
    fleet.groupPerCent = *rc::gen::inRange(10, 101);
    checkFleet(fleet);
}

// Load pattern: all entries lose power at the same moment, and start again after a second; callers come back within the seconds after that.
RC_GTEST_PROP(StreamOriginState, RecordedOriginsOutliveALossOfPowerOfAllEntries, ())
{
    auto fleet = makeFleet(2);
    fleet.hasStore = true;
    fleet.lostPerCent = *rc::gen::inRange(0, 5);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(50, 150);
    fleet.groupPerCent = 100;
    fleet.resumePerCent = 0;
    fleet.maxComebackSteps = 4 * kStepsPerSecond;
    checkFleet(fleet);
    RC_ASSERT(fleet.known() * 20 >= fleet.resumes() * 19);
}

// Load pattern: as above, with streams that have just begun. All of them were unknown while their first events didn't wait for the records.
RC_GTEST_PROP(StreamOriginState, StreamsThatWaitForTheirRecordsOutliveALossOfPowerOfAllEntries, ())
{
    auto fleet = makeFleet(2);
    fleet.hasStore = true;
    fleet.holdsFirstEvents = true;
    fleet.maxAppendSteps = *rc::gen::inRange(0, 6);
    fleet.lostPerCent = *rc::gen::inRange(0, 5);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(50, 150);
    fleet.groupPerCent = 100;
    fleet.resumePerCent = 0;
    fleet.maxComebackSteps = 4 * kStepsPerSecond;
    checkFleet(fleet);
    RC_ASSERT(fleet.known() * 20 >= fleet.resumes() * 19);
}

// Load pattern: entries are killed in groups of any size, the recorders among them, while the store is slow and messages are lost, late and repeated.
RC_GTEST_PROP(StreamOriginState, RecordedOriginIsNeverWrong, ())
{
    auto fleet = makeFleet(2);
    fleet.hasStore = true;
    fleet.holdsFirstEvents = true;
    fleet.maxAppendSteps = *rc::gen::inRange(0, 100);
    fleet.versionChangePerCent = *rc::gen::inRange(0, 101);
    fleet.lostPerCent = *rc::gen::inRange(0, 60);
    fleet.repeatedPerCent = *rc::gen::inRange(0, 50);
    fleet.maxDelaySteps = *rc::gen::inRange(0, 30);
    fleet.killsPerThousandSeconds = *rc::gen::inRange(0, 300);
    fleet.groupPerCent = *rc::gen::inRange(10, 101);
    checkFleet(fleet);
}
