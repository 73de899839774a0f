#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <sys/wait.h>
#include <unistd.h>

namespace
{

struct run_result
{
    int exitCode = -1;
    std::string output; ///< Standard output and standard error together.
};

run_result runTool(const std::string &arguments)
{
    const std::string command = std::string(HEATHERROUTE_BIN_DIR) + "/heatherctl " + arguments + " 2>&1";
    run_result result;
    FILE *pipe = ::popen(command.c_str(), "r");
    for (int c = std::fgetc(pipe); c != EOF; c = std::fgetc(pipe)) {
        result.output += static_cast<char>(c);
    }
    const int status = ::pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

std::filesystem::path exampleFolder()
{
    return std::filesystem::path(__FILE__).parent_path().parent_path() / "examples";
}

} // namespace

TEST(HeatherctlProcess, CheckAcceptsTheExamples)
{
    for (const auto &entry : std::filesystem::directory_iterator(exampleFolder())) {
        const run_result result = runTool("check " + entry.path().string());
        EXPECT_EQ(result.exitCode, 0) << entry.path();
        EXPECT_EQ(result.output, "") << entry.path();
    }
}

TEST(HeatherctlProcess, CheckPrintsProblemsOfBothKindsOfFile)
{
    const std::string file = std::filesystem::path(testing::TempDir()) / ("heatherctl_test_" + std::to_string(::getpid()) + ".yaml");
    std::ofstream(file) << "rules:\n  teams: [{name: t, weight: 0}]\n";
    run_result result = runTool("check " + file);
    EXPECT_EQ(result.exitCode, 2);
    EXPECT_EQ(result.output, file + ":2: rules.teams[0].weight: invalid value; accepted: an integer from 1 to 1000\n");
    std::ofstream(file) << "colour: red\n";
    result = runTool("check " + file);
    EXPECT_EQ(result.exitCode, 2);
    EXPECT_NE(result.output.find(file + ":1: colour: unknown key"), std::string::npos) << result.output;
    std::filesystem::remove(file);
}

TEST(HeatherctlProcess, WrongUsageExitsWithOne)
{
    for (const std::string arguments : {"", "check", "check one two", "check /nonexistent/file", "check /", "publish x", "--nosuch"}) {
        const run_result result = runTool(arguments);
        EXPECT_EQ(result.exitCode, 1) << arguments;
        EXPECT_NE(result.output.find("heatherctl: "), std::string::npos) << arguments;
    }
    EXPECT_EQ(runTool("--help").exitCode, 0);
    EXPECT_EQ(runTool("--version").output.rfind("heatherctl ", 0), 0U);
}
