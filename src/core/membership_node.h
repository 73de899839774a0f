#pragma once

#include "core/membership_gossip.h"
#include "core/membership_table.h"
#include "heatherroute/membership.h"

#include <deque>
#include <map>
#include <optional>

namespace heatherroute
{

/**
 * The implementation of `membership`.
 *
 * membership_node.cpp maintains the state of each member; membership_probing.cpp handles timers and messages.
 * Not thread safe.
 */
class membership_node final : public membership
{
public:
    membership_node(const membership_settings &settings, const member &self, std::uint64_t seed);

    membership_effects handle(instant now, const membership_event &event) override;
    const member &self() const override;
    std::vector<member> members() const override;
    std::optional<instant> lastReceivedAt() const override;
    membership_dump dump() const override;

private:
    struct pending_probe
    {
        std::uint32_t number = 0;
        member_id target;
        instant ackDeadline;
        bool indirectSent = false;
        bool answered = false;
    };
    struct suspicion
    {
        instant deadline; // When the member is declared dead.
        std::uint32_t finalProbesLeft = 0; // Probes to send before that.
    };
    struct relayed_probe
    {
        std::uint32_t number = 0; // Number of the probe that this member sent on behalf of another.
        std::string originAddress;
        std::uint32_t originNumber = 0;
    };

    // Events.
    void on(const membership_timer &event);
    void on(const membership_received &event);
    void on(const membership_hints &event);
    void on(const membership_summary &event);
    void on(const membership_leave &event);
    void on(const membership_departed &event);

    // Messages.
    void receive(const membership_received &from, const probe &body);
    void receive(const membership_received &from, const probe_ack &body);
    void receive(const membership_received &from, const indirect_probe &body);
    void receive(const membership_received &from, const join_request &body);
    void receive(const membership_received &from, const sync_request &body);
    void receive(const membership_received &from, const sync_page &body);
    void noteMessageFrom(const membership_received &from);
    void noteAnswerFrom(const member_id &id);
    void noteSummary(const member_id &sender, const node_summary &summary);
    void send(const std::string &address, peer_body body);
    void sendProbe(std::uint32_t number, const member_id &target, const std::string &address);
    void sendJoin(const std::string &address);
    void sendSyncPage(const std::string &address, const member_id &after);
    std::vector<member_update> updatesFor(const member_id &receiver);

    // States of the members.
    enum class dissemination { No, Yes };
    void apply(const member_update &update, dissemination disseminate);
    void applyAll(const std::vector<member_update> &updates, dissemination disseminate);
    void applyToSelf(const member_update &update);
    void addMember(const member_update &update, dissemination disseminate);
    void changeState(const member &known, member_state state, std::uint32_t refutation);
    void suspect(const member &target);
    void announceSelf();
    void queueUpdate(const member_update &update);
    member_update updateOfSelf() const;

    // Timers.
    void onLateTimer(duration lateness);
    bool isSuppressingSuspicions() const;
    void raiseLocalHealthScore(std::uint32_t amount);
    duration scaled(duration base) const;
    duration suspicionTimeout() const;
    suspicion newSuspicion() const;
    instant nextActionAt(const suspicion &pending) const;
    void advanceSuspicions();
    void declareDead(const member_id &id);
    void finishProbe();
    void startProbe();
    void sendIndirectProbes();
    void sendFinalProbe(const member &suspect);
    void contactAbsentMembers();
    void requestSync();
    void runPeriod();
    instant nextWake() const;

    membership_settings m_settings;
    member m_self;
    std::mt19937_64 m_random;
    membership_table m_table;
    membership_gossip m_gossip;
    std::vector<std::string> m_hints;
    std::map<member_id, suspicion> m_suspicions; // Includes leaving members that don't answer.
    std::optional<pending_probe> m_probe;
    std::deque<relayed_probe> m_relayedProbes;
    std::uint32_t m_lastNumber = 0;
    std::uint64_t m_periods = 0;
    member_id m_syncAfter;
    bool m_joining = true; // True until the whole member list has been fetched once.
    std::uint32_t m_localHealthScore = 0;
    instant m_now;
    bool m_started = false;
    instant m_nextPeriod;
    instant m_wakeAt;
    instant m_suppressSuspicionsUntil;
    std::optional<instant> m_lastReceivedAt;
    membership_counters m_counters;
    membership_effects m_effects;
};

} // namespace heatherroute
