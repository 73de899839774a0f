#include "node/team_admission.h"

#include <algorithm>
#include <utility>

#include "net/http_status.h"
#include "node/entry_forwarder.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// Minimum Retry-After delay of a request that this entry can't decide on. The configuration is read, or confirmed by another entry, within less.
constexpr duration kUnconfirmedRetryAfter = std::chrono::milliseconds(500);
/// Retry-After has two decimals, so that a shorter wait would read as none.
constexpr duration kMinQuotaWait = std::chrono::milliseconds(10);

asio::awaitable<bool> passOn(relay_call &call)
{
    const std::string service = call.pickService();
    const bool generates = call.matchedRoute().generates;
    const std::vector<upstream_pool> pools = {{service, generates ? std::optional(engine_phase::Decode) : std::nullopt}};
    entry_forwarder forwarder(call, service);
    co_return co_await forwarder.run(pools, call.earlierRuns());
}

asio::awaitable<void> refuse(relay_call &call, access_decision decision)
{
    relay_state &state = call.state();
    unsigned status = net::status::kUnavailable;
    std::optional<duration> retryAfter;
    if (decision.outcome == access_outcome::UnknownKey) {
        status = net::status::kUnauthorized;
    } else if (decision.outcome == access_outcome::OverQuota) {
        status = net::status::kTooManyRequests;
        retryAfter = std::max(decision.wait, kMinQuotaWait);
    } else {
        const auto spread = retryAfterDelay(state.retryAfterSettings, kUnconfirmedRetryAfter, call.timeLeft(), state.sampleUniform());
        retryAfter = spread.value_or(kUnconfirmedRetryAfter);
    }
    call.addLogFields({{"team", decision.team.empty() ? "unknown" : decision.team}, {"config_age_ms", state.access.configAgeText()}});
    std::string reason = decision.reason;
    co_await call.sendError(status, std::move(reason), retryAfter);
    call.finish({"refused", status, decision.reason, verdict::NotRun, ""});
}

} // namespace

asio::awaitable<bool> admitTeam(relay_call &call)
{
    access_question question = call.accessQuestion();
    access_decision decision = co_await call.state().access.decide(std::move(question));
    if (decision.outcome == access_outcome::Allowed) {
        call.setTeam(std::move(decision.team), decision.charge);
        co_return true;
    }
    if (decision.outcome == access_outcome::Unconfirmed && call.isFromEntry()) {
        co_await call.decline(forward_decline::NotReady);
        co_return false;
    }
    if (decision.outcome == access_outcome::Unconfirmed) {
        const bool isPassedOn = co_await passOn(call);
        if (isPassedOn) {
            co_return false;
        }
    }
    co_await refuse(call, std::move(decision));
    co_return false;
}

} // namespace heatherroute::node
