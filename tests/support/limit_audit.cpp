#include "support/limit_audit.h"

#include <algorithm>
#include <map>

namespace heatherroute::support
{

namespace
{

using std::chrono::seconds;

constexpr seconds kWindow{4};
constexpr seconds kLearningTime{3}; ///< The platform's stability window.
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5.0;

} // namespace

std::vector<std::string> limitViolations(const standins::upstream_log &log)
{
    return limitViolations(log, [](const standins::limited_call &) { return true; });
}

std::vector<std::string> limitViolations(const standins::upstream_log &log, const std::function<bool(const standins::limited_call &)> &isCounted)
{
    std::map<std::string, std::vector<standins::limited_call>> byInstance;
    std::map<std::string, std::chrono::steady_clock::time_point> from;
    for (const standins::limited_call &call : log.limitedCalls) {
        from.emplace(call.instance, call.at + kLearningTime);
        if (call.at >= from.at(call.instance) && isCounted(call)) {
            byInstance[call.instance].push_back(call);
        }
    }
    std::vector<std::string> violations;
    for (const auto &[instance, calls] : byInstance) {
        double worst = 0.0;
        std::string worstText;
        for (auto last = calls.begin(); last != calls.end(); ++last) {
            const auto first = std::find_if(calls.begin(), last, [last](const standins::limited_call &call) { return call.at > last->at - kWindow; });
            const double limit =
                std::max_element(first, last + 1, [](const auto &left, const auto &right) { return left.perSecond < right.perSecond; })->perSecond;
            const double allowed = kTolerance * kWindow.count() * limit + kSlack;
            const auto count = static_cast<double>(last + 1 - first);
            if (count - allowed > worst) {
                worst = count - allowed;
                worstText = instance + " named a limit of " + std::to_string(limit) + " a second and got " + std::to_string(static_cast<int>(count))
                            + " requests in 4 s; allowed " + std::to_string(allowed);
            }
        }
        if (worst > 0) {
            violations.push_back(worstText);
        }
    }
    return violations;
}

} // namespace heatherroute::support
