#include "settings/settings_table.h"

#include "settings/settings_names.h"
#include "settings/yaml_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace heatherroute::detail
{
namespace
{

// Port 0 lets the kernel choose a port to listen on; it is not valid in an address to connect to.
constexpr std::uint32_t kMinListenPort = 0;
constexpr std::uint32_t kMinConnectPort = 1;
constexpr std::uint64_t kMaxMilliseconds = 3'600'000;
// An entry that cannot learn of a handover must stop assigning work within seconds, so this limit is much lower than kMaxMilliseconds.
constexpr std::uint64_t kMaxCutOffMilliseconds = 9000;
constexpr std::uint64_t kMaxSeconds = 86'400;
constexpr std::uint64_t kMebibyte = 1'048'576;

/// The range and the default of an integer.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::uint64_t fallback = 0;
};

settings_key withDefault(settings_key key, std::string defaultText)
{
    key.presence = key_presence::Defaulted;
    key.defaultText = std::move(defaultText);
    return key;
}

// The `field` arguments below are functions that take an entry_values and return a reference to the field that the key sets.

template<typename Field>
settings_key nameKey(const std::string &path, Field field, const std::string &doc)
{
    settings_key key;
    key.path = path;
    key.type = "text";
    key.accepted = kNameAccepted;
    key.doc = doc;
    key.assign = [field](const YAML::Node &node, entry_values &values) {
        const std::optional<std::string> text = parseName(node);
        if (text) {
            field(values) = *text;
        }
        return text.has_value();
    };
    return key;
}

template<typename Field>
settings_key addressKey(const std::string &path, std::uint32_t minPort, Field field, const std::string &doc)
{
    settings_key key;
    key.path = path;
    key.type = "address";
    key.accepted = addressAccepted(minPort);
    key.doc = doc;
    key.assign = [field, minPort](const YAML::Node &node, entry_values &values) {
        const std::optional<std::string> text = parseAddress(node, minPort);
        if (text) {
            field(values) = *text;
        }
        return text.has_value();
    };
    return key;
}

template<typename Field>
settings_key optionalAddressKey(const std::string &path, Field field, const std::string &absentText, const std::string &doc)
{
    settings_key key = addressKey(path, kMinConnectPort, field, doc);
    key.presence = key_presence::Optional;
    key.defaultText = absentText;
    return key;
}

template<typename Field>
settings_key optionalListenKey(const std::string &path, Field field, const std::string &doc)
{
    settings_key key = addressKey(path, kMinListenPort, field, doc);
    key.presence = key_presence::Optional;
    key.defaultText = "not served";
    return key;
}

// `Value` is the type of the field: an unsigned integer or a std::chrono duration.
template<typename Value, typename Field>
settings_key numberKey(const std::string &path, const number_range &range, const std::string &unit, Field field, const std::string &doc)
{
    settings_key key;
    key.path = path;
    key.type = "integer";
    key.accepted = integerAccepted(range.min, range.max);
    key.unit = unit;
    key.doc = doc;
    key.assign = [field, range](const YAML::Node &node, entry_values &values) {
        const std::optional<std::uint64_t> number = parseInteger(node, range.min, range.max);
        if (number) {
            field(values) = Value(*number);
        }
        return number.has_value();
    };
    return withDefault(key, std::to_string(range.fallback));
}

template<typename Field>
settings_key bytesKey(const std::string &path, const number_range &range, Field field, const std::string &doc)
{
    return numberKey<std::uint64_t>(path, range, "bytes", field, doc);
}

template<typename Field>
settings_key countKey(const std::string &path, const number_range &range, Field field, const std::string &doc)
{
    return numberKey<std::uint32_t>(path, range, "", field, doc);
}

template<typename Field>
settings_key millisecondsKey(const std::string &path, std::uint64_t min, std::uint64_t fallback, Field field, const std::string &doc)
{
    return numberKey<std::chrono::milliseconds>(path, {min, kMaxMilliseconds, fallback}, "ms", field, doc);
}

template<typename Field>
settings_key secondsKey(const std::string &path, std::uint64_t fallback, Field field, const std::string &doc)
{
    return numberKey<std::chrono::seconds>(path, {1, kMaxSeconds, fallback}, "s", field, doc);
}

template<typename Field>
settings_key realKey(const std::string &path, double min, double max, const std::string &fallback, const std::string &unit, Field field, const std::string &doc)
{
    settings_key key;
    key.path = path;
    key.type = "number";
    key.accepted = realAccepted(min, max);
    key.unit = unit;
    key.doc = doc;
    key.assign = [field, min, max](const YAML::Node &node, entry_values &values) {
        const std::optional<double> number = parseReal(node, min, max);
        if (number) {
            field(values) = *number;
        }
        return number.has_value();
    };
    return withDefault(key, fallback);
}

template<typename Enum, std::size_t Count, typename Field>
settings_key choiceKey(const std::string &path, const enum_names<Enum, Count> &names, Enum fallback, Field field, const std::string &doc)
{
    settings_key key;
    key.path = path;
    key.type = "choice";
    key.accepted = "one of " + joinWords({names.names.begin(), names.names.end()});
    key.doc = doc;
    key.assign = [field, names](const YAML::Node &node, entry_values &values) {
        const std::optional<std::string> text = parseText(node);
        const std::optional<Enum> value = text ? names.find(*text) : std::nullopt;
        if (value) {
            field(values) = *value;
        }
        return value.has_value();
    };
    return withDefault(key, std::string(names.nameOf(fallback)));
}

bool appendSeed(const YAML::Node &item, entry_values &values)
{
    const std::optional<std::string> address = parseAddress(item, kMinConnectPort);
    if (!address || std::find(values.seeds.begin(), values.seeds.end(), *address) != values.seeds.end()) {
        return false;
    }
    values.seeds.push_back(*address);
    return true;
}

settings_key seedsKey()
{
    settings_key key;
    key.path = "seeds";
    key.type = "list of addresses";
    key.isList = true;
    key.accepted = "a list of addresses without duplicates, each " + addressAccepted(kMinConnectPort);
    key.doc = "Peer addresses of other entries that the entry contacts first to join the group. The list may include its own address.";
    key.assign = appendSeed;
    return withDefault(key, "[]");
}

settings_key seedKey()
{
    constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
    settings_key key = numberKey<std::uint64_t>(
        "seed", {0, kMax, 0}, "", [](entry_values & v) -> auto & { return v.seed; }, "Seed of the entry's random choices, for reproducible runs.");
    key.presence = key_presence::Optional;
    key.defaultText = "taken from the system";
    return key;
}

using key_list = std::vector<settings_key>;

void addIdentityKeys(key_list &keys)
{
    keys.push_back(nameKey(
        "name", [](entry_values & v) -> auto & { return v.name; }, "Name of the entry, unique in the fleet."));
    keys.push_back(nameKey(
        "half", [](entry_values & v) -> auto & { return v.half; }, "Half of the fleet that the entry serves, as named in the inventory."));
    keys.push_back(nameKey(
        "zone", [](entry_values & v) -> auto & { return v.zone; }, "Availability zone of the entry's VM."));
    keys.push_back(nameKey(
        "region", [](entry_values & v) -> auto & { return v.region; }, "Region of the availability zone."));
}

void addAddressKeys(key_list &keys)
{
    keys.push_back(addressKey(
        "listen.callers", kMinListenPort, [](entry_values & v) -> auto & { return v.listen.callers; }, "TCP address for callers."));
    keys.push_back(addressKey(
        "listen.operators",
        kMinListenPort,
        [](entry_values & v) -> auto & { return v.listen.operators; },
        "TCP address for operators: metrics, state dumps, drain."));
    keys.push_back(addressKey(
        "listen.peers", kMinListenPort, [](entry_values & v) -> auto & { return v.listen.peers; }, "Address for other entries, used for both UDP and TCP."));
    keys.push_back(optionalListenKey(
        "listen.readiness",
        [](entry_values & v) -> auto & { return v.listen.readiness; },
        "TCP address for the platform's readiness checks; only for the relay."));
    keys.push_back(optionalListenKey(
        "listen.directory",
        [](entry_values & v) -> auto & { return v.listen.directory; },
        "TCP address where callers look up which entries to use; only for the relay."));
    keys.push_back(optionalListenKey(
        "listen.entries",
        [](entry_values & v) -> auto & { return v.listen.entries; },
        "TCP address where other entries pass on requests whose upstreams they don't reach; only for the relay."));
    keys.push_back(optionalAddressKey(
        "advertise.callers",
        [](entry_values & v) -> auto & { return v.advertise.callers; },
        "the bound address of `listen.callers`",
        "Address that the entry advertises to callers."));
    keys.push_back(optionalAddressKey(
        "advertise.peers",
        [](entry_values & v) -> auto & { return v.advertise.peers; },
        "the bound address of `listen.peers`",
        "Address that the entry advertises to other entries."));
    keys.push_back(addressKey(
        "platform.log", kMinConnectPort, [](entry_values & v) -> auto & { return v.platform.log; }, "Address of the platform's log service."));
    keys.push_back(addressKey(
        "platform.vms", kMinConnectPort, [](entry_values & v) -> auto & { return v.platform.vms; }, "Address of the platform's list of VMs."));
    keys.push_back(withDefault(nameKey(
                                   "platform.config_stream",
                                   [](entry_values & v) -> auto & { return v.platform.configStream; },
                                   "Stream of the log that carries the configuration; the same for both halves."),
                               "config"));
    keys.push_back(seedsKey());
}

/// An integer whose default comes from the system.
template<typename Field>
settings_key systemKey(const std::string &path, const number_range &range, const std::string &unit, Field field, const std::string &doc)
{
    settings_key key = numberKey<std::uint64_t>(path, range, unit, field, doc);
    key.presence = key_presence::Optional;
    key.defaultText = "what the system reports";
    return key;
}

void addLimitKeys(key_list &keys)
{
    keys.push_back(bytesKey(
        "limits.max_body_bytes",
        {1024, 1024 * kMebibyte, 8 * kMebibyte},
        [](entry_values & v) -> auto & { return v.limits.maxBodyBytes; },
        "Maximum size of a request body; a larger one is rejected with status 413."));
    keys.push_back(bytesKey(
        "limits.max_header_bytes",
        {1024, kMebibyte, 16384},
        [](entry_values & v) -> auto & { return v.limits.maxHeaderBytes; },
        "Maximum size of a request header; a larger one is rejected with status 431."));
    keys.push_back(countKey(
        "limits.max_requests",
        {1, 1'000'000, 2048},
        [](entry_values & v) -> auto & { return v.limits.maxRequests; },
        "Maximum number of requests that the entry holds at once, including queued ones; further requests are rejected as not run."));
    keys.push_back(countKey(
        "limits.max_requests_per_connection",
        {1, 1'000'000, 1000},
        [](entry_values & v) -> auto & { return v.limits.maxRequestsPerConnection; },
        "Maximum number of requests on one connection before it is closed."));
    keys.push_back(bytesKey(
        "limits.max_buffered_bytes_per_stream",
        {4096, 64 * kMebibyte, 262'144},
        [](entry_values & v) -> auto & { return v.limits.maxBufferedBytesPerStream; },
        "Maximum number of response bytes buffered for a caller that reads slowly; beyond it the stream ends and the request is cancelled."));
    keys.push_back(millisecondsKey(
        "limits.header_timeout_ms",
        10,
        5000,
        [](entry_values & v) -> auto & { return v.limits.headerTimeout; },
        "Timeout for receiving the header of a request."));
    keys.push_back(millisecondsKey(
        "limits.body_timeout_ms", 10, 20'000, [](entry_values & v) -> auto & { return v.limits.bodyTimeout; }, "Timeout for receiving the body of a request."));
    keys.push_back(millisecondsKey(
        "limits.body_progress_timeout_ms",
        10,
        10'000,
        [](entry_values & v) -> auto & { return v.limits.bodyProgressTimeout; },
        "Time without any further byte of a body after which its request is refused with status 408."));
    keys.push_back(millisecondsKey(
        "limits.idle_timeout_ms",
        10,
        60'000,
        [](entry_values & v) -> auto & { return v.limits.idleTimeout; },
        "Time after which a connection without a request is closed."));
    keys.push_back(systemKey(
        "limits.memory_mb",
        {32, 1'048'576, 0},
        "MiB",
        [](entry_values & v) -> auto & { return v.limits.memoryMb; },
        "Memory of the entry's VM. Connections, requests and collected responses together are kept so small that the process stays under three quarters of "
        "it; what does not fit waits or is refused as not run."));
    keys.push_back(systemKey(
        "limits.max_descriptors",
        {64, 10'000'000, 0},
        "",
        [](entry_values & v) -> auto & { return v.limits.maxDescriptors; },
        "Number of descriptors that the process may open. Half of those that are not kept for files are for connections of callers."));
}

void addDecisionKeys(key_list &keys)
{
    keys.push_back(millisecondsKey(
        "targets.first_token_ms", 1, 890, [](entry_values & v) -> auto & { return v.targets.firstToken; }, "Target time to the first token."));
    keys.push_back(millisecondsKey(
        "targets.token_interval_ms", 1, 42, [](entry_values & v) -> auto & { return v.targets.tokenInterval; }, "Target time between two consecutive tokens."));
    keys.push_back(choiceKey(
        "placement.policy",
        kPlacementNames,
        placement_kind::OwnerGrants,
        [](entry_values & v) -> auto & { return v.placement; },
        "Policy that selects upstreams; all but `owner_grants` are for comparisons. `owner_grants` selects the pair with the best predicted time to first "
        "token and token interval, based on this entry's own reservations and delayed load reports; grants between entries are not used yet."));
    keys.push_back(secondsKey(
        "entry_answer.lifetime_s",
        30,
        [](entry_values & v) -> auto & { return v.entryAnswerLifetime; },
        "How long a caller may cache the response to `GET /v1/entry`."));
    keys.push_back(secondsKey(
        "stop.limit_s",
        600,
        [](entry_values & v) -> auto & { return v.stopLimit; },
        "How long a graceful shutdown waits for requests in flight before it aborts and logs them."));
}

void addMembershipAndConfigKeys(key_list &keys)
{
    keys.push_back(millisecondsKey(
        "membership.probe_interval_ms",
        10,
        400,
        [](entry_values & v) -> auto & { return v.membership.probeInterval; },
        "Interval between two probes of peers."));
    keys.push_back(millisecondsKey(
        "membership.probe_timeout_ms",
        5,
        120,
        [](entry_values & v) -> auto & { return v.membership.probeTimeout; },
        "Timeout of a direct probe, after which other entries are asked to probe the peer; must be less than the probe interval."));
    keys.push_back(countKey(
        "membership.indirect_probes",
        {0, 16, 3},
        [](entry_values & v) -> auto & { return v.membership.indirectProbes; },
        "Number of entries that are asked to probe a peer that did not reply."));
    keys.push_back(millisecondsKey(
        "membership.suspicion_timeout_ms",
        20,
        3000,
        [](entry_values & v) -> auto & { return v.membership.suspicionTimeout; },
        "Time that a suspected peer has to refute the suspicion before it counts as dead; must be at least the probe interval."));
    keys.push_back(millisecondsKey(
        "config.poll_wait_ms", 1, 1000, [](entry_values & v) -> auto & { return v.config.pollWait; }, "Maximum wait of one read of the configuration stream."));
    keys.push_back(numberKey<std::chrono::milliseconds>(
        "config.cut_off_after_ms",
        {100, kMaxCutOffMilliseconds, 4000},
        "ms",
        [](entry_values & v) -> auto & { return v.config.cutOffAfter; },
        "When neither the log nor a peer has confirmed for this time that the entry's configuration is current, the entry assigns no new work; must be more "
        "than the poll wait."));
}

void addTeamKeys(key_list &keys)
{
    constexpr double kMaxTimeS = 3600;
    constexpr double kMaxTimeMs = kMaxTimeS * 1000;
    constexpr double kMaxUnits = 1e12;
    keys.push_back(realKey(
        "relay.revoke_ms",
        0,
        kMaxTimeMs,
        "0",
        "ms",
        [](entry_values & v) -> auto & { return v.relay.revokeMs; },
        "Time after which no request with an API key that was removed from the configuration may run; an entry that can't confirm its configuration in time "
        "refuses requests that need a key. 0 for no bound."));
    keys.push_back(realKey(
        "relay.quota_window_s",
        1,
        kMaxTimeS,
        "8",
        "s",
        [](entry_values & v) -> auto & { return v.relay.quotaWindowS; },
        "Sliding window in which the use of a team is compared with its quota."));
    keys.push_back(realKey(
        "relay.quota_over",
        0,
        1,
        "0",
        "",
        [](entry_values & v) -> auto & { return v.relay.quotaOver; },
        "Fraction by which the use of a team in a window may exceed its quota, over all entries."));
    keys.push_back(realKey(
        "relay.quota_slack",
        0,
        kMaxUnits,
        "0",
        "",
        [](entry_values & v) -> auto & { return v.relay.quotaSlack; },
        "Units by which the use of a team in a window may exceed its quota in addition, over all entries; requests or tokens, as the quota counts."));
}

void addRelayKeys(key_list &keys)
{
    constexpr double kMaxRetrySlack = 1e6;
    constexpr double kMaxTimeS = 3600;
    constexpr double kMaxTimeMs = kMaxTimeS * 1000;
    keys.push_back(realKey(
        "relay.retry_share",
        0,
        1,
        "0.1",
        "",
        [](entry_values & v) -> auto & { return v.relay.retryShare; },
        "Retry budget of a service as a fraction of its requests within `relay.retry_window_s`, over all entries."));
    keys.push_back(realKey(
        "relay.retry_slack",
        0,
        kMaxRetrySlack,
        "20",
        "",
        [](entry_values & v) -> auto & { return v.relay.retrySlack; },
        "Number of additional retries at a service within the window, over all entries."));
    keys.push_back(realKey(
        "relay.retry_window_s", 1, kMaxTimeS, "10", "s", [](entry_values & v) -> auto & { return v.relay.retryWindowS; }, "Window of the retry budget."));
    keys.push_back(realKey(
        "relay.stop_grace_s",
        1,
        kMaxTimeS,
        "8",
        "s",
        [](entry_values & v) -> auto & { return v.relay.stopGraceS; },
        "Time from the stop signal until the platform ends the process."));
    keys.push_back(realKey(
        "relay.lease_ms",
        100,
        kMaxTimeMs,
        "3000",
        "ms",
        [](entry_values & v) -> auto & { return v.relay.leaseMs; },
        "Duration of the lease that allows an entry to give orders to engines, unless it is renewed."));
    keys.push_back(realKey(
        "relay.thaw_ms",
        0,
        kMaxTimeMs,
        "300",
        "ms",
        [](entry_values & v) -> auto & { return v.relay.thawMs; },
        "How long after its sender's VM resumed or its link recovered an order may still arrive."));
    addTeamKeys(keys);
    keys.push_back(countKey(
        "relay.shared_placement_entries",
        {0, 1'000'000, 0},
        [](entry_values & v) -> auto & { return v.relay.sharedPlacementEntries; },
        "Number of entries from which the coordinator of an engine pool assigns engines for all of them; with fewer entries, or 0, each entry chooses by "
        "itself."));
}

void addLogKeys(key_list &keys)
{
    keys.push_back(choiceKey(
        "log.level",
        kLogLevelNames,
        log_level::Info,
        [](entry_values & v) -> auto & { return v.log.level; },
        "Minimum severity of the log lines that are written; can be changed at run time."));
    keys.push_back(choiceKey(
        "log.format", kLogFormatNames, log_format::KeyValue, [](entry_values & v) -> auto & { return v.log.format; }, "Format of a log line."));
    keys.push_back(choiceKey(
        "log.output",
        kLogOutputNames,
        log_output::StandardError,
        [](entry_values & v) -> auto & { return v.log.output; },
        "Stream that log lines are written to."));
}

key_list makeTable()
{
    key_list keys;
    addIdentityKeys(keys);
    addAddressKeys(keys);
    addLimitKeys(keys);
    addDecisionKeys(keys);
    addMembershipAndConfigKeys(keys);
    addRelayKeys(keys);
    addLogKeys(keys);
    keys.push_back(seedKey());
    return keys;
}

} // namespace

const std::vector<settings_key> &settingsTable()
{
    static const key_list table = makeTable();
    return table;
}

std::string_view groupOf(std::string_view path)
{
    const std::size_t dot = path.find('.');
    return dot == std::string_view::npos ? std::string_view() : path.substr(0, dot);
}

} // namespace heatherroute::detail
