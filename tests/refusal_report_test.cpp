#include "node/refusal_report.h"

#include <gtest/gtest.h>

#include <vector>

using namespace heatherroute;

// Load pattern: callers are refused all the time. Guards against a log that grows with them.
TEST(RefusalReport, LinesOfAReasonAreBoundedAndOmittedOnesAreCounted)
{
    std::vector<log_line> lines;
    node::refusal_report report([&lines](log_line line) { lines.push_back(std::move(line)); });
    const std::chrono::steady_clock::time_point begin(std::chrono::hours(1));
    for (int i = 0; i < 1000; ++i) {
        report.note(begin, "callers", net::refusal_reason::NoMemory, "10.0.0.1");
    }
    const std::size_t first = lines.size();
    EXPECT_GE(first, 1U);
    EXPECT_LE(first, 10U);
    report.note(begin, "callers", net::refusal_reason::Timeout, "10.0.0.1");
    EXPECT_EQ(lines.size(), first + 1) << "another reason";
    report.note(begin + std::chrono::minutes(1), "callers", net::refusal_reason::NoMemory, "10.0.0.1");
    ASSERT_EQ(lines.size(), first + 2);
    EXPECT_EQ(lines.back().fields.back().value, std::to_string(1000 - first));
}
