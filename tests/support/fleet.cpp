#include "support/fleet.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include "heatherroute/config_record.h"
#include "support/http_client.h"

namespace heatherroute::support
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::seconds kPublishLimit{20};
constexpr std::uint32_t kPieceTokens = 2048;
constexpr std::uint32_t kServiceSlots = 32;
const std::string kZone = "zone-1";

bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

} // namespace

std::unique_ptr<fleet> fleet::make(const std::string &programs, const std::string &half, last_reason *reason)
{
    std::unique_ptr<fleet> made(new fleet(programs, half));
    std::string folder = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        setReason(reason, "cannot create a temporary folder");
        return nullptr;
    }
    made->m_folder = folder;
    if (!made->start("platform", "fake_platform", {}, reason)) {
        return nullptr;
    }
    return made;
}

fleet::fleet(std::string programs, std::string half)
    : m_programs(std::move(programs))
    , m_half(std::move(half))
{ }

fleet::~fleet()
{
    std::error_code ignored;
    if (!m_folder.empty()) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

bool fleet::addEngine(const std::string &name, upstream_kind kind, const engine_traits &traits, last_reason *reason)
{
    const std::string role = kind == upstream_kind::PrefillEngine ? "prefill" : "decode";
    std::vector<std::string> arguments{
        "--role", role, "--model", traits.model, "--slots", std::to_string(traits.slots), "--pieces", std::to_string(traits.pieces)};
    arguments.insert(arguments.end(), traits.arguments.begin(), traits.arguments.end());
    if (!start(name, "fake_engine", arguments, reason)) {
        return false;
    }
    upstream declared;
    declared.name = name;
    declared.address = member(name).address;
    declared.zone = kZone;
    declared.half = m_half;
    declared.kind = kind;
    declared.modelOrService = traits.model;
    declared.slots = traits.slots;
    declared.pieces = traits.pieces;
    declared.pieceTokens = kPieceTokens;
    declared.checksFence = true;
    m_upstreams.push_back(declared);
    return true;
}

bool fleet::addService(const std::string &name, const std::string &service, const std::vector<std::string> &arguments, last_reason *reason)
{
    std::vector<std::string> all{"--name", service};
    all.insert(all.end(), arguments.begin(), arguments.end());
    if (!start(name, "fake_service", all, reason)) {
        return false;
    }
    upstream declared;
    declared.name = name;
    declared.address = member(name).address;
    declared.zone = kZone;
    declared.half = m_half;
    declared.kind = upstream_kind::PlainService;
    declared.modelOrService = service;
    declared.slots = kServiceSlots;
    m_upstreams.push_back(declared);
    return true;
}

bool fleet::addEntry(const std::string &name, last_reason *reason, const std::string &peer)
{
    const std::string file = m_folder + "/" + name + ".yaml";
    const std::string &platform = member("platform").address;
    std::ofstream settings(file);
    settings << "name: " << name << "\nhalf: " << m_half << "\nzone: " << kZone << "\nregion: region-1\n";
    settings << "listen: {callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}\n";
    settings << "platform: {log: \"" << platform << "\", vms: \"" << platform << "\"}\n";
    if (!peer.empty()) {
        settings << "seeds: [\"" << member(peer).peers << "\"]\n";
    }
    settings.close();
    if (!start(name, "heatherrouted", {"--settings", file}, reason)) {
        return false;
    }
    m_entries.push_back(name);
    return true;
}

void fleet::addRule(const rule &value)
{
    m_rules.push_back(value);
}

bool fleet::publish(last_reason *reason)
{
    config_change change;
    change.publishId = "fleet-" + std::to_string(++m_publishCount);
    change.operatorName = "fleet";
    change.upserts = m_upstreams;
    change.ruleUpserts = m_rules;
    const auto current = getJson(member("platform").address, "/log/config?from=0&max=1");
    if (current.status == 200 && current.json.at("next").as_int64() > 0) {
        change.baseRevision = static_cast<log_offset>(current.json.at("next").as_int64() - 1);
    }
    const auto reply = postJson(member("platform").address, "/log/config/append", {{"records", {encodeRecord(change)}}});
    if (reply.status != 200) {
        setReason(reason, "the platform rejected the publication: " + std::to_string(reply.status) + " " + reply.error);
        return false;
    }
    const std::int64_t next = reply.json.at("next").as_int64();
    for (const std::string &name : m_entries) {
        if (!waitFor(kPublishLimit, [this, &name, next] { return isConfigurationActive(member(name), next); })) {
            setReason(reason, "the publication did not become active in time on " + name);
            return false;
        }
    }
    return true;
}

bool fleet::isConfigurationActive(const fleet_member &entry, std::int64_t next)
{
    const auto reply = getJson(entry.operators, "/debug/state");
    if (reply.status != 200) {
        return false;
    }
    const json::object &configuration = reply.json.at("configuration").as_object();
    const json::value &revision = configuration.at("revision");
    const bool accepted = revision.is_number() && revision.to_number<std::int64_t>() >= next - 1;
    return accepted && !configuration.at("cut_off").as_bool();
}

fleet_member &fleet::member(const std::string &name)
{
    return m_members.at(name);
}

bool fleet::setFault(const std::string &name, const std::string &switches)
{
    return callHttp(member(name).address, "POST", "/fault", switches).status == 200;
}

int fleet::requestsHeld(const std::string &name) const
{
    const auto reply = getJson(m_members.at(name).address, "/v1/requests");
    if (reply.status != 200) {
        return -1;
    }
    return static_cast<int>(reply.json.at("requests").as_array().size());
}

bool fleet::waitUntilEnginesAreFree(std::chrono::milliseconds limit) const
{
    return waitFor(limit, [this] {
        for (const upstream &declared : m_upstreams) {
            const bool isEngine = declared.kind != upstream_kind::PlainService;
            const bool isRunning = !m_members.at(declared.name).process->waitForEnd(std::chrono::milliseconds(0));
            if (isEngine && isRunning && requestsHeld(declared.name) != 0) {
                return false;
            }
        }
        return true;
    });
}

bool fleet::start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments, last_reason *reason)
{
    fleet_member started;
    started.process = child_process::make(m_programs + "/" + program, arguments, reason, true);
    if (!started.process) {
        return false;
    }
    const auto words = started.process->waitUntilListening();
    if (words.empty()) {
        setReason(reason, name + " did not become ready in time");
        return false;
    }
    started.address = words.front();
    started.operators = words.size() > 2 ? words[2] : std::string();
    started.peers = words.size() > 4 ? words[4] : std::string();
    m_members[name] = std::move(started);
    return true;
}

} // namespace heatherroute::support
