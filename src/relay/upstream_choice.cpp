#include "relay/upstream_choice.h"

#include <algorithm>
#include <tuple>

namespace heatherroute
{

std::vector<const registration *> orderCandidates(const std::vector<upstream_candidate> &candidates, std::mt19937_64 &random)
{
    struct ranked
    {
        bool lowWeight = false;
        double cost = 0.0;
        std::uint64_t tie = 0;
        const registration *run = nullptr;
    };
    std::vector<ranked> order;
    order.reserve(candidates.size());
    for (const upstream_candidate &candidate : candidates) {
        const double weight = std::max(candidate.weight, kMinUsableWeight);
        order.push_back({candidate.weight < kMinUsableWeight, (candidate.load + 1.0) / weight, random(), candidate.run});
    }
    std::sort(order.begin(), order.end(), [](const ranked &left, const ranked &right) {
        return std::tie(left.lowWeight, left.cost, left.tie) < std::tie(right.lowWeight, right.cost, right.tie);
    });
    std::vector<const registration *> result;
    result.reserve(order.size());
    for (const ranked &candidate : order) {
        result.push_back(candidate.run);
    }
    return result;
}

} // namespace heatherroute
