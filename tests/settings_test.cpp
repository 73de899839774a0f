#include "heatherroute/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace heatherroute;

namespace
{

using namespace std::string_literals;

// Characters with a special meaning in YAML.
const std::string kSpecial = "{}[]:,&*!|>'\"%@`#\n\t -?a0\0\xff"s;

const std::string kMinimal = R"(name: entry-1
half: da-nang
zone: hai-chau
region: central
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
  peers: "[::1]:0"
platform:
  log: 127.0.0.1:7000
  vms: 127.0.0.1:7001
)";

std::vector<settings_problem> problemsOf(const std::string &text)
{
    std::vector<settings_problem> problems;
    const auto settings = entry_settings::make(text, "entry.yaml", &problems);
    EXPECT_EQ(settings.has_value(), problems.empty());
    return problems;
}

bool reports(const std::vector<settings_problem> &problems, int line, const std::string &key, const std::string &text)
{
    return std::any_of(problems.begin(), problems.end(), [&](const settings_problem &problem) {
        return problem.file == "entry.yaml" && problem.line == line && problem.key == key && problem.message.find(text) != std::string::npos;
    });
}

// The minimal file with an additional inline group that contains the single value `value`.
std::string withGroup(const std::string &opening, const std::string &value)
{
    std::string text = kMinimal;
    text += opening;
    text += value;
    text += "}\n";
    return text;
}

std::filesystem::path sourceRoot()
{
    return std::filesystem::path(__FILE__).parent_path().parent_path();
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST(Settings, MinimalFileGetsTheDefaults)
{
    const auto settings = entry_settings::make(kMinimal, "entry.yaml", nullptr);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->zone(), "hai-chau");
    EXPECT_EQ(settings->listen().peers, "[::1]:0");
    EXPECT_EQ(settings->targets().firstToken, std::chrono::milliseconds(890));
    EXPECT_EQ(settings->targets().tokenInterval, std::chrono::milliseconds(42));
    EXPECT_EQ(settings->placement(), placement_kind::OwnerGrants);
    EXPECT_EQ(settings->advertise().callers, std::nullopt);
    EXPECT_EQ(settings->seed(), std::nullopt);
    EXPECT_TRUE(settings->seeds().empty());
    EXPECT_EQ(settings, entry_settings::make(kMinimal, "other.yaml", nullptr));
}

TEST(Settings, GivenValuesReplaceDefaults)
{
    const std::string text =
        kMinimal + "seeds: [10.0.0.1:7, 10.0.0.2:7]\nlimits: {max_requests: 7}\nlog: {level: debug, format: json}\nseed: 18446744073709551615\n";
    const auto settings = entry_settings::make(text, "entry.yaml", nullptr);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->seeds().size(), 2U);
    EXPECT_EQ(settings->limits().maxRequests, 7U);
    EXPECT_EQ(settings->log().level, log_level::Debug);
    EXPECT_EQ(settings->log().format, log_format::Json);
    EXPECT_EQ(settings->seed(), std::numeric_limits<std::uint64_t>::max());
    EXPECT_NE(settings, entry_settings::make(kMinimal, "entry.yaml", nullptr));
}

TEST(Settings, AllProblemsAreReportedWithTheirLines)
{
    const std::string text = R"(name: entry-1
half: da-nang
half: red-pericial
zone: [hai-chau]
colour: red
listen:
  callers: localhost:80
  callers: 127.0.0.1:81
  operators: 127.0.0.1:65536
platform:
  log: 127.0.0.1:0
limits:
  max_requests: "5"
  max_body_bytes: 1
  max_bodies: 1
seeds:
  - 10.0.0.1:7
  - 10.0.0.1:7
config: {poll_wait_ms: 5000}
log: {level: loud}
)";
    const auto problems = problemsOf(text);
    EXPECT_TRUE(reports(problems, 3, "half", "duplicate key"));
    EXPECT_TRUE(reports(problems, 4, "zone", "a name"));
    EXPECT_TRUE(reports(problems, 5, "colour", "accepted here: name, half"));
    EXPECT_TRUE(reports(problems, 7, "listen.callers", "IP:port"));
    EXPECT_TRUE(reports(problems, 8, "listen.callers", "duplicate key"));
    EXPECT_TRUE(reports(problems, 9, "listen.operators", "IP:port"));
    EXPECT_TRUE(reports(problems, 6, "listen.peers", "missing"));
    EXPECT_TRUE(reports(problems, 11, "platform.log", "from 1 to 65535"));
    EXPECT_TRUE(reports(problems, 10, "platform.vms", "missing"));
    EXPECT_TRUE(reports(problems, 1, "region", "missing"));
    EXPECT_TRUE(reports(problems, 13, "limits.max_requests", "an integer from 1 to 1000000"));
    EXPECT_TRUE(reports(problems, 14, "limits.max_body_bytes", "an integer from 1024"));
    EXPECT_TRUE(reports(problems, 15, "limits.max_bodies", "accepted here: max_body_bytes"));
    EXPECT_TRUE(reports(problems, 18, "seeds", "without duplicates"));
    EXPECT_TRUE(reports(problems, 19, "config.cut_off_after_ms", "more than config.poll_wait_ms"));
    EXPECT_TRUE(reports(problems, 20, "log.level", "one of debug, info, warning, error"));
    EXPECT_EQ(problems.size(), 16U);
    EXPECT_TRUE(std::is_sorted(problems.begin(), problems.end(), [](const auto &a, const auto &b) { return a.line < b.line; }));
    EXPECT_EQ(toString(problems.back()), "entry.yaml:20: log.level: invalid value; accepted: one of debug, info, warning, error");
}

TEST(Settings, FilesThatAreNotAMappingAreRejected)
{
    EXPECT_FALSE(problemsOf("").empty());
    EXPECT_FALSE(problemsOf("just text").empty());
    EXPECT_FALSE(problemsOf("- a\n- b\n").empty());
    EXPECT_FALSE(problemsOf("limits: 5\n").empty());
    EXPECT_FALSE(problemsOf(kMinimal + "---\n" + kMinimal).empty());
    EXPECT_TRUE(reports(problemsOf("name: [\n"), 2, "", "not valid YAML"));
    EXPECT_FALSE(problemsOf("a: &a [*a]\n? [x]\n: 1\n").empty());
}

// Guards against an endless loop: the loader of yaml-cpp never returns for the first of these texts.
TEST(Settings, TextsOnWhichTheParserMakesNoProgressAreRejected)
{
    const std::string found = ",\xf6\xdf\xf7\x14\x04\xca"
                              "9,\xbel\xea"
                              "e9\x1b"
                              "e\x15\xee\xed"
                              "f\x14\xf1"
                              "6\x85\xdf\xb7\xc1\xe9?";
    for (const std::string &text : {std::string(","), found, kMinimal + ",", std::string("]"), std::string("a: 1\n...\n,")}) {
        EXPECT_FALSE(problemsOf(text).empty()) << text;
    }
    EXPECT_TRUE(reports(problemsOf("name: " + std::string(40, '[') + std::string(40, ']')), 1, "", "nested deeper"));
    EXPECT_TRUE(reports(problemsOf("# " + std::string(17 << 20, 'x')), 1, "", "too large"));
}

TEST(Settings, NumbersArePlainDecimalDigits)
{
    for (const std::string number : {"-1", "+5", "0x10", "1e3", "1_000", "5.0", "", "~", "99999999999999999999"}) {
        EXPECT_FALSE(problemsOf(withGroup("limits: {max_requests: ", number)).empty()) << number;
    }
}

TEST(Settings, AddressesAreNumericWithAPort)
{
    // YAML strips the space after an unquoted scalar, so only the last address is accepted.
    for (const std::string address : {"entry.example:80", "127.0.0.1", "::1:80", "[::1]", "127.0.0.1:", "1.2.3:4", "\"127.0.0.1\\0:80\"", "127.0.0.1:80 "}) {
        const bool accepted = problemsOf(withGroup("advertise: {peers: ", address)).empty();
        EXPECT_EQ(accepted, address == "127.0.0.1:80 ") << address;
    }
}

TEST(Settings, DocumentationMatchesTheTable)
{
    EXPECT_EQ(readFile(sourceRoot() / "docs" / "SETTINGS.md"), settingsDocument()) << "run: heatherctl settings-doc > docs/SETTINGS.md";
}

TEST(Settings, ExamplesAreAccepted)
{
    int examples = 0;
    for (const auto &entry : std::filesystem::directory_iterator(sourceRoot() / "examples")) {
        const std::string name = entry.path().filename().string();
        if (name.rfind("entry-", 0) != 0) {
            continue;
        }
        std::vector<settings_problem> problems;
        EXPECT_TRUE(entry_settings::make(readFile(entry.path()), name, &problems)) << name << (problems.empty() ? "" : toString(problems.front()));
        ++examples;
    }
    EXPECT_EQ(examples, 7);
}

// For any text, the reader neither terminates the process nor accepts a file without all required keys.
RC_GTEST_PROP(Settings, ArbitraryTextIsRejectedWithoutACrash, (const std::string &text))
{
    std::vector<settings_problem> problems;
    RC_ASSERT(!entry_settings::make(text, "any.yaml", &problems).has_value());
    RC_ASSERT(!problems.empty());
}

// A corrupted file is either accepted or rejected with a reason; it never terminates the process.
RC_GTEST_PROP(Settings, CorruptedFilesAreAcceptedOrRejectedWithAReason, ())
{
    std::string text = kMinimal + "seeds: [10.0.0.1:7]\nlimits: {max_requests: 7}\n";
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 20);
    text.replace(position, length, *rc::gen::container<std::string>(rc::gen::elementOf(kSpecial)));
    std::vector<settings_problem> problems;
    const bool accepted = entry_settings::make(text, "damaged.yaml", &problems).has_value();
    RC_ASSERT(accepted == problems.empty());
}
