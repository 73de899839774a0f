#include <gtest/gtest.h>

#include "support/process.h"

using namespace heatherroute;
using namespace heatherroute::support;

TEST(ProcessHeatherbench, EachCommandPrintsItsOptions)
{
    for (const char *command : {"control", "demo", "load", "soak", "relay"}) {
        last_reason reason;
        const auto process = child_process::make(std::string(HEATHERROUTE_BIN_DIR) + "/heatherbench", {command, "--help"}, &reason, true);
        ASSERT_TRUE(process) << reason.text();
        EXPECT_EQ(process->waitForEnd(std::chrono::seconds(10)), 0) << command;
        EXPECT_NE(process->output().find("--"), std::string::npos) << command;
    }
}
