#pragma once

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

#include "case_run.hpp"
#include "net/http_client.h"

namespace review
{

/// What the callers of streams have seen.
struct stream_counts
{
    int begun = 0; ///< Streams that brought an event.
    int attemptsToTakeUp = 0;
    int goneOn = 0; ///< Of those attempts.
    int refused = 0; ///< Of those attempts.
    int streamsTakenUp = 0; ///< Whose callers came back at least once.
    int streamsGoneOn = 0; ///< Of these.
    int newAttempts = 0; ///< First attempts of streams.
};

/// How callers come back with a stream that was broken off, as the pages have it: a few times within their time, each time at another entry and on
/// a new channel, naming the attempt that brought the first event, and no sooner than a refusal tells them.
constexpr int kMaxRetries = 3;
constexpr milliseconds kStreamDeadline{14'000};
constexpr milliseconds kResumePause{250};

/// Reads streams at entries of @p site one after the other until @p isStopping.
class stream_client
{
public:
    stream_client(
        heatherroute::support::relay_site &site, std::string name, stream_counts &counts, const bool &isStopping, milliseconds resumePause = kResumePause)
        : m_site(site)
        , m_name(std::move(name))
        , m_counts(counts)
        , m_isStopping(isStopping)
        , m_resumePause(resumePause)
        , m_random(std::hash<std::string>()(m_name))
    { }

    asio::awaitable<void> run()
    {
        while (!m_isStopping) {
            co_await readStream();
            co_await pauseFor(milliseconds(40));
        }
    }

private:
    struct attempt
    {
        bool isComplete = false;
        unsigned status = 0;
        std::uint32_t lastEvent = 0;
        double retryAfterS = 0.0;
    };

    asio::awaitable<void> readStream()
    {
        const auto until = std::chrono::steady_clock::now() + kStreamDeadline;
        std::string first;
        std::uint32_t lastEvent = 0;
        bool isTakenUp = false;
        bool isGoneOn = false;
        for (int retries = 0; retries <= kMaxRetries; ++retries) {
            const auto left = std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
            if (left <= milliseconds(500)) {
                co_return;
            }
            const std::string id = m_name + "-" + std::to_string(++m_requests);
            const attempt result = co_await send(id, first, lastEvent, left);
            const bool hasGoneOn = result.lastEvent > lastEvent || (result.isComplete && result.status == 200);
            m_counts.begun += first.empty() && hasGoneOn ? 1 : 0;
            m_counts.newAttempts += first.empty() ? 1 : 0;
            if (!first.empty()) {
                m_counts.streamsTakenUp += isTakenUp ? 0 : 1;
                isTakenUp = true;
                m_counts.streamsGoneOn += hasGoneOn && !isGoneOn ? 1 : 0;
                isGoneOn = isGoneOn || hasGoneOn;
                m_counts.attemptsToTakeUp += 1;
                m_counts.goneOn += hasGoneOn ? 1 : 0;
                m_counts.refused += result.status == 503 ? 1 : 0;
            }
            if (result.isComplete && result.status == 200) {
                co_return;
            }
            if (result.lastEvent > lastEvent) {
                first = first.empty() ? id : first;
                lastEvent = result.lastEvent;
            }
            const milliseconds asked(static_cast<int>(result.retryAfterS * 1000));
            co_await pauseFor(std::max(m_resumePause, std::min(asked, left / 3)));
        }
    }

    asio::awaitable<attempt> send(std::string id, std::string first, std::uint32_t lastEvent, milliseconds left)
    {
        namespace net = heatherroute::net;
        net::http_call call;
        call.target = heatherroute::support::kStreamPath;
        call.endpoint = m_site.callerEndpoint(m_random() % m_site.entryCount());
        call.progressTimeout = left;
        call.fields = {{"Host", heatherroute::support::kSiteHost},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", std::to_string(left.count())},
                       {"X-Model", "m"},
                       {"X-Token-Count", "500,130"},
                       {"X-Prompt-Prefix", "5c1e07a2:200,ab" + std::to_string(m_random() % 100'000) + ":300"}};
        if (!first.empty()) {
            call.fields.push_back({"Resumes", first});
            call.fields.push_back({"Last-Event-Id", std::to_string(lastEvent)});
        }
        std::string body;
        attempt result;
        result.lastEvent = lastEvent;
        const net::http_exchange::head_hook onHead = [&result](const net::http_answer &head) -> asio::awaitable<bool> {
            result.status = head.status;
            result.retryAfterS = std::strtod(std::string(head.header("Retry-After")).c_str(), nullptr);
            co_return true;
        };
        const net::http_exchange::body_hook onBody = [&body](std::string_view piece) -> asio::awaitable<void> {
            body.append(piece);
            co_return;
        };
        const auto exchange = net::http_exchange::make(m_site.executor(), std::move(call));
        const net::http_result ended = co_await exchange->run(onHead, onBody);
        result.isComplete = ended.answer.has_value();
        const auto end = body.rfind("\n\n");
        const auto field = end == std::string::npos ? end : body.rfind("id: ", end);
        if (result.status == 200 && field != std::string::npos) {
            result.lastEvent = static_cast<std::uint32_t>(std::strtoul(body.c_str() + field + 4, nullptr, 10));
        }
        co_return result;
    }

    heatherroute::support::relay_site &m_site;
    std::string m_name;
    stream_counts &m_counts;
    const bool &m_isStopping;
    milliseconds m_resumePause;
    std::mt19937 m_random;
    int m_requests = 0;
};

/// Writes which versions wrote each stream to @p log. Returns the number of streams that hold events of two versions.
inline int recordVersions(heatherroute::support::relay_site &site, const stream_counts &counts, record &log)
{
    int mixed = 0;
    for (const auto &[id, versions] : site.upstreamLog().streamVersions) {
        std::string names;
        for (const std::string &version : versions) {
            names += " " + version;
        }
        log.line("stream " + id + " holds events of" + names);
        mixed += versions.size() > 1 ? 1 : 0;
    }
    log.line("streams begun " + std::to_string(counts.begun) + ", attempts to take up " + std::to_string(counts.attemptsToTakeUp) + ", of these gone on "
             + std::to_string(counts.goneOn) + ", refused " + std::to_string(counts.refused) + ", streams with events of two versions " + std::to_string(mixed)
             + " (more than two break the rule)");
    return mixed;
}

} // namespace review
