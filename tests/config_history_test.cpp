#include "heatherroute/config_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>

using namespace heatherroute;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kReplicas = 4;
constexpr int kSteps = 40;
constexpr duration kStep = 500ms;
constexpr duration kRetention = 12s;
constexpr duration kBound = 3s;

struct publication
{
    config_change change;
    std::string text;
};

/// The platform's log, with the decisions and the state of an entry that applies every record.
struct model_log
{
    std::vector<log_record> records;
    std::vector<instant> appendedAt;
    log_offset oldest = 0;
    config_state reference;
    std::vector<std::optional<apply_result>> decided; ///< By offset.
    std::vector<std::uint64_t> digests{config_state().digest()}; ///< By position.

    log_offset next() const
    {
        return records.size();
    }

    /// The end of the log just before @p now.
    log_offset nextBefore(instant now) const
    {
        return static_cast<log_offset>(std::lower_bound(appendedAt.begin(), appendedAt.end(), now) - appendedAt.begin());
    }

    /// Appends a publication. The reference applies the change itself, so that it doesn't depend on the decoder.
    void append(instant now, const publication &wanted)
    {
        decided.emplace_back(reference.apply(next(), wanted.change));
        push(now, wanted.text);
    }

    /// Appends a record that isn't a publication.
    void appendOther(instant now, const std::string &text)
    {
        decided.emplace_back();
        reference.skip(next());
        push(now, text);
    }

    void push(instant now, const std::string &text)
    {
        digests.push_back(reference.digest());
        records.push_back({next(), text});
        appendedAt.push_back(now);
    }

    /// Drops expired records below @p read. A record that no entry read within the retention would be lost whatever the entries do.
    void forget(instant now, log_offset read)
    {
        while (oldest < read && now - appendedAt[oldest] > kRetention) {
            ++oldest;
        }
    }

    log_batch read(log_offset from, std::size_t max) const
    {
        log_batch batch{oldest, next(), {}};
        for (log_offset at = from; at < next() && batch.records.size() < max; ++at) {
            batch.records.push_back(records[at]);
        }
        return batch;
    }
};

struct entry
{
    std::unique_ptr<config_replica> replica;
    bool reachesLog = true;
    std::optional<instant> frozenSince;
    std::optional<log_batch> buffered; ///< An answer that arrived while the entry was frozen.
    log_offset position = 0;
    config_revision revision;
};

/// A transfer from a peer that hasn't arrived yet.
struct delayed_transfer
{
    std::size_t to = 0;
    instant arrivesAt;
    peer_transfer transfer;
};

/// Runs entries through random publications and faults: log outages, restarts, freezes with buffered answers, lost and delayed
/// transfers. Checks that no entry ever decides differently from the complete log, reverts, or counts as fresh
/// before it has applied the records that a fresh entry must have applied.
class random_history
{
public:
    explicit random_history(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < kReplicas; ++i) {
            start(i);
        }
    }

    void run()
    {
        for (int step = 0; step < kSteps; ++step) {
            m_now += kStep;
            m_log.forget(m_now, furthestPosition());
            injectFaults();
            publish();
            for (std::size_t i = 0; i < kReplicas; ++i) {
                stepEntry(i);
            }
        }
        recover();
    }

private:
    bool chance(unsigned percent)
    {
        return m_random() % 100 < percent;
    }

    void start(std::size_t i)
    {
        replica_settings settings;
        settings.freshness.maxProofAge = kBound;
        settings.logRetention = kRetention;
        settings.maxWindowRecords = 6;
        m_entries[i] = {};
        m_entries[i].replica = config_replica::make(settings, m_random());
        m_entries[i].replica->setPeerCount(kReplicas - 1);
    }

    /// Whether a restart of @p i would lose the only copy of expired records: entries have no disks, so one copy must remain.
    bool isLastCopy(std::size_t i) const
    {
        for (std::size_t other = 0; other < kReplicas; ++other) {
            const config_replica &replica = *m_entries[other].replica;
            if (other != i && replica.isEstablished() && replica.state().next() >= m_log.oldest) {
                return false;
            }
        }
        return m_log.oldest > 0;
    }

    log_offset furthestPosition() const
    {
        const auto isBehind = [](const entry &a, const entry &b) { return a.position < b.position; };
        return std::max_element(m_entries.begin(), m_entries.end(), isBehind)->position;
    }

    void injectFaults()
    {
        if (chance(6)) {
            m_isLogDown = !m_isLogDown;
        }
        for (std::size_t i = 0; i < kReplicas; ++i) {
            entry &one = m_entries[i];
            if (chance(8)) {
                one.reachesLog = !one.reachesLog;
            }
            if (chance(4) && !isLastCopy(i)) {
                start(i);
            } else if (one.frozenSince ? chance(20) : chance(4)) {
                one.frozenSince ? resume(i) : freeze(i);
            }
        }
    }

    void freeze(std::size_t i)
    {
        m_entries[i].frozenSince = m_now;
        if (m_log.oldest <= m_entries[i].replica->readFrom()) {
            m_entries[i].buffered = m_log.read(m_entries[i].replica->readFrom(), 8);
        }
    }

    void resume(std::size_t i)
    {
        entry &one = m_entries[i];
        const instant requestedAt = *one.frozenSince;
        one.frozenSince.reset();
        if (one.buffered) {
            check(i, one.replica->onLogRead(requestedAt, m_now, *one.buffered));
            one.buffered.reset();
        }
        if (m_now - requestedAt > kBound) {
            RC_ASSERT(one.replica->isCutOff(m_now));
        }
    }

    config_change randomChange(const config_state &base)
    {
        config_change change;
        change.publishId = "p" + std::to_string(++m_publishes);
        change.baseRevision = base.revision();
        change.half = chance(70) ? "north" : "";
        change.guardHalf = chance(10);
        const std::string name = "u" + std::to_string(m_random() % 5);
        if (chance(25)) {
            change.removals = {name};
        } else {
            upstream value;
            value.name = name;
            value.address = "10.0.0." + std::to_string(m_random() % 7) + ":80";
            value.half = chance(50) ? "north" : "south";
            value.state = chance(20) ? upstream_state::Leaving : upstream_state::Active;
            change.upserts = {value};
        }
        if (chance(20)) {
            change.ruleUpserts = {capacity_floor{"north", upstream_kind::PlainService, "", static_cast<std::uint32_t>(m_random() % 3)}};
        }
        return change;
    }

    void publish()
    {
        if (m_isLogDown) {
            return;
        }
        // An operator whose answer was lost retries with the same text, possibly much later.
        if (!m_unconfirmed.empty() && chance(50)) {
            m_log.append(m_now, m_unconfirmed.front());
            m_unconfirmed.pop_front();
        }
        for (unsigned operators = m_random() % 3; operators > 0; --operators) {
            const config_change change = randomChange(m_entries[m_random() % kReplicas].replica->state());
            const publication wanted{change, encodeRecord(change)};
            const bool isLost = chance(20);
            if (!isLost || chance(50)) {
                m_log.append(m_now, wanted);
            }
            if (isLost) {
                m_unconfirmed.push_back(wanted);
            }
        }
        if (chance(3)) {
            m_log.appendOther(m_now, chance(50) ? "{\"v\":9,\"t\":\"change\"}" : "garbage");
        }
    }

    void stepEntry(std::size_t i)
    {
        entry &one = m_entries[i];
        if (one.frozenSince) {
            return;
        }
        if (one.reachesLog && !m_isLogDown) {
            readLog(i, 1 + m_random() % 8);
        }
        deliverDelayedTransfers(i);
        for (std::size_t peer = 0; peer < kReplicas; ++peer) {
            if (peer != i && !m_entries[peer].frozenSince && chance(80)) {
                const peer_summary summary = m_entries[peer].replica->summary(m_now);
                check(i, one.replica->onPeerSummary(m_now, m_now, std::to_string(peer), summary));
            }
        }
        check(i, one.replica->tick(m_now));
        checkFreshEntryIsUpToDate(i);
    }

    void readLog(std::size_t i, std::size_t max)
    {
        config_replica &replica = *m_entries[i].replica;
        const log_offset from = replica.readFrom();
        check(i, from < m_log.oldest ? replica.onLogTruncated(m_now, m_log.oldest) : replica.onLogRead(m_now, m_now, m_log.read(from, max)));
    }

    /// Checks that all decisions and states of an entry are those that the complete log leads to.
    void check(std::size_t i, const config_effects &effects)
    {
        entry &one = m_entries[i];
        const config_state &state = one.replica->state();
        log_offset decidedFrom = one.position;
        for (const config_effect &effect : effects) {
            if (const auto *decided = std::get_if<publish_decided>(&effect); decided != nullptr) {
                checkDecision(*decided, decidedFrom);
            } else if (const auto *snapshot = std::get_if<append_snapshot>(&effect); snapshot != nullptr) {
                appendSnapshot(snapshot->record);
            } else if (const auto *request = std::get_if<request_from_peer>(&effect); request != nullptr) {
                sendTransfer(i, *request);
            }
            RC_ASSERT(!std::holds_alternative<state_disagreement>(effect));
        }
        RC_ASSERT(state.next() >= one.position);
        const bool isReverted = state.revision() < one.revision;
        RC_ASSERT(!isReverted);
        RC_ASSERT(state.digest() == m_log.digests[state.next()]);
        one.position = state.next();
        one.revision = state.revision();
    }

    void checkDecision(const publish_decided &decided, log_offset &from)
    {
        // The effect of a duplicate names the earlier offset, so decisions are matched in the order of the log.
        while (from < m_log.next() && (!m_log.decided[from] || !(*m_log.decided[from] == decided.result))) {
            ++from;
        }
        RC_ASSERT(from < m_log.next());
        ++from;
    }

    void appendSnapshot(const std::string &record)
    {
        if (!m_isLogDown && chance(80)) {
            m_log.appendOther(m_now, record);
        }
        if (!m_isLogDown && chance(20)) {
            m_log.appendOther(m_now, record);
        }
    }

    void sendTransfer(std::size_t i, const request_from_peer &request)
    {
        const entry &peer = m_entries[std::stoul(request.peer)];
        if (peer.frozenSince || !chance(80)) {
            return;
        }
        peer_request sent = request.request;
        sent.fullState = sent.fullState || chance(20);
        const peer_transfer transfer = peer.replica->transferFor(sent);
        if (chance(30)) {
            m_delayedTransfers.push_back({i, m_now + kStep * (1 + m_random() % 8), transfer});
        }
        if (chance(80)) {
            check(i, m_entries[i].replica->onPeerTransfer(m_now, transfer));
        }
    }

    /// Delivers the transfers that are due. By then the entry may be ahead of the transfer, or have restarted.
    void deliverDelayedTransfers(std::size_t i)
    {
        const auto isDue = [&](const delayed_transfer &one) { return one.to == i && one.arrivesAt <= m_now; };
        for (auto found = std::find_if(m_delayedTransfers.begin(), m_delayedTransfers.end(), isDue); found != m_delayedTransfers.end();
             found = std::find_if(m_delayedTransfers.begin(), m_delayedTransfers.end(), isDue)) {
            const peer_transfer transfer = std::move(found->transfer);
            m_delayedTransfers.erase(found);
            check(i, m_entries[i].replica->onPeerTransfer(m_now, transfer));
        }
    }

    /// Checks that an entry with a recent freshness proof has applied all records older than the max age of a proof.
    void checkFreshEntryIsUpToDate(std::size_t i)
    {
        const entry &one = m_entries[i];
        if (one.reachesLog && !m_isLogDown && !one.replica->isCutOff(m_now) && one.replica->proofAge(m_now).value_or(kBound * 2) <= kBound) {
            RC_ASSERT(one.replica->state().next() >= m_log.nextBefore(m_now - kBound));
        }
    }

    void recover()
    {
        m_isLogDown = false;
        for (entry &one : m_entries) {
            one.reachesLog = true;
            one.frozenSince.reset();
            one.buffered.reset();
        }
        for (int round = 0; round < 10; ++round) {
            m_now += kStep;
            for (std::size_t i = 0; i < kReplicas; ++i) {
                stepEntry(i);
                readLog(i, 100);
            }
        }
        for (std::size_t i = 0; i < kReplicas; ++i) {
            readLog(i, 100);
            RC_ASSERT(m_entries[i].replica->isEstablished());
            RC_ASSERT(m_entries[i].replica->state().next() == m_log.next());
            RC_ASSERT(m_entries[i].replica->state().digest() == m_log.reference.digest());
            RC_ASSERT(!m_entries[i].replica->isCutOff(m_now));
        }
    }

    std::mt19937_64 m_random;
    instant m_now{1h};
    bool m_isLogDown = false;
    model_log m_log;
    std::array<entry, kReplicas> m_entries;
    std::deque<publication> m_unconfirmed;
    std::vector<delayed_transfer> m_delayedTransfers;
    int m_publishes = 0;
};

} // namespace

// RapidCheck runs 100 cases with 100 seeds each, so this tests 10,000 histories.
RC_GTEST_PROP(config_history, neverRevertsAndNeverDisagrees, ())
{
    const auto anySeed = rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    for (const std::uint64_t seed : *rc::gen::container<std::vector<std::uint64_t>>(100, anySeed)) {
        random_history(seed).run();
    }
}
