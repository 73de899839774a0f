// Runs several entries as processes. Checks that they discover each other, detect failed entries, and keep serving only while they can
// read the configuration from the platform or from peers.
#include "support/http_client.h"
#include "support/process.h"

#include "heatherroute/config_record.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <set>
#include <thread>

#include <unistd.h>

namespace
{

using namespace heatherroute;
using namespace heatherroute::support;
namespace json = boost::json;

constexpr std::chrono::seconds kLimit{20};
constexpr std::chrono::milliseconds kCutOffAfter{2'000};
constexpr std::chrono::seconds kMemberRemovalLimit{5};

/// A started program and the words of its `listening` line, in which each address that the program does not have is empty.
class listening_program
{
public:
    listening_program(const std::string &name, const std::vector<std::string> &arguments)
    {
        last_reason reason;
        process = child_process::make(std::string(HEATHERROUTE_BIN_DIR) + "/" + name, arguments, &reason, true);
        if (process) {
            words = process->waitUntilListening(kLimit);
        }
        words.resize(std::max<std::size_t>(words.size(), 5));
    }

    const std::string &address() const
    {
        return words[0];
    }
    const std::string &operators() const
    {
        return words[2];
    }
    const std::string &peers() const
    {
        return words[4];
    }

    std::unique_ptr<child_process> process;
    std::vector<std::string> words;
};

bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string settingsFile(const std::string &name, const listening_program &platform, const std::string &seed)
{
    std::string file = std::filesystem::path(testing::TempDir()) / ("peers_test_" + std::to_string(::getpid()) + "_" + name + ".yaml");
    std::ofstream out(file);
    out << "name: " << name << "\nhalf: north\nzone: a1\nregion: a\n"
        << "listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}\n"
        << "platform: {log: '" << platform.address() << "', vms: '" << platform.address() << "'}\n"
        << "membership: {probe_interval_ms: 400, probe_timeout_ms: 120}\n"
        << "config: {poll_wait_ms: 500, cut_off_after_ms: " << kCutOffAfter.count() << "}\n";
    if (!seed.empty()) {
        out << "seeds: ['" << seed << "']\n";
    }
    return file;
}

std::unique_ptr<listening_program> startEntry(const std::string &name, const listening_program &platform, const std::string &seed = {})
{
    const std::string file = settingsFile(name, platform, seed);
    auto entry = std::make_unique<listening_program>("heatherrouted", std::vector<std::string>{"--settings", file});
    std::filesystem::remove(file);
    return entry;
}

bool publish(const listening_program &platform, const config_change &change)
{
    return postJson(platform.address(), "/log/config/append", {{"records", {encodeRecord(change)}}}).status == 200;
}

bool setOutage(const listening_program &platform, bool outage)
{
    return postJson(platform.address(), "/fault", {{"outage", outage}, {"vm_outage", outage}}).status == 200;
}

upstream serviceAt(const std::string &address)
{
    upstream service;
    service.name = "scan-1";
    service.kind = upstream_kind::PlainService;
    service.half = "north";
    service.zone = "a1";
    service.address = address;
    service.modelOrService = "scan";
    service.slots = 4;
    return service;
}

std::set<std::string> entriesListedBy(const listening_program &entry)
{
    std::set<std::string> addresses;
    const http_reply reply = getJson(entry.address(), "/v1/entry");
    if (reply.status == 200) {
        for (const json::value &one : reply.json.at("entries").as_array()) {
            addresses.emplace(one.at("address").as_string());
        }
    }
    return addresses;
}

http_reply callService(const listening_program &entry)
{
    return callHttp(entry.address(), "GET", "/svc/scan/page");
}

bool isNotRun(const http_reply &reply)
{
    return reply.status == 503 && reply.json.at("error").at("verdict") == "not_run";
}

/// A platform, a service named in the configuration, and three entries, two of which know only the address of the first one.
class process_peers : public testing::Test
{
public:
    void SetUp() override
    {
        config_change change;
        change.publishId = "p-1";
        change.upserts.push_back(serviceAt(service.address()));
        ASSERT_TRUE(publish(platform, change));
        entries.push_back(startEntry("n-1", platform));
        entries.push_back(startEntry("n-2", platform, entries[0]->peers()));
        entries.push_back(startEntry("n-3", platform, entries[0]->peers()));
        for (const auto &entry : entries) {
            ASSERT_FALSE(entry->peers().empty());
            ASSERT_TRUE(waitUntil(kLimit, [&] { return entriesListedBy(*entry).size() == 3; }));
            ASSERT_TRUE(waitUntil(kLimit, [&] { return callService(*entry).status == 200; }));
        }
    }

    listening_program platform{"fake_platform", {}};
    listening_program service{"fake_service", {"--name", "scan"}};
    std::vector<std::unique_ptr<listening_program>> entries;
};

TEST_F(process_peers, aKilledEntryIsNoLongerListed)
{
    EXPECT_EQ(entriesListedBy(*entries[0]), entriesListedBy(*entries[1]));
    const std::string killedAddress = entries[2]->address();
    entries[2]->process->signal(SIGKILL);
    EXPECT_TRUE(waitUntil(kMemberRemovalLimit,
                          [&] { return !entriesListedBy(*entries[0]).contains(killedAddress) && !entriesListedBy(*entries[1]).contains(killedAddress); }));
}

TEST_F(process_peers, aStoppingEntryListsTheOthersAndIsNotListed)
{
    const std::string stoppingAddress = entries[2]->address();
    std::set<std::string> others = entriesListedBy(*entries[2]);
    others.erase(stoppingAddress);
    ASSERT_EQ(postJson(service.address(), "/fault", {{"delay_ms", 2'000}}).status, 200U);
    auto inFlightCall = std::async(std::launch::async, [this] { return callService(*entries[2]).status; });
    const auto hasWork = [this] { return getJson(entries[2]->operators(), "/debug/state").json.at("service_calls") == 1; };
    ASSERT_TRUE(waitUntil(kLimit, hasWork));
    entries[2]->process->signal(SIGTERM);
    EXPECT_TRUE(waitUntil(kLimit, [&] { return entriesListedBy(*entries[2]) == others; }));
    EXPECT_EQ(inFlightCall.get(), 200U);
    EXPECT_EQ(entries[2]->process->waitForEnd(kLimit), 0);
    EXPECT_TRUE(waitUntil(kMemberRemovalLimit,
                          [&] { return !entriesListedBy(*entries[0]).contains(stoppingAddress) && !entriesListedBy(*entries[1]).contains(stoppingAddress); }));
}

TEST_F(process_peers, aPlatformOutageInterruptsNoServiceAndANewEntryStartsFromPeers)
{
    ASSERT_TRUE(setOutage(platform, true));
    const auto deadline = std::chrono::steady_clock::now() + 2 * kCutOffAfter;
    while (std::chrono::steady_clock::now() < deadline) {
        for (const auto &entry : entries) {
            const http_reply reply = callService(*entry);
            ASSERT_EQ(reply.status, 200U) << reply.body;
        }
    }
    const auto newEntry = startEntry("n-4", platform, entries[1]->peers());
    EXPECT_TRUE(waitUntil(kLimit, [&] { return callService(*newEntry).status == 200; })) << getJson(newEntry->operators(), "/debug/state").body;
}

TEST_F(process_peers, anEntryCutOffFromLogAndPeersRefusesWorkAndListsOnlyItself)
{
    ASSERT_TRUE(setOutage(platform, true));
    entries[1]->process->signal(SIGSTOP);
    entries[2]->process->signal(SIGSTOP);
    EXPECT_TRUE(waitUntil(2 * kCutOffAfter, [&] { return isNotRun(callService(*entries[0])); }));
    EXPECT_TRUE(waitUntil(kMemberRemovalLimit, [&] { return entriesListedBy(*entries[0]) == std::set<std::string>{entries[0]->address()}; }));
    entries[1]->process->signal(SIGCONT);
    entries[2]->process->signal(SIGCONT);
    EXPECT_TRUE(waitUntil(kLimit, [&] { return callService(*entries[0]).status == 200; }));
}

TEST_F(process_peers, aFrozenEntryDoesNotUseAnUpstreamRemovedMeanwhile)
{
    entries[2]->process->signal(SIGSTOP);
    config_change change;
    change.publishId = "p-2";
    change.baseRevision = 0;
    change.removals.push_back("scan-1");
    ASSERT_TRUE(publish(platform, change));
    std::this_thread::sleep_for(kCutOffAfter + std::chrono::milliseconds(500));
    ASSERT_NE(callService(*entries[0]).status, 200U);
    const auto before = getJson(service.address(), "/records").json.at("total");
    entries[2]->process->signal(SIGCONT);
    for (int i = 0; i < 200; ++i) {
        EXPECT_NE(callService(*entries[2]).status, 200U);
    }
    EXPECT_EQ(getJson(service.address(), "/records").json.at("total"), before);
}

TEST_F(process_peers, everyEntryReportsTheSameOwner)
{
    const auto ownerAt = [](const listening_program &entry) { return getJson(entry.operators(), "/admin/where?upstream=scan-1").json.at("owner"); };
    const json::value owner = ownerAt(*entries[0]);
    EXPECT_TRUE(owner.is_string());
    EXPECT_EQ(ownerAt(*entries[1]), owner);
    EXPECT_EQ(ownerAt(*entries[2]), owner);
    const http_reply state = getJson(entries[0]->operators(), "/debug/state");
    EXPECT_EQ(state.status, 200U) << state.error << state.body;
    EXPECT_EQ(state.json.at("members").as_array().size(), 2U);
}

} // namespace
