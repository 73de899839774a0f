#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <utility>
#include <vector>

#include "node/team_access.h"

using namespace heatherroute;
using namespace heatherroute::node;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

std::shared_ptr<const route_table> makeTable(std::uint64_t version, std::optional<std::vector<team>> teams)
{
    return std::make_shared<const route_table>(route_table::make(version, {}, {}, {}, std::move(teams)));
}

team makeTeam(const std::string &name, const std::string &key, std::optional<team_quota> quota = std::nullopt)
{
    team result;
    result.name = name;
    result.keys = {makeKeyDigest(key)};
    result.quota = quota;
    return result;
}

class team_access_test : public testing::Test
{
protected:
    team_access_test()
    {
        team_access_hooks hooks;
        hooks.isConfigCurrent = [this] { return m_isCurrent; };
        hooks.isConfigOutdated = [this] { return m_isOutdated; };
        hooks.charge = [this](const team &caller, std::uint32_t cost, std::uint64_t version) -> asio::awaitable<quota_verdict> {
            m_charges.push_back(caller.name + ":" + std::to_string(cost) + "@" + std::to_string(version));
            co_return m_verdict;
        };
        hooks.refund = [this](const team &caller, std::uint32_t cost, std::uint32_t number) {
            m_refunds.push_back(caller.name + ":" + std::to_string(cost) + "#" + std::to_string(number));
        };
        m_access.setHooks(std::move(hooks));
    }

    access_decision decide(access_question question)
    {
        access_decision result;
        asio::io_context context(1);
        const auto run = [&]() -> asio::awaitable<void> { result = co_await m_access.decide(std::move(question)); };
        asio::co_spawn(context, run, [](const std::exception_ptr &failure) { EXPECT_FALSE(failure); });
        context.run();
        return result;
    }

    access_question questionWith(const std::string &key) const
    {
        access_question question;
        question.routes = m_routes;
        if (!key.empty()) {
            question.key = makeKeyDigest(key);
        }
        return question;
    }

    std::shared_ptr<const route_table> m_routes =
        makeTable(7, std::vector<team>{makeTeam("free", "k-free"), makeTeam("tokens", "k-tokens", team_quota{100, 100, quota_unit::Tokens, 40})});
    bool m_isCurrent = true;
    bool m_isOutdated = false;
    quota_verdict m_verdict{quota_outcome::Granted, {}, 9};
    std::vector<std::string> m_charges;
    std::vector<std::string> m_refunds;
    metrics_registry m_metrics;
    team_access m_access{m_metrics};
};

using strings = std::vector<std::string>;

} // namespace

// Guards against deployments without teams that begin to refuse requests, whatever their configuration's age.
TEST_F(team_access_test, WithoutTeamsEveryRequestIsAllowed)
{
    m_routes = makeTable(7, std::nullopt);
    m_isCurrent = false;
    m_isOutdated = true;
    EXPECT_EQ(decide(questionWith("")), access_decision{});
    EXPECT_EQ(decide(questionWith("k-free")), access_decision{});
    EXPECT_TRUE(m_metrics.snapshot().families().empty());
}

// Guards against public routes that need a key or a current configuration, and against their requests being charged.
TEST_F(team_access_test, PublicRoutesBypassKeysAndQuotas)
{
    m_isCurrent = false;
    access_question question = questionWith("k-tokens");
    question.isPublic = true;
    EXPECT_EQ(decide(question), access_decision{});
    EXPECT_TRUE(m_charges.empty());
}

// Guards against a wrong team, a wrong cost, or a charge for a team without a quota.
TEST_F(team_access_test, AKnownKeyIsAllowedAndCharged)
{
    EXPECT_EQ(decide(questionWith("k-free")), (access_decision{access_outcome::Allowed, "free", {}, {}, {}}));
    EXPECT_TRUE(m_charges.empty());
    EXPECT_EQ(decide(questionWith("k-tokens")), (access_decision{access_outcome::Allowed, "tokens", {}, {}, team_charge{40, 9}}));
    access_question question = questionWith("k-tokens");
    question.prompt = prompt_facts{1'000, 70, std::nullopt};
    EXPECT_EQ(decide(question).charge, (team_charge{1'070, 9}));
    EXPECT_EQ(m_charges, (strings{"tokens:40@7", "tokens:1070@7"}));
}

// Guards against a 401 that rests on a configuration which may not be the newest, and against other refusals of unknown keys.
TEST_F(team_access_test, AnUnknownKeyIsRefusedOnlyByACurrentConfiguration)
{
    for (const char *key : {"k-removed", ""}) {
        EXPECT_EQ(decide(questionWith(key)).outcome, access_outcome::UnknownKey) << key;
        m_isOutdated = true;
        EXPECT_EQ(decide(questionWith(key)).outcome, access_outcome::Unconfirmed) << key;
        m_isOutdated = false;
        m_isCurrent = false;
        EXPECT_EQ(decide(questionWith(key)).outcome, access_outcome::Unconfirmed) << key;
        m_isCurrent = true;
    }
}

// Guards against keys that are served by an entry that can't know whether they were removed.
TEST_F(team_access_test, AKnownKeyNeedsACurrentConfiguration)
{
    m_isOutdated = true;
    EXPECT_EQ(decide(questionWith("k-free")).outcome, access_outcome::Allowed);
    m_isCurrent = false;
    EXPECT_EQ(decide(questionWith("k-tokens")).outcome, access_outcome::Unconfirmed);
    EXPECT_TRUE(m_charges.empty());
}

// Guards against a request that runs although its quota is exceeded or unknown, and against the wrong of the two refusals.
TEST_F(team_access_test, TheQuotaRefuses)
{
    m_verdict = {quota_outcome::Exceeded, 130ms, 0};
    EXPECT_EQ(decide(questionWith("k-tokens")), (access_decision{access_outcome::OverQuota, "tokens", "over_quota", 130ms, {}}));
    m_verdict = {quota_outcome::Unknown, {}, 0};
    EXPECT_EQ(decide(questionWith("k-tokens")).outcome, access_outcome::QuotaUnknown);
    EXPECT_EQ(decide(questionWith("k-tokens")).charge, std::nullopt);
    EXPECT_EQ(decide(questionWith("k-free")).outcome, access_outcome::Allowed);
}

// Guards against requests that are charged twice when an entry passes them on, and against keys that were removed on the way.
TEST_F(team_access_test, WhatAnotherEntryHasChargedIsCheckedAgainButNotCharged)
{
    access_question question = questionWith("k-tokens");
    question.checkedTeam = "tokens";
    question.sendersConfigVersion = 7;
    EXPECT_EQ(decide(question), (access_decision{access_outcome::Allowed, "tokens", {}, {}, {}}));
    EXPECT_TRUE(m_charges.empty());
    question.key = makeKeyDigest("k-removed");
    EXPECT_EQ(decide(question).outcome, access_outcome::UnknownKey);
    question.sendersConfigVersion = 8;
    EXPECT_EQ(decide(question).outcome, access_outcome::Unconfirmed) << "the key may be new in the sender's configuration";
}

// Guards against an older configuration that serves a request for another team than the newer one of the sender, or for none.
TEST_F(team_access_test, AnOlderConfigurationDoesntDecideAgainstTheSenders)
{
    access_question question = questionWith("k-tokens");
    question.checkedTeam = "other";
    question.sendersConfigVersion = 8;
    EXPECT_EQ(decide(question).outcome, access_outcome::Unconfirmed);
    question.sendersConfigVersion = 6;
    EXPECT_EQ(decide(question).team, "tokens");
    question.routes = makeTable(7, std::nullopt);
    EXPECT_EQ(decide(question).outcome, access_outcome::Allowed);
    question.sendersConfigVersion = 8;
    EXPECT_EQ(decide(question).outcome, access_outcome::Unconfirmed);
}

// Guards against a send that follows a long wait in which the key was removed, moved, or could not be confirmed any more.
TEST_F(team_access_test, EachSendNeedsTheKeyInTheAppliedConfiguration)
{
    const key_digest key = makeKeyDigest("k-free");
    EXPECT_TRUE(m_access.maySend(*m_routes, "free", key));
    EXPECT_TRUE(m_access.maySend(*makeTable(8, std::nullopt), "free", key));
    EXPECT_FALSE(m_access.maySend(*makeTable(8, std::vector<team>{makeTeam("free", "k-new")}), "free", key));
    EXPECT_FALSE(m_access.maySend(*makeTable(8, std::vector<team>{makeTeam("other", "k-free")}), "free", key));
    m_isCurrent = false;
    EXPECT_FALSE(m_access.maySend(*m_routes, "free", key));
}

// Guards against a refund that is lost, or belongs to another charge.
TEST_F(team_access_test, ARefundNamesItsCharge)
{
    m_access.refund(*m_routes, "tokens", {40, 9});
    m_access.refund(*m_routes, "gone", {40, 10});
    EXPECT_EQ(m_refunds, strings{"tokens:40#9"});
}

// Guards against metrics that grow with every team that a configuration ever names.
TEST_F(team_access_test, MetricsOfTeamsAreBounded)
{
    std::vector<team> teams;
    teams.reserve(200);
    for (int i = 0; i < 200; ++i) {
        teams.push_back(makeTeam("t" + std::to_string(i), "k" + std::to_string(i)));
    }
    m_routes = makeTable(8, std::move(teams));
    for (int i = 0; i < 200; ++i) {
        EXPECT_EQ(decide(questionWith("k" + std::to_string(i))).outcome, access_outcome::Allowed);
    }
    const metrics_snapshot snapshot = m_metrics.snapshot();
    ASSERT_EQ(snapshot.families().size(), 1U);
    EXPECT_EQ(snapshot.families().begin()->second.metrics.size(), 65U) << "64 teams, and all others together";
}
