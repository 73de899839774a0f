#include "heatherbench_control_run.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include <stdlib.h>

#include "heatherbench_control_fleet.h"
#include "heatherroute/config_record.h"
#include "net/http_client.h"
#include "node/log_answer.h"

namespace heatherroute::bench
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t kUpstreamsPerRecord = 400;
constexpr std::chrono::seconds kSettleTime{3};
constexpr std::chrono::seconds kAgreementTimeout{12};
constexpr const char *kSlowLogFault = R"({"slow_ms":800})";
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr double kPercent = 100;
constexpr std::size_t kEntriesPerFrozenEntry = 10;

using wall_clock = std::chrono::system_clock;
using wall_time = wall_clock::time_point;

upstream makeUpstream(std::size_t number, std::uint32_t slots)
{
    constexpr std::size_t kValuesPerByte = 256;
    upstream value;
    value.name = "decode-" + std::to_string(number);
    // Nothing listens on port 9 of these loopback addresses, so connections are refused at once.
    value.address = "127.1." + std::to_string(number / kValuesPerByte) + "." + std::to_string(number % kValuesPerByte) + ":9";
    value.zone = "zone-" + std::to_string(number % 3);
    value.half = number % 2 == 0 ? "north" : "south";
    value.kind = upstream_kind::DecodeEngine;
    value.modelOrService = "audit-large";
    value.slots = slots;
    value.pieces = 900;
    value.pieceTokens = 2048;
    return value;
}

/// A temporary directory that the destructor removes; the path is empty when it can't be created.
struct temporary_folder
{
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "heatherbench-XXXXXX").string();
        path = ::mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
    }

    ~temporary_folder()
    {
        std::error_code ignored;
        if (!path.empty()) {
            std::filesystem::remove_all(path, ignored);
        }
    }

    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    std::string path;
};

/// Appends configuration changes to the log and records when each was sent.
class change_publisher
{
public:
    change_publisher(const asio::ip::tcp::endpoint &platform, std::size_t upstreams)
        : m_platform(platform)
        , m_upstreams(upstreams)
    { }

    asio::awaitable<void> publishInventory()
    {
        for (std::size_t first = 0; first < m_upstreams; first += kUpstreamsPerRecord) {
            config_change change;
            change.publishId = "inventory-" + std::to_string(first);
            for (std::size_t i = first; i < std::min(first + kUpstreamsPerRecord, m_upstreams); ++i) {
                change.upserts.push_back(makeUpstream(i, 20));
            }
            co_await append(change);
        }
    }

    asio::awaitable<void> publishChanges(std::size_t count, double rate)
    {
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor);
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < count; ++i) {
            const std::chrono::duration<double> offset(static_cast<double>(i) / rate);
            timer.expires_at(start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset));
            co_await timer.async_wait(asio::use_awaitable);
            // The append is not awaited, because a slow log must not lower the rate.
            asio::co_spawn(executor, publishOne(i), asio::detached);
        }
    }

    /// Returns the offset after the last appended record.
    log_offset nextOffset() const noexcept
    {
        return m_baseRevision ? *m_baseRevision + 1 : 0;
    }

    const std::map<std::string, wall_time> &sentAt() const noexcept
    {
        return m_sentAt;
    }

private:
    asio::awaitable<void> publishOne(std::size_t number)
    {
        config_change change;
        change.publishId = "change-" + std::to_string(number);
        change.operatorName = "operator";
        // Upstreams change in turn and not at random, so that a change doesn't conflict with an earlier one of the same
        // upstream that the log hasn't acknowledged yet.
        change.upserts = {makeUpstream(number % m_upstreams, 21 + static_cast<std::uint32_t>(number % 7))};
        change.half = change.upserts.front().half;
        change.baseRevision = m_baseRevision;
        const wall_time sentAt = wall_clock::now();
        if (co_await append(change)) {
            m_sentAt.emplace(change.publishId, sentAt);
        }
    }

    asio::awaitable<bool> append(const config_change &change)
    {
        net::http_call call;
        call.endpoint = m_platform;
        call.target = node::appendTarget("config");
        call.body = node::appendBody(encodeRecord(change));
        const net::http_result result = co_await net::performCall(std::move(call));
        if (!result.answer || result.answer->status != 200) {
            co_return false;
        }
        const auto first = json::parse(result.answer->body).at("first").to_number<log_offset>();
        m_baseRevision = std::max(m_baseRevision, config_revision(first));
        co_return true;
    }

    asio::ip::tcp::endpoint m_platform;
    std::size_t m_upstreams;
    config_revision m_baseRevision;
    std::map<std::string, wall_time> m_sentAt;
};

std::string valueAfter(const std::string &line, const std::string &key)
{
    const std::size_t at = line.find(key);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + key.size();
    return line.substr(begin, line.find_first_of(" \n", begin) - begin);
}

wall_time parseLogTime(const std::string &text)
{
    std::tm calendarTime{};
    std::istringstream stream(text);
    char comma = 0;
    int milliseconds = 0;
    const auto number = [&stream, &comma](int &value) { stream >> value >> comma; };
    number(calendarTime.tm_year);
    number(calendarTime.tm_mon);
    number(calendarTime.tm_mday);
    number(calendarTime.tm_hour);
    number(calendarTime.tm_min);
    number(calendarTime.tm_sec);
    stream >> milliseconds;
    calendarTime.tm_year -= 1900;
    calendarTime.tm_mon -= 1;
    return wall_clock::from_time_t(timegm(&calendarTime)) + std::chrono::milliseconds(milliseconds);
}

struct decision_time
{
    wall_time at;
    bool accepted = false;
};

/// Reads from an entry's log when it decided on each publication, by publish id.
std::map<std::string, decision_time> readDecisions(const std::string &logPath)
{
    std::map<std::string, decision_time> decisions;
    std::ifstream file(logPath);
    std::string line;
    while (std::getline(file, line)) {
        if (line.find("event=publication_decided") != std::string::npos) {
            std::string time = valueAfter(line, "time=");
            std::replace_if(
                time.begin(), time.end(), [](char c) { return c == '-' || c == 'T' || c == ':' || c == '.'; }, ',');
            decisions.emplace(valueAfter(line, "publish_id="), decision_time{parseLogTime(time), valueAfter(line, "accepted=") == "true"});
        }
    }
    return decisions;
}

net::http_result sendAndWait(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint, const std::string &target, const std::string &body = {})
{
    net::http_call call;
    call.endpoint = endpoint;
    call.method = body.empty() ? "GET" : "POST";
    call.target = target;
    call.body = body;
    net::http_result result;
    bool ended = false;
    asio::co_spawn(context, net::performCall(std::move(call)), [&](const std::exception_ptr &, net::http_result received) {
        result = std::move(received);
        ended = true;
    });
    while (!ended) {
        context.run_one();
    }
    return result;
}

/// Returns the log offset and the configuration digest of @p entry; empty when it doesn't respond.
std::string fetchPosition(asio::io_context &context, const fleet_entry &entry)
{
    const net::http_result result = sendAndWait(context, entry.operatorEndpoint, "/debug/state");
    if (!result.answer || result.answer->status != 200) {
        return {};
    }
    const json::value document = json::parse(result.answer->body);
    const json::object &configuration = document.at("configuration").as_object();
    return json::serialize(configuration.at("next")) + " " + json::serialize(configuration.at("digest"));
}

/// Returns the bytes exchanged with peers since the start, from the entry's metrics; 0 without such metrics.
double fetchPeerBytes(asio::io_context &context, const fleet_entry &entry)
{
    const net::http_result result = sendAndWait(context, entry.operatorEndpoint, "/metrics");
    double total = 0;
    std::istringstream lines(result.answer ? result.answer->body : std::string());
    std::string line;
    while (std::getline(lines, line)) {
        const bool isPeerBytes = line.find("peer") < line.find(' ') && line.find("bytes") < line.find(' ');
        if (isPeerBytes && line.front() != '#') {
            total += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return total;
}

class control_run
{
public:
    control_run(asio::io_context &context, const control_case &benchCase, control_fleet &fleet)
        : m_context(context)
        , m_benchCase(benchCase)
        , m_fleet(fleet)
        , m_publisher(fleet.platform(), benchCase.upstreams)
    { }

    control_result run()
    {
        asio::co_spawn(m_context, m_publisher.publishInventory(), asio::detached);
        m_context.run_for(kSettleTime);
        waitForAgreement();
        if (m_benchCase.fault == control_fault::LogSlow) {
            sendAndWait(m_context, m_fleet.platform(), "/fault", kSlowLogFault);
        }
        measure();
        waitForAgreement();
        m_result.agreed = entriesAgree();
        if (!m_result.agreed) {
            for (const fleet_entry &entry : m_fleet.entries()) {
                std::cerr << entry.name << " is at offset and digest " << fetchPosition(m_context, entry) << ", expected offset " << m_publisher.nextOffset()
                          << '\n';
            }
        }
        recordLatencies();
        return m_result;
    }

private:
    bool entriesAgree()
    {
        std::set<std::string> positions;
        for (const fleet_entry &entry : m_fleet.entries()) {
            positions.insert(fetchPosition(m_context, entry));
        }
        // The offset may exceed that of the last published change, because entries append snapshots.
        return positions.size() == 1 && !positions.begin()->empty() && std::stoull(*positions.begin()) >= m_publisher.nextOffset();
    }

    /// Polls once a second, so that the queries put little load on the entries. Call it outside the measured time.
    void waitForAgreement()
    {
        const auto until = std::chrono::steady_clock::now() + kAgreementTimeout;
        do {
            m_context.run_for(std::chrono::seconds(1));
        } while (!entriesAgree() && std::chrono::steady_clock::now() < until);
    }

    double peerBytes()
    {
        double total = 0;
        for (const fleet_entry &entry : m_fleet.entries()) {
            total += fetchPeerBytes(m_context, entry);
        }
        return total;
    }

    std::vector<process_usage> usages() const
    {
        std::vector<process_usage> all;
        for (const fleet_entry &entry : m_fleet.entries()) {
            all.push_back(entry.process->usage().value_or(process_usage()));
        }
        all.push_back(m_fleet.platformProcess().usage().value_or(process_usage()));
        return all;
    }

    void measure()
    {
        const double peerBytesBefore = peerBytes();
        const std::vector<process_usage> before = usages();
        const relay_counts countsBefore = m_fleet.counts();
        const auto start = std::chrono::steady_clock::now();
        const std::chrono::duration<double> changeDuration(static_cast<double>(m_benchCase.changes) / m_benchCase.rate);
        const std::chrono::duration<double> idleDuration(static_cast<double>(m_benchCase.idleSeconds));
        const auto length = std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_benchCase.changes > 0 ? changeDuration : idleDuration);
        asio::co_spawn(m_context, m_publisher.publishChanges(m_benchCase.changes, m_benchCase.rate), asio::detached);
        m_context.run_for(length / 4);
        setFaultActive(true);
        m_context.run_for(length / 2);
        setFaultActive(false);
        m_context.run_for(length / 4);
        m_result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        recordUsage(before, usages(), countsBefore);
        m_result.peerBytesPerEntryS = (peerBytes() - peerBytesBefore) / entrySeconds();
    }

    void setFaultActive(bool on)
    {
        if (m_benchCase.fault == control_fault::LogLostByQuarter) {
            m_fleet.setCloseableRelayOpen(!on);
        }
        if (m_benchCase.fault != control_fault::Frozen) {
            return;
        }
        const std::size_t frozen = std::max<std::size_t>(1, m_fleet.entries().size() / kEntriesPerFrozenEntry);
        for (std::size_t i = 0; i < frozen; ++i) {
            m_resumedAt[m_fleet.entries()[i].name] = wall_clock::now();
            m_fleet.entries()[i].process->signal(on ? SIGSTOP : SIGCONT);
        }
    }

    double entrySeconds() const
    {
        return m_result.seconds * static_cast<double>(m_fleet.entries().size());
    }

    void recordUsage(const std::vector<process_usage> &before, const std::vector<process_usage> &after, const relay_counts &countsBefore)
    {
        const auto cpuPercent = [&](std::size_t i) {
            return kPercent * std::chrono::duration<double>(after[i].cpu - before[i].cpu).count() / m_result.seconds;
        };
        const std::size_t entries = m_fleet.entries().size();
        for (std::size_t i = 0; i < entries; ++i) {
            m_result.cpuPercentMean += cpuPercent(i) / static_cast<double>(entries);
            m_result.cpuPercentWorst = std::max(m_result.cpuPercentWorst, cpuPercent(i));
            m_result.residentMbWorst = std::max(m_result.residentMbWorst, static_cast<double>(after[i].residentBytes) / kBytesPerMegabyte);
            m_result.anonymousMbWorst = std::max(m_result.anonymousMbWorst, static_cast<double>(after[i].anonymousBytes) / kBytesPerMegabyte);
        }
        m_result.platformCpuPercent = cpuPercent(entries);
        const relay_counts counts = m_fleet.counts();
        const std::uint64_t bytes = counts.bytesUp + counts.bytesDown - countsBefore.bytesUp - countsBefore.bytesDown;
        m_result.logBytesPerEntryS = static_cast<double>(bytes) / entrySeconds();
        m_result.logConnectionsPerEntryS = static_cast<double>(counts.connections - countsBefore.connections) / entrySeconds();
    }

    void recordLatencies()
    {
        std::map<std::string, double> lastMs;
        for (const fleet_entry &entry : m_fleet.entries()) {
            const auto decisions = readDecisions(entry.process->logPath());
            const auto resumed = m_resumedAt.find(entry.name);
            for (const auto &[publishId, sentAt] : m_publisher.sentAt()) {
                const auto decision = decisions.find(publishId);
                if (decision == decisions.end()) {
                    ++m_result.missing;
                    continue;
                }
                m_result.rejected += decision->second.accepted ? 0 : 1;
                // Log times are whole milliseconds, and an entry may decide before the measurement has recorded its resumption.
                const bool decidedAfterResuming = resumed != m_resumedAt.end() && decision->second.at + std::chrono::milliseconds(1) >= resumed->second;
                const wall_time from = decidedAfterResuming ? std::max(sentAt, resumed->second) : sentAt;
                const double ms = std::chrono::duration<double, std::milli>(decision->second.at - from).count();
                lastMs[publishId] = std::max({lastMs[publishId], ms, 0.0});
            }
        }
        m_result.published = m_publisher.sentAt().size();
        std::vector<double> sorted;
        sorted.reserve(lastMs.size());
        for (const auto &[publishId, ms] : lastMs) {
            sorted.push_back(ms);
        }
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&sorted](double fraction) {
            return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
        };
        m_result.p50Ms = quantile(0.5);
        m_result.p99Ms = quantile(0.99);
        m_result.worstMs = quantile(1);
    }

    asio::io_context &m_context;
    const control_case &m_benchCase;
    control_fleet &m_fleet;
    change_publisher m_publisher;
    std::map<std::string, wall_time> m_resumedAt;
    control_result m_result;
};

} // namespace

std::optional<control_result> runControl(const control_case &benchCase, const std::string &programs, last_reason *reason)
{
    const temporary_folder folder;
    if (folder.path.empty()) {
        setReason(reason, "cannot create a temporary directory");
        return std::nullopt;
    }
    asio::io_context context(1);
    const auto guard = asio::make_work_guard(context);
    const auto fleet = control_fleet::make(context, programs, folder.path, benchCase.entries, reason);
    if (!fleet) {
        return std::nullopt;
    }
    return control_run(context, benchCase, *fleet).run();
}

} // namespace heatherroute::bench
