#include "node/version_summaries.h"

#include <set>
#include <utility>

#include "node/core_time.h"
#include "relay/origin_record.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t kMaxPages = 16; ///< Of the registrations since a summary.

} // namespace

version_summaries::version_summaries(const platform_store &store, std::function<void(log_line)> log)
    : m_store(store)
    , m_log(std::move(log))
{ }

void version_summaries::note(const keyed_page &records, std::uint64_t era, instant now)
{
    const auto reachesBackTo = [](const noted_summary &noted) { return noted.writtenBefore - std::chrono::milliseconds(noted.summary.currentMs); };
    for (const keyed_record &record : records.records) {
        last_reason reason;
        auto summary = readVersionSummary(record.value.value_or(""), &reason);
        if (!reason.text().empty()) {
            m_log({log_level::Warning, "version_summary_unreadable", {{"key", record.key}, {"reason", reason.text()}}});
        }
        if (!summary || summary->position.era != era) {
            continue;
        }
        noted_summary noted{std::move(*summary), now};
        if (!m_noted || m_noted->summary.position.era != era || reachesBackTo(noted) <= reachesBackTo(*m_noted)) {
            m_noted = std::move(noted);
        }
    }
}

asio::awaitable<std::optional<recorded_versions_read>> version_summaries::complete()
{
    if (!m_noted) {
        co_return std::nullopt;
    }
    recorded_versions_read read;
    read.summary = m_noted->summary;
    read.writtenBefore = m_noted->writtenBefore;
    read.readBegunAt = coreNow();
    std::set<std::pair<std::string, std::string>> later;
    std::uint64_t from = read.summary.position.offset;
    bool isEnd = false;
    for (std::size_t pages = 0; pages < kMaxPages && !isEnd; ++pages) {
        const keyed_page page = co_await m_store.readFrom(store_stream::Registrations, from, std::chrono::milliseconds(0), {});
        const bool isSameStore = page.era.value_or(0) == read.summary.position.era;
        if (page.outcome == store_outcome::HistoryGone || (page.outcome == store_outcome::Done && !isSameStore)) {
            m_log({log_level::Info, "version_summary_outdated", {{"from", std::to_string(from)}}});
            m_noted.reset();
        }
        if (page.outcome != store_outcome::Done || !isSameStore) {
            co_return std::nullopt;
        }
        for (const keyed_record &record : page.records) {
            last_reason ignored;
            if (const auto run = record.value ? m_store.decodeRegistration(record, &ignored) : std::nullopt) {
                later.emplace(run->service, run->softwareVersion);
            }
        }
        isEnd = page.next >= page.end;
        from = page.next;
    }
    if (!isEnd) {
        co_return std::nullopt;
    }
    for (const auto &[service, version] : later) {
        read.later.push_back({service, version, 0});
    }
    co_return read;
}

} // namespace heatherroute::node
