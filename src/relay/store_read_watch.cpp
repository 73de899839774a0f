#include "relay/store_read_watch.h"

#include <algorithm>

namespace heatherroute
{

using std::chrono::milliseconds;

store_read_watch store_read_watch::make(const store_read_watch_settings &settings)
{
    return store_read_watch(settings);
}

store_read_watch::store_read_watch(const store_read_watch_settings &settings)
    : m_settings(settings)
{ }

void store_read_watch::noteSent(store_stream stream, instant now, milliseconds wait)
{
    stream_state &state = m_streams[stream];
    state.isPending = true;
    state.sentAt = now;
    state.wait = wait;
}

void store_read_watch::noteAnswering(store_stream stream)
{
    stream_state &state = m_streams[stream];
    if (state.isPending) {
        state.isPending = false;
        noteAnswer(state.sentAt);
    }
}

void store_read_watch::noteDone(store_stream stream)
{
    stream_state &state = m_streams[stream];
    state.isPending = false;
    state.failures = 0;
    state.failuresBesideAnswers = 0;
}

void store_read_watch::noteFailed(store_stream stream)
{
    stream_state &state = m_streams[stream];
    if (isOvertaken(state)) {
        state.failuresBesideAnswers += 1;
        state.failures = state.failuresBesideAnswers;
    } else {
        state.failures += 1;
    }
    state.isPending = false;
}

void store_read_watch::noteAnswer(instant sentAt)
{
    m_answeredCall = std::max(m_answeredCall.value_or(sentAt), sentAt);
}

void store_read_watch::noteProbe(instant now, milliseconds minInterval, std::mt19937_64 &random)
{
    constexpr int kSpread = 4; // The interval varies by a quarter.
    const milliseconds interval = std::max(m_settings.probeInterval, minInterval);
    const milliseconds spread = interval / kSpread;
    m_nextProbeAt = now + milliseconds(std::uniform_int_distribution<std::int64_t>((interval - spread).count(), (interval + spread).count())(random));
}

std::uint32_t store_read_watch::failures(store_stream stream) const
{
    const auto found = m_streams.find(stream);
    return found != m_streams.end() ? found->second.failures : 0;
}

milliseconds store_read_watch::timeout(store_stream stream) const
{
    return timeoutAfter(failures(stream));
}

milliseconds store_read_watch::timeoutAfter(std::uint32_t failures) const
{
    constexpr std::uint32_t kMaxDoublings = 4;
    return std::min<milliseconds>(m_settings.minTimeout * (1U << std::min(failures, kMaxDoublings)), m_settings.maxTimeout);
}

bool store_read_watch::isOvertaken(const stream_state &state) const
{
    return m_answeredCall && *m_answeredCall > state.sentAt;
}

instant store_read_watch::giveUpAt(const stream_state &state) const
{
    return state.sentAt + state.wait + timeoutAfter(state.failuresBesideAnswers);
}

instant store_read_watch::probeAt(const stream_state &state) const
{
    return std::max(state.sentAt + state.wait + m_settings.probeInterval, m_nextProbeAt);
}

std::vector<store_stream> store_read_watch::takeGivenUp(instant now)
{
    std::vector<store_stream> streams;
    for (auto &[stream, state] : m_streams) {
        if (state.isPending && isOvertaken(state) && now >= giveUpAt(state)) {
            state.isPending = false;
            streams.push_back(stream);
        }
    }
    return streams;
}

bool store_read_watch::shouldProbe(instant now) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&](const auto &entry) {
        const stream_state &state = entry.second;
        return state.isPending && !isOvertaken(state) && now >= probeAt(state);
    });
}

std::optional<instant> store_read_watch::nextChange() const
{
    std::optional<instant> next;
    for (const auto &[stream, state] : m_streams) {
        if (state.isPending) {
            const instant at = isOvertaken(state) ? giveUpAt(state) : probeAt(state);
            next = std::min(next.value_or(at), at);
        }
    }
    return next;
}

} // namespace heatherroute
