#include "relay/request_forwarding.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace heatherroute
{

namespace
{

constexpr std::array kDeclines = {forward_decline::CutOff, forward_decline::Suspected, forward_decline::Busy, forward_decline::NotReady};

/// While an entry that couldn't be connected to is left out. Its failure detection among the entries takes about as long.
constexpr connect_backoff_settings kEntryBackoff{std::chrono::milliseconds(500), std::chrono::milliseconds(2'000)};

} // namespace

std::string_view toString(forward_decline reason) noexcept
{
    switch (reason) {
    case forward_decline::CutOff:
        return "cut_off";
    case forward_decline::Suspected:
        return "suspected";
    case forward_decline::Busy:
        return "busy";
    case forward_decline::NotReady:
        return "not_ready";
    }
    return "not_ready";
}

std::optional<forward_decline> parseForwardDecline(std::string_view name) noexcept
{
    const auto found = std::find_if(kDeclines.begin(), kDeclines.end(), [name](forward_decline reason) { return toString(reason) == name; });
    return found == kDeclines.end() ? std::nullopt : std::optional(*found);
}

request_forwarding request_forwarding::make(const forwarding_settings &settings, std::string ownZone)
{
    return request_forwarding(settings, std::move(ownZone));
}

request_forwarding::request_forwarding(const forwarding_settings &settings, std::string ownZone)
    : m_settings(settings)
    , m_ownZone(std::move(ownZone))
    , m_connects(connect_backoff::make(kEntryBackoff))
{ }

void request_forwarding::setMembers(const std::vector<member> &others)
{
    std::set<std::string> present;
    for (const member &other : others) {
        present.insert(other.peerAddress);
        known_entry &entry = m_entries[other.peerAddress];
        if (entry.id != other.id) {
            const std::size_t inFlight = entry.inFlight;
            // A statement may come before the change of members that tells of its sender.
            const bool isStatementOfNew = entry.incarnation == other.id.incarnation;
            entry = isStatementOfNew ? entry : known_entry{};
            entry.inFlight = inFlight;
            entry.id = other.id;
        }
        entry.zone = other.zone;
        entry.isAlive = other.state == member_state::Alive;
    }
    std::erase_if(m_entries, [&present](const auto &known) { return !present.contains(known.first) && known.second.inFlight == 0; });
    for (auto &[peerAddress, entry] : m_entries) {
        entry.isAlive = entry.isAlive && present.contains(peerAddress);
    }
}

void request_forwarding::onStatement(instant now, const std::string &from, const entry_reach &statement)
{
    known_entry &entry = m_entries[from];
    if (entry.incarnation == statement.incarnation && statement.number < entry.number) {
        return;
    }
    const bool isRepeated = entry.incarnation == statement.incarnation && statement.number == entry.number && !entry.address.empty();
    entry.incarnation = statement.incarnation;
    entry.number = statement.number;
    entry.address = statement.address;
    if (isRepeated) {
        return;
    }
    entry.cutOffAt.clear();
    for (const std::string &pool : statement.cutOffPools) {
        entry.cutOffAt[pool] = now;
    }
}

void request_forwarding::noteDeclined(instant now, const std::string &peerAddress, const std::set<std::string> &pools, forward_decline reason)
{
    const auto found = m_entries.find(peerAddress);
    if (found == m_entries.end()) {
        return;
    }
    if (reason != forward_decline::CutOff) {
        found->second.declinesUntil = now + m_settings.declineLifetime;
        return;
    }
    for (const std::string &pool : pools) {
        found->second.cutOffAt[pool] = now;
    }
}

void request_forwarding::noteUnreachable(instant now, const std::string &peerAddress)
{
    m_connects.noteUnreachable(now, peerAddress);
}

void request_forwarding::noteAnswered(const std::string &peerAddress)
{
    m_connects.noteAnswered(peerAddress);
}

void request_forwarding::noteBegun(const std::string &peerAddress)
{
    m_entries[peerAddress].inFlight += 1;
}

void request_forwarding::noteEnded(const std::string &peerAddress)
{
    if (const auto found = m_entries.find(peerAddress); found != m_entries.end() && found->second.inFlight > 0) {
        found->second.inFlight -= 1;
    }
}

std::optional<duration> request_forwarding::cutOffAge(instant now, const known_entry &entry, const forwarding_question &question) const
{
    std::optional<duration> youngest;
    for (const std::string &pool : question.pools) {
        const auto said = entry.cutOffAt.find(pool);
        if (said != entry.cutOffAt.end() && now - said->second < m_settings.statementLifetime) {
            youngest = std::min(youngest.value_or(duration::max()), now - said->second);
        }
    }
    return youngest;
}

bool request_forwarding::mayAsk(instant now, const known_entry &entry, const std::string &peerAddress, const forwarding_question &question) const
{
    return entry.isAlive && !entry.address.empty() && entry.inFlight < m_settings.maxInFlightPerEntry && m_connects.isReachable(now, peerAddress)
           && !question.asked.contains(peerAddress);
}

forwarding_decision request_forwarding::decide(instant now, const forwarding_question &question, std::mt19937_64 &random) const
{
    if (question.isReachedHere) {
        return {};
    }
    forwarding_decision best{serving_place::Nowhere, {}, {}, {}};
    if (question.isFromEntry || question.asked.size() >= m_settings.maxAsked || question.timeLeft < m_settings.minTimeLeft) {
        return best;
    }
    std::tuple<bool, double, std::uint64_t> bestCost{};
    for (const auto &[peerAddress, entry] : m_entries) {
        if (!mayAsk(now, entry, peerAddress, question)) {
            continue;
        }
        const std::optional<duration> age = cutOffAge(now, entry, question);
        const bool isDoubtful = age || entry.declinesUntil > now;
        if ((age && *age < m_settings.recheckDelay) || (isDoubtful && question.asked.size() >= m_settings.maxDoubtfulAsked)) {
            continue;
        }
        const double distance = entry.zone == m_ownZone ? 0.0 : m_settings.distantCost;
        const std::tuple<bool, double, std::uint64_t> cost{isDoubtful, static_cast<double>(entry.inFlight) + distance, random()};
        if (best.place == serving_place::Nowhere || cost < bestCost) {
            bestCost = cost;
            best = {serving_place::OtherEntry, entry.id.name, peerAddress, entry.address};
        }
    }
    return best;
}

} // namespace heatherroute
