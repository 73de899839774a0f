#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace
{

std::filesystem::path sourceRoot()
{
    return std::filesystem::path(__FILE__).parent_path().parent_path();
}

std::string readAll(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

// Only code in platform/ may contain the platform's wire names. The header X-Deadline-Ms is not checked, since the router's own
// interface has a header of that name, too.
TEST(PlatformBoundary, RouterContainsNoWireNames)
{
    const char *const names[] = {"X-Attempt-Id",  "X-Server-Seal", "X-Expect-Instance", "X-Not-Executed", "X-Replica-Id", "X-Token-Count", "X-Kv-",
                                 "X-Stage",       "X-Pin-Ms",      "KvHandle",          "FencingToken",   "HeartbeatMs",  "NodeName",      "keyed.op",
                                 "keyed.servers", "log-append",    "log-read",          "log-newest",     "log-join",     "/v1/resolve",   "/v1/ready",
                                 "/v1/order",     "/v1/report",    "/v1/hold-take",     "PathPrefix",     "TrafficSplit", "MaxAttempts",   "KvCapacity",
                                 "TtlS",          "X-Key",         "X-Tenant",          "ApiKeys",        "RatePerS",     "PlainTokens"};
    std::size_t files = 0;
    for (const char *folder : {"src", "include", "apps"}) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(sourceRoot() / folder)) {
            if (!entry.is_regular_file()) {
                continue;
            }
            ++files;
            const std::string text = readAll(entry.path());
            for (const char *name : names) {
                EXPECT_EQ(text.find(name), std::string::npos) << entry.path() << " contains " << name;
            }
        }
    }
    EXPECT_GT(files, 100U);
}
