#include <gtest/gtest.h>

#include "platform/dialect.h"

using namespace heatherroute;
using net::http_answer;
using net::http_field;
using net::http_request;
using std::chrono::milliseconds;

namespace
{

const platform_dialect &dialect()
{
    static const platform_dialect instance = platform::makeDialect();
    return instance;
}

http_request generation()
{
    http_request request;
    request.method = "POST";
    request.target = "/lohu930/2f?x=1";
    request.fields = {{"Host", "Ficu95.Example:8144"},
                      {"X-Attempt-Id", "9c41"},
                      {"X-Model", "m"},
                      {"X-Token-Count", "1460,80"},
                      {"X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"},
                      {"X-Length-Hint", "70"},
                      {"X-Deadline-Ms", "14000"}};
    return request;
}

std::vector<std::string> valuesOf(const std::vector<http_field> &fields, const std::string &name)
{
    std::vector<std::string> values;
    for (const http_field &field : fields) {
        if (field.name == name) {
            values.push_back(field.value);
        }
    }
    return values;
}

} // namespace

TEST(PlatformDialect, RequestIsParsed)
{
    const relay_request facts = dialect().readRequest(generation());
    EXPECT_EQ(facts.id, "9c41");
    EXPECT_EQ(facts.host, "ficu95.example");
    EXPECT_EQ(facts.path, "/lohu930/2f");
    EXPECT_EQ(facts.timeLeft, duration(milliseconds(14000)));
    ASSERT_TRUE(facts.prompt);
    EXPECT_EQ(facts.prompt->promptTokens, 1460U);
    EXPECT_EQ(facts.prompt->maxOutputTokens, 80U);
    EXPECT_EQ(facts.prompt->expectedOutputTokens, 70U);
    EXPECT_EQ(facts.model, "m");
    EXPECT_EQ(facts.sharedParts, std::vector<std::string>{"5c1e07a2"});
}

TEST(PlatformDialect, SharedPartsAreAllButTheLast)
{
    const auto partsOf = [](const std::string &list) {
        http_request request = generation();
        request.fields[4].value = list;
        return dialect().readRequest(request).sharedParts;
    };
    using parts = std::vector<std::string>;
    EXPECT_EQ(partsOf("5C1E:800,91bd:410,e440:250"), (parts{"5c1e", "91bd"}));
    EXPECT_EQ(partsOf("5c1e:800"), parts{});
    EXPECT_EQ(partsOf(""), parts{});
    EXPECT_EQ(partsOf("5c1e,:7,,x"), parts{"5c1e"});
    std::string many;
    for (int i = 0; i < 40; ++i) {
        many += std::to_string(i) + ":1,";
    }
    EXPECT_EQ(partsOf(many + "e:1").size(), kMaxSharedParts);
    EXPECT_EQ(partsOf(many + "e:1").back(), "39");
}

TEST(PlatformDialect, MalformedNumbersAreIgnored)
{
    http_request request = generation();
    request.fields = {{"Host", "a"}, {"X-Token-Count", "12,"}, {"X-Deadline-Ms", "soon"}};
    const relay_request facts = dialect().readRequest(request);
    EXPECT_FALSE(facts.prompt);
    EXPECT_FALSE(facts.timeLeft);
}

TEST(PlatformDialect, CallersCannotSetFieldsOfTheRouter)
{
    http_request request = generation();
    for (const char *name : {"X-Kv-Hold", "x-pin-ms", "X-KV-BACKUP", "X-Kv-Source", "X-Stage", "X-Expect-Instance", "X-Request-Urgency", "X-Not-Executed"}) {
        request.fields.push_back({name, "forged"});
    }
    request.fields.push_back({"Connection", "close, X-Hop"});
    request.fields.push_back({"X-Hop", "1"});
    request.fields.push_back({"X-Other", "kept"});
    upstream_directions directions;
    directions.instance = "i-1";
    directions.timeLeft = milliseconds(900);
    const auto fields = dialect().upstreamFields(request, directions);
    for (const http_field &field : fields) {
        EXPECT_NE(field.value, "forged") << field.name;
        EXPECT_NE(field.name, "X-Hop");
        EXPECT_NE(field.name, "Connection");
    }
    EXPECT_EQ(valuesOf(fields, "X-Deadline-Ms"), std::vector<std::string>{"900"});
    EXPECT_EQ(valuesOf(fields, "X-Expect-Instance"), std::vector<std::string>{"i-1"});
    EXPECT_EQ(valuesOf(fields, "X-Other"), std::vector<std::string>{"kept"});
    EXPECT_TRUE(valuesOf(fields, "X-Kv-Source").empty());
}

TEST(PlatformDialect, DirectionsBecomeHeaderFields)
{
    upstream_directions directions;
    directions.instance = "i-1";
    directions.source = kv_handle{"10.1.64.9:8080", "3fa0"};
    directions.reservation = "h7";
    const auto fields = dialect().upstreamFields(generation(), directions);
    EXPECT_EQ(valuesOf(fields, "X-Kv-Source"), std::vector<std::string>{"10.1.64.9:8080/3fa0"});
    EXPECT_EQ(valuesOf(fields, "X-Kv-Hold"), std::vector<std::string>{"h7"});
    EXPECT_TRUE(valuesOf(fields, "X-Stage").empty());
    directions.prefillOnly = true;
    EXPECT_EQ(valuesOf(dialect().upstreamFields(generation(), directions), "X-Stage"), std::vector<std::string>{"prefill"});
}

TEST(PlatformDialect, WrongInstanceNeedsTheIdOfAnotherInstance)
{
    http_answer answer;
    answer.status = 421;
    EXPECT_TRUE(dialect().readAnswer(answer, "i-1").notRun);
    EXPECT_FALSE(dialect().readAnswer(answer, "i-1").wrongInstance) << "an answer without an instance id may come from the expected engine in another phase";
    answer.fields = {{"X-Replica-Id", "i-2"}};
    EXPECT_TRUE(dialect().readAnswer(answer, "i-1").wrongInstance);
    answer.fields = {{"X-Replica-Id", "i-1"}};
    EXPECT_FALSE(dialect().readAnswer(answer, "i-1").wrongInstance);
}

TEST(PlatformDialect, NotRunNeedsTheHeaderOfTheUpstream)
{
    http_answer answer;
    answer.status = 503;
    EXPECT_FALSE(dialect().readAnswer(answer, "i-1").notRun);
    answer.fields = {{"X-Not-Executed", "1"}};
    EXPECT_TRUE(dialect().readAnswer(answer, "i-1").notRun);
}

TEST(PlatformDialect, RejectionHasARetryAfterField)
{
    const auto fields = dialect().refusalFields("9c41", duration(milliseconds(1250)));
    EXPECT_EQ(valuesOf(fields, "Retry-After"), std::vector<std::string>{"1.25"});
    EXPECT_TRUE(valuesOf(dialect().refusalFields("9c41", std::nullopt), "Retry-After").empty());
}

TEST(PlatformDialect, EngineReportIsParsed)
{
    http_answer answer;
    answer.body = R"({"Phase":"decode","Busy":true,"Sequence":2,"Queued":1,"Running":12,"KvUsed":41000,"KvTotal":90000,"State":"draining"})";
    const auto report = dialect().readReport(answer);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->phase, engine_phase::Decode);
    EXPECT_TRUE(report->busy);
    EXPECT_TRUE(report->leaving);
    EXPECT_EQ(report->ordersAccepted, 2U);
    answer.body = "[]";
    EXPECT_FALSE(dialect().readReport(answer));
    EXPECT_FALSE(dialect().readPrefill(answer));
}

TEST(PlatformDialect, LimitOfAnUpstreamIsANumberOrMalformed)
{
    const auto readLimit = [](const char *value) {
        net::http_answer answer;
        answer.fields = {{"Server-Limit", value}};
        return platform::makeDialect().readAnswer(answer, "i-1");
    };
    EXPECT_EQ(readLimit("3.8").limitPerSecond, 3.8);
    EXPECT_EQ(readLimit("0").limitPerSecond, 0.0);
    EXPECT_EQ(readLimit("1e300").limitPerSecond, 1e300);
    for (const char *value : {"", "-1", "nan", "inf", "1e999", "abc", "3 a second", "0x10"}) {
        EXPECT_EQ(readLimit(value).limitPerSecond, std::nullopt) << value;
        EXPECT_EQ(readLimit(value).malformedLimit, value);
    }
    EXPECT_EQ(platform::makeDialect().readAnswer({}, "i-1").malformedLimit, std::nullopt);
}

TEST(PlatformDialect, PauseOfAnUpstreamIsANumberOfSecondsOrMalformed)
{
    const auto readPause = [](const std::vector<const char *> &values, unsigned status) {
        net::http_answer answer;
        answer.status = status;
        for (const char *value : values) {
            answer.fields.push_back({"Retry-After", value});
        }
        return platform::makeDialect().readAnswer(answer, "i-1");
    };
    EXPECT_EQ(readPause({"2"}, 503).pause, duration(milliseconds(2'000)));
    EXPECT_EQ(readPause({"0.25"}, 503).pause, duration(milliseconds(250)));
    EXPECT_EQ(readPause({"0"}, 503).pause, duration::zero());
    EXPECT_EQ(readPause({"1e300"}, 503).pause, duration(std::chrono::hours(24)));
    EXPECT_EQ(readPause({"1", "3", "2"}, 503).pause, duration(milliseconds(3'000)));
    EXPECT_EQ(readPause({"1", "x"}, 503).pause, duration(milliseconds(1'000)));
    EXPECT_EQ(readPause({"2"}, 200).pause, std::nullopt) << "only a refusal pauses";
    EXPECT_EQ(readPause({}, 503).pause, std::nullopt);
    EXPECT_EQ(readPause({}, 503).malformedPause, std::nullopt);
    for (const char *value : {"", "-1", "nan", "inf", "1e999", "soon", "2 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        EXPECT_EQ(readPause({value}, 503).pause, std::nullopt) << value;
        EXPECT_EQ(readPause({value}, 503).malformedPause, value);
    }
}

TEST(PlatformDialect, UpstreamSaysThatItLeavesInAnyAnswer)
{
    for (const unsigned status : {200U, 421U, 500U, 503U}) {
        net::http_answer answer;
        answer.status = status;
        EXPECT_FALSE(dialect().readAnswer(answer, "i-1").leaving);
        answer.fields = {{"server-leaving", "1"}};
        EXPECT_TRUE(dialect().readAnswer(answer, "i-1").leaving) << status;
        answer.fields = {{"Server-Leaving", "0"}};
        EXPECT_FALSE(dialect().readAnswer(answer, "i-1").leaving) << status;
    }
}

// Ids that a faulty upstream names go into header fields of later requests.
TEST(PlatformDialect, IdsThatCannotStandInAHeaderAreRejected)
{
    http_answer answer;
    for (const char *body : {R"({"Hold":"a\r\nX: 1","KvHandle":"a b"})", R"({"Hold":"","KvHandle":""})", R"({"Hold":7,"KvHandle":[]})"}) {
        answer.body = body;
        EXPECT_FALSE(dialect().readReservation(answer)) << body;
        EXPECT_FALSE(dialect().readPrefill(answer)) << body;
    }
    answer.body = R"({"Hold":"h-1","KvHandle":"k-1"})";
    EXPECT_EQ(dialect().readReservation(answer), "h-1");
    EXPECT_EQ(dialect().readPrefill(answer), "k-1");
}

TEST(PlatformDialect, DeadlinesOfAnySizeAreBounded)
{
    http_request request = generation();
    for (const char *value : {"9223372036854775807", "-9223372036854775808", "-1", "0"}) {
        request.fields.back().value = value;
        const auto left = dialect().readRequest(request).timeLeft;
        ASSERT_TRUE(left) << value;
        EXPECT_GE(*left, duration::zero());
        EXPECT_LE(*left, duration(std::chrono::hours(24)));
    }
}

// Guards against keys that reach upstreams, and against a team that the caller chose by itself.
TEST(PlatformDialect, KeysStayWithTheEntriesAndTheTeamIsSetByThem)
{
    http_request request = generation();
    request.fields.push_back({"X-Key", "secret"});
    request.fields.push_back({"x-KEY", "secret"});
    request.fields.push_back({"x-tenant", "forged"});
    upstream_directions directions;
    directions.hasTeams = true;
    for (const char *const team : {"", "team a"}) {
        for (const bool prefillOnly : {false, true}) {
            directions.team = team;
            directions.prefillOnly = prefillOnly;
            const auto fields = dialect().upstreamFields(request, directions);
            for (const http_field &field : fields) {
                EXPECT_NE(field.value, "secret") << field.name;
                EXPECT_NE(field.value, "forged") << field.name;
            }
            EXPECT_EQ(valuesOf(fields, "X-Tenant"), *team == '\0' ? std::vector<std::string>{} : std::vector<std::string>{team});
        }
    }
    for (const http_field &field : dialect().entryFields(request, milliseconds(900), true)) {
        EXPECT_NE(field.value, "secret") << field.name;
        EXPECT_NE(field.value, "forged") << field.name;
    }
}

// Guards against a deployment without teams whose callers use headers of these names for something else.
TEST(PlatformDialect, WithoutTeamsTheHeadersPassUnchanged)
{
    http_request request = generation();
    request.fields.push_back({"X-Key", "of the caller"});
    request.fields.push_back({"X-Tenant", "also"});
    const auto fields = dialect().upstreamFields(request, {});
    EXPECT_EQ(valuesOf(fields, "X-Key"), std::vector<std::string>{"of the caller"});
    EXPECT_EQ(valuesOf(fields, "X-Tenant"), std::vector<std::string>{"also"});
    EXPECT_EQ(valuesOf(dialect().entryFields(request, milliseconds(900), false), "X-Key"), std::vector<std::string>{"of the caller"});
}

// Guards against a key that isn't found because of the case of its header's name, and against an empty one that counts as a key.
TEST(PlatformDialect, TheKeyIsReadAsADigest)
{
    http_request request = generation();
    EXPECT_EQ(dialect().readRequest(request).key, std::nullopt);
    request.fields.push_back({"x-key", "k-1"});
    EXPECT_EQ(dialect().readRequest(request).key, makeKeyDigest("k-1"));
    request.fields.back().value.clear();
    EXPECT_EQ(dialect().readRequest(request).key, std::nullopt);
}
