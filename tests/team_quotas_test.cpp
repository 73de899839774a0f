#include "node/team_quotas.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <map>
#include <utility>

using namespace heatherroute;
using namespace heatherroute::node;
namespace asio = boost::asio;

namespace
{

member makeMember(const std::string &name)
{
    member result;
    result.id = {name, 1};
    result.peerAddress = name + ":1";
    return result;
}

/// The quotas of the entry "a", which has just started and so asks the others, without a network.
struct quotas_of_an_entry
{
    quotas_of_an_entry()
        : quotas(context.get_executor(), hooks(), "a", 1)
    {
        quotas.setMembers({makeMember("b"), makeMember("c")});
        charged.name = "t";
        charged.quota = team_quota{100, 100, quota_unit::Tokens, 1};
    }

    team_quotas_hooks hooks()
    {
        team_quotas_hooks result;
        result.log = [this](log_level, const std::string &event, const std::vector<log_field> &) { events[event] += 1; };
        result.send = [this](const team_quota_message &message, const std::string &peerAddress) {
            sent.emplace_back(message, peerAddress);
            if (const auto *request = std::get_if<quota_request>(&message); request != nullptr && reply) {
                quota_reply answer = *reply;
                answer.number = request->number;
                asio::post(context, [this, answer, peerAddress] { quotas.onMessage(peerAddress, answer); });
            }
        };
        result.count = [this](const std::string &team, const std::string &outcome) { counts[team + " " + outcome] += 1; };
        return result;
    }

    quota_verdict charge()
    {
        quota_verdict result;
        const auto run = [&]() -> asio::awaitable<void> { result = co_await quotas.charge(charged, 10, 7); };
        asio::co_spawn(context, run, asio::detached);
        context.restart();
        context.run();
        return result;
    }

    asio::io_context context;
    std::vector<std::pair<team_quota_message, std::string>> sent;
    std::map<std::string, int> events;
    std::map<std::string, int> counts;
    std::optional<quota_reply> reply; ///< Of every coordinator.
    team charged;
    team_quotas quotas;
};

// Guards against a message or a count for a team that has no quota.
TEST(TeamQuotas, ATeamWithoutQuotaIsGrantedAtOnce)
{
    quotas_of_an_entry entry;
    entry.charged.quota.reset();
    EXPECT_EQ(entry.charge(), quota_verdict{});
    EXPECT_TRUE(entry.sent.empty());
    EXPECT_TRUE(entry.counts.empty());
}

// Guards against replies that don't reach their request, refused requests without a log line, and refunds that aren't sent.
TEST(TeamQuotas, TheReplyOfTheCoordinatorDecides)
{
    quotas_of_an_entry entry;
    entry.reply = quota_reply{0, true, 0};
    const quota_verdict granted = entry.charge();
    EXPECT_EQ(granted.outcome, quota_outcome::Granted);
    ASSERT_EQ(entry.sent.size(), 1u);
    const std::string coordinator = entry.sent.front().second;
    entry.quotas.refund(entry.charged, 10, granted.number);
    ASSERT_EQ(entry.sent.size(), 2u);
    EXPECT_EQ(entry.sent.back(), std::pair(team_quota_message(quota_refund{"t", 10, granted.number}), coordinator));
    EXPECT_EQ(entry.events["quota_refused"], 0);
    entry.reply = quota_reply{0, false, 300};
    EXPECT_EQ(entry.charge(), (quota_verdict{quota_outcome::Exceeded, std::chrono::milliseconds(300), 0}));
    EXPECT_EQ(entry.events["quota_refused"], 1);
    EXPECT_EQ(entry.counts, (std::map<std::string, int>{{"t granted", 1}, {"t exceeded", 1}}));
}

// Guards against requests that wait for ever, are charged by a coordinator whose reply was lost, or are repeated under another number.
TEST(TeamQuotas, WithoutRepliesBothAreAskedTwiceAndRefunded)
{
    quotas_of_an_entry entry;
    EXPECT_EQ(entry.charge().outcome, quota_outcome::Unknown);
    ASSERT_EQ(entry.sent.size(), 6u);
    for (const std::size_t first : {0u, 3u}) {
        EXPECT_EQ(entry.sent[first], entry.sent[first + 1]);
        EXPECT_EQ(entry.sent[first + 2].second, entry.sent[first].second);
        const auto &request = std::get<quota_request>(entry.sent[first].first);
        EXPECT_EQ(std::get<quota_refund>(entry.sent[first + 2].first), (quota_refund{"t", 10, request.number}));
    }
    EXPECT_NE(entry.sent[0].second, entry.sent[3].second);
    EXPECT_EQ(entry.events["quota_not_replied"], 2);
    EXPECT_EQ(entry.events["quota_refused"], 1);
    EXPECT_EQ(entry.counts, (std::map<std::string, int>{{"t no_reply", 2}, {"t unknown", 1}}));
}

} // namespace
