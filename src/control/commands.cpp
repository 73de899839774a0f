#include "control/commands.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <optional>
#include <ostream>
#include <thread>

#include "control/blocking_call.h"
#include "control/publisher.h"
#include "net/http_status.h"
#include "node/core_time.h"
#include "telemetry/text_table.h"

namespace heatherroute::control
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::milliseconds kEntryTimeout{2'000};

/// Calls the operators' interface of an entry and returns its response, whatever the status; empty when the call failed.
std::optional<net::http_answer> callEntry(const std::string &address, const std::string &method, const std::string &target)
{
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint) {
        return std::nullopt;
    }
    net::http_call call;
    call.endpoint = *endpoint;
    call.method = method;
    call.target = target;
    call.progressTimeout = kEntryTimeout;
    return callAndWait(std::move(call)).answer;
}

/// The state dump of the entry; empty when the entry did not return one.
std::optional<json::object> fetchState(const std::string &address)
{
    const auto answer = callEntry(address, "GET", "/debug/state");
    if (!answer || answer->status >= net::status::kFirstRedirect) {
        return std::nullopt;
    }
    json::error_code error;
    json::value document = json::parse(answer->body, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    return std::move(document.get_object());
}

/// The offset of the first record that the entry has not applied; empty when the entry does not respond.
std::optional<log_offset> fetchNextOffset(const std::string &address)
{
    const auto state = fetchState(address);
    const json::value *configuration = state ? state->if_contains("configuration") : nullptr;
    const json::value *next = configuration != nullptr && configuration->is_object() ? configuration->get_object().if_contains("next") : nullptr;
    if (next == nullptr || !next->is_number()) {
        return std::nullopt;
    }
    return next->to_number<log_offset>();
}

std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Waits until all of @p entries have applied the record at @p offset and prints a line for each. The time limit
/// counts from @p since, the start of the publication.
int awaitEntries(std::vector<std::string> entries, log_offset offset, instant since, std::chrono::milliseconds limit, std::ostream &out)
{
    while (!entries.empty() && node::coreNow() - since < limit) {
        std::erase_if(entries, [&](const std::string &entry) {
            const auto applied = fetchNextOffset(entry);
            if (!applied || *applied <= offset) {
                return false;
            }
            out << "  in force on " << entry << " after " << milliseconds(node::coreNow() - since) << " ms\n";
            return true;
        });
        std::this_thread::sleep_for(kPollInterval);
    }
    for (const std::string &entry : entries) {
        out << "  not in force on " << entry << " after " << milliseconds(limit) << " ms\n";
    }
    return entries.empty() ? kExitSuccess : kExitUnreachable;
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr) {
        return "-";
    }
    return member->is_string() ? std::string(member->get_string()) : json::serialize(*member);
}

int forEachEntry(const std::vector<std::string> &entries, const std::string &method, const std::string &target, std::ostream &out)
{
    int code = kExitSuccess;
    for (const std::string &entry : entries) {
        const auto answer = callEntry(entry, method, target);
        out << entry << ": " << (answer ? answer->body : std::string("no answer")) << '\n';
        if (!answer || answer->status >= net::status::kFirstRedirect) {
            code = kExitUnreachable;
        }
    }
    return code;
}

} // namespace

int publish(const publish_options &order, std::ostream &out)
{
    last_reason reason;
    const auto reader = config_reader::make(order.location, &reason);
    if (!reader) {
        out << "cannot read the configuration from the log: " << reason.text() << '\n';
        return kExitUnreachable;
    }
    const config_change change = changeFor(reader->state(), {order.publishId, order.operatorName, order.half, order.wanted});
    if (isEmpty(change)) {
        out << "nothing to publish: the inventory is already in force\n";
        return kExitSuccess;
    }
    const instant since = node::coreNow();
    if (!reader->append(encodeRecord(change), &reason)) {
        out << "the append was not confirmed (" << reason.text() << "); reading the log to find out whether it took effect\n";
    }
    const auto decided = reader->awaitDecision(order.publishId, order.limit, &reason);
    if (!decided) {
        out << "unknown outcome: " << reason.text() << "; to retry safely, publish again with --publish-id " << order.publishId << '\n';
        return kExitUnreachable;
    }
    if (decided->outcome != change_outcome::Accepted) {
        out << "rejected at offset " << decided->offset << ": " << decided->detail << '\n';
        return kExitRejected;
    }
    out << "accepted at offset " << decided->offset << " after " << milliseconds(node::coreNow() - since) << " ms: " << change.upserts.size()
        << " upstreams written, " << change.removals.size() << " removed, " << change.ruleUpserts.size() << " rules written\n";
    return awaitEntries(order.entries, decided->offset, since, order.limit, out);
}

int printStatus(const std::vector<std::string> &entries, std::ostream &out)
{
    int code = kExitSuccess;
    std::vector<std::vector<std::string>> rows{
        {"ADDRESS", "ENTRY", "HALF", "ZONE", "STOPPING", "GENERATIONS", "CALLS", "REVISION", "NEXT", "AGE_MS", "CUT_OFF"}};
    for (const std::string &entry : entries) {
        const auto state = fetchState(entry);
        if (!state) {
            rows.push_back({entry, "no answer"});
            code = kExitUnreachable;
            continue;
        }
        const json::value *member = state->if_contains("configuration");
        const json::object configuration = member != nullptr && member->is_object() ? member->get_object() : json::object{};
        std::vector<std::string> row{entry};
        for (const char *key : {"entry", "half", "zone", "stopping", "generations", "service_calls"}) {
            row.push_back(textOf(*state, key));
        }
        for (const char *key : {"revision", "next", "freshness_ms", "cut_off"}) {
            row.push_back(textOf(configuration, key));
        }
        rows.push_back(std::move(row));
    }
    out << alignedTable(rows);
    return code;
}

int printDump(const std::vector<std::string> &entries, dump_format format, std::ostream &out)
{
    if (format == dump_format::Json) {
        return forEachEntry(entries, "GET", "/debug/state", out);
    }
    int code = kExitSuccess;
    for (const std::string &entry : entries) {
        const auto answer = callEntry(entry, "GET", "/debug/state?format=text");
        out << "address  " << entry << '\n' << (answer ? answer->body : std::string("no answer\n")) << '\n';
        code = answer && answer->status < net::status::kFirstRedirect ? code : kExitUnreachable;
    }
    return code;
}

int drain(const std::vector<std::string> &entries, std::ostream &out)
{
    return forEachEntry(entries, "POST", "/admin/drain", out);
}

int printOwner(const std::vector<std::string> &entries, const std::string &name, std::ostream &out)
{
    return forEachEntry(entries, "GET", "/admin/where?upstream=" + name, out);
}

} // namespace heatherroute::control
