#include "settings/inventory_file.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace heatherroute;

namespace
{

std::string example(const std::string &name)
{
    std::ifstream file(std::filesystem::path(__FILE__).parent_path().parent_path() / "examples" / name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<settings_problem> problemsOf(const std::string &text)
{
    std::vector<settings_problem> problems;
    const auto result = readInventory(text, "fleet.yaml", &problems);
    EXPECT_EQ(result.has_value(), problems.empty());
    return problems;
}

bool reports(const std::vector<settings_problem> &problems, int line, const std::string &key, const std::string &text)
{
    return std::any_of(problems.begin(), problems.end(), [&](const settings_problem &problem) {
        return problem.line == line && problem.key == key && problem.message.find(text) != std::string::npos;
    });
}

std::size_t countOf(const inventory &fleet, const std::string &modelOrService)
{
    return std::count_if(fleet.upstreams.begin(), fleet.upstreams.end(), [&](const upstream &u) { return u.modelOrService == modelOrService; });
}

} // namespace

TEST(Inventory, ExamplesContainTheFleetsOfBothHalves)
{
    const auto daNang = readInventory(example("inventory-da-nang.yaml"), "da-nang", nullptr);
    ASSERT_TRUE(daNang);
    EXPECT_EQ(countOf(*daNang, "audit"), 9U);
    EXPECT_EQ(countOf(*daNang, "shop-portal"), 4U);
    const auto redPericial = readInventory(example("inventory-red-pericial.yaml"), "red-pericial", nullptr);
    ASSERT_TRUE(redPericial);
    EXPECT_EQ(countOf(*redPericial, "assistant"), 9U);
    EXPECT_EQ(countOf(*redPericial, "directory"), 3U);
}

TEST(Inventory, ValuesAreReadAndSorted)
{
    const auto fleet = readInventory(R"(
upstreams:
  - {name: s, address: "10.0.0.2:9", zone: z, half: h, kind: plain_service, service: portal, slots: 8}
  - {name: d, address: "10.0.0.1:9", zone: z, half: h, kind: decode_engine, model: m, slots: 20, pieces: 64, piece_tokens: 2048, checks_fence: true, state: leaving}
rules:
  teams: [{name: t}]
  service_routes: [{service: portal, path_prefix: /a, idempotent_methods: [PUT, GET]}]
)",
                                     "fleet.yaml",
                                     nullptr);
    ASSERT_TRUE(fleet);
    const upstream decode = {"d", "10.0.0.1:9", "z", "h", upstream_kind::DecodeEngine, "m", 20, 64, 2048, upstream_state::Leaving, true};
    const upstream service = {"s", "10.0.0.2:9", "z", "h", upstream_kind::PlainService, "portal", 8, 0, 0, upstream_state::Active, false};
    EXPECT_EQ(fleet->upstreams, (std::vector<upstream>{decode, service}));
    EXPECT_EQ(fleet->rules, (std::vector<rule>{service_route{"portal", "/a", {"GET", "PUT"}}, team_rule{"t", 1, 0}}));
}

TEST(Inventory, AllProblemsAreReportedWithTheirLines)
{
    const auto problems = problemsOf(R"(upstreams:
  - name: a
    address: 10.0.0.1:9
    zone: z
    half: h
    kind: decode_engine
    model: m
    slots: 0
    pieces: 64
    piece_tokens: 2048
    colour: red
  - {name: a, address: "10.0.0.1:9", zone: z, half: h, kind: plain_service, service: m, slots: 1, pieces: 4}
  - {name: b, name: c, address: "host:9", zone: z, half: h, kind: engine, model: m, slots: 1}
rules:
  teams:
    - {name: t}
    - {name: t, weight: 0}
    - {}
    - {}
  models: [{model: other}]
  service_routes:
    - {service: m, path_prefix: a, idempotent_methods: [GET, GET, get]}
  capacity_floors:
    - {half: h, kind: decode_engine, model: m, min_active: 2}
  priority_defaults:
    - {model: m, service: m, priority: high}
  quotas: []
extra: 1
)");
    EXPECT_TRUE(reports(problems, 8, "upstreams[0].slots", "from 1 to 10000"));
    EXPECT_TRUE(reports(problems, 11, "upstreams[0].colour", "unknown key"));
    EXPECT_TRUE(reports(problems, 12, "upstreams[1].name", "line 2"));
    EXPECT_TRUE(reports(problems, 12, "upstreams[1].address", "line 2"));
    EXPECT_TRUE(reports(problems, 12, "upstreams[1].service", "name of a model"));
    EXPECT_TRUE(reports(problems, 12, "upstreams[1].pieces", "unknown key"));
    EXPECT_TRUE(reports(problems, 13, "upstreams[2].name", "duplicate key"));
    EXPECT_TRUE(reports(problems, 13, "upstreams[2].address", "IP:port"));
    EXPECT_TRUE(reports(problems, 13, "upstreams[2].kind", "one of prefill_engine"));
    EXPECT_TRUE(reports(problems, 17, "rules.teams[1]", "line 16"));
    EXPECT_TRUE(reports(problems, 17, "rules.teams[1].weight", "from 1 to 1000"));
    EXPECT_TRUE(reports(problems, 18, "rules.teams[2].name", "missing"));
    EXPECT_TRUE(reports(problems, 19, "rules.teams[3].name", "missing"));
    EXPECT_TRUE(reports(problems, 20, "rules.models[0]", "'other'"));
    EXPECT_TRUE(reports(problems, 22, "rules.service_routes[0].path_prefix", "starts with '/'"));
    EXPECT_EQ(std::count_if(problems.begin(), problems.end(), [](const auto &p) { return p.key == "rules.service_routes[0].idempotent_methods"; }), 2);
    EXPECT_TRUE(reports(problems, 24, "rules.capacity_floors[0].min_active", "leaves 1 active"));
    EXPECT_TRUE(reports(problems, 26, "rules.priority_defaults[0].model", "unknown key"));
    EXPECT_TRUE(reports(problems, 26, "rules.priority_defaults[0].priority", "interactive or batch"));
    EXPECT_TRUE(reports(problems, 27, "rules.quotas", "unknown key"));
    EXPECT_TRUE(reports(problems, 28, "extra", "unknown key"));
    EXPECT_EQ(problems.size(), 22U);
}

TEST(Inventory, FileWithoutUpstreamsMayHaveRulesForUpstreamsOfOtherFiles)
{
    EXPECT_TRUE(problemsOf("rules: {models: [{model: elsewhere, max_output_tokens: 5}]}\n").empty());
    EXPECT_FALSE(problemsOf("rules: 5\n").empty());
    EXPECT_FALSE(problemsOf("upstreams: {}\n").empty());
    EXPECT_FALSE(problemsOf("upstreams: [x]\n").empty());
}

TEST(Inventory, InventoryIsRecognizedByItsTopLevelKeys)
{
    EXPECT_TRUE(looksLikeInventory(example("inventory-da-nang.yaml")));
    EXPECT_FALSE(looksLikeInventory(example("entry-da-nang-hai-chau.yaml")));
    EXPECT_FALSE(looksLikeInventory("upstreams"));
    EXPECT_FALSE(looksLikeInventory(": ["));
}

TEST(Inventory, RuleKeyContainsOnlyIdentifyingFields)
{
    EXPECT_EQ(ruleKey(team_rule{"t", 1, 0}), ruleKey(team_rule{"t", 5, 9}));
    EXPECT_NE(ruleKey(service_route{"s", "/a", {}}), ruleKey(service_route{"s", "/b", {}}));
    EXPECT_NE(ruleKey(capacity_floor{"h", upstream_kind::DecodeEngine, "m", 1}), ruleKey(capacity_floor{"h", upstream_kind::PrefillEngine, "m", 1}));
    EXPECT_NE(ruleKey(team_rule{"m", 1, 0}), ruleKey(model_rule{"m", 0, 0, "", {}}));
}
