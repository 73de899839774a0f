#include "heatherroute/config_record.h"

#include "core/config_json.h"

#include <boost/json/monotonic_resource.hpp>

#include <array>

namespace heatherroute
{

namespace json = boost::json;
using namespace detail;

namespace
{

constexpr std::size_t kFirstBlockBytes = 4096;

json::value writeRevision(const config_revision &value)
{
    return value ? json::value(*value) : json::value(nullptr);
}

config_revision readRevision(const json::value &value)
{
    return value.is_null() ? config_revision() : config_revision(asNumber(value));
}

json::value writeName(const versioned_name &value)
{
    return json::array{value.name, value.writeOffset};
}

const json::array &asTuple(const json::value &value, std::size_t size)
{
    const json::array &list = asList(value);
    if (list.size() != size) {
        throw malformed_record("list has the wrong length");
    }
    return list;
}

versioned_name readName(const json::value &value)
{
    const json::array &pair = asTuple(value, 2);
    return {asKey(pair[0]), asNumber(pair[1])};
}

versioned_upstream readWrittenUpstream(const json::value &value)
{
    const json::array &pair = asTuple(value, 2);
    return {readUpstream(pair[0]), asNumber(pair[1])};
}

versioned_rule readWrittenRule(const json::value &value)
{
    const json::array &pair = asTuple(value, 2);
    return {readRule(pair[0]), asNumber(pair[1])};
}

change_outcome readOutcome(const json::value &value)
{
    return static_cast<change_outcome>(asNumber(value, static_cast<std::uint64_t>(change_outcome::RejectedInvalid)));
}

json::value writePublish(const remembered_publish &value)
{
    return json::array{value.publishId, value.result.offset, static_cast<std::uint64_t>(value.result.outcome), value.result.detail};
}

remembered_publish readPublish(const json::value &value)
{
    const json::array &list = asTuple(value, 4);
    return {asName(list[0]), {asNumber(list[1]), readOutcome(list[2]), asDetail(list[3])}};
}

json::value writeText(const std::string &text)
{
    return json::value(text);
}

json::object writeRecord(const config_change &change)
{
    return {{"v", kRecordVersion},
            {"t", "change"},
            {"id", change.publishId},
            {"by", change.operatorName},
            {"base", writeRevision(change.baseRevision)},
            {"half", change.half},
            {"guard", change.guardHalf},
            {"set", writeList(change.upserts, writeUpstream)},
            {"remove", writeList(change.removals, writeText)},
            {"set_rules", writeList(change.ruleUpserts, writeRule)},
            {"remove_rules", writeList(change.ruleRemovals, writeText)}};
}

json::object writeRecord(const config_snapshot &snapshot)
{
    return {{"v", kRecordVersion},
            {"t", "snapshot"},
            {"next", snapshot.next},
            {"revision", writeRevision(snapshot.revision)},
            {"forgotten", writeRevision(snapshot.forgottenRemoval)},
            {"upstreams",
             writeList(snapshot.upstreams,
                       [](const versioned_upstream &u) -> json::value {
                           return json::array{writeUpstream(u.value), u.writeOffset};
                       })},
            {"rules",
             writeList(snapshot.rules,
                       [](const versioned_rule &r) -> json::value {
                           return json::array{writeRule(r.value), r.writeOffset};
                       })},
            {"removed", writeList(snapshot.removedUpstreams, writeName)},
            {"removed_rules", writeList(snapshot.removedRules, writeName)},
            {"halves", writeList(snapshot.halves, writeName)},
            {"publishes", writeList(snapshot.publishes, writePublish)},
            {"digest", snapshot.digest}};
}

config_change readChange(const json::object &o)
{
    config_change change;
    change.publishId = asName(field(o, "id"));
    change.operatorName = asText(field(o, "by"));
    change.baseRevision = readRevision(field(o, "base"));
    change.half = asText(field(o, "half"));
    change.guardHalf = asBool(field(o, "guard"));
    change.upserts = readList(field(o, "set"), readUpstream);
    change.removals = readList(field(o, "remove"), asName);
    change.ruleUpserts = readList(field(o, "set_rules"), readRule);
    change.ruleRemovals = readList(field(o, "remove_rules"), asKey);
    return change;
}

config_snapshot readSnapshot(const json::object &o)
{
    config_snapshot snapshot;
    snapshot.next = asNumber(field(o, "next"));
    snapshot.revision = readRevision(field(o, "revision"));
    snapshot.forgottenRemoval = readRevision(field(o, "forgotten"));
    snapshot.upstreams = readList(field(o, "upstreams"), readWrittenUpstream);
    snapshot.rules = readList(field(o, "rules"), readWrittenRule);
    snapshot.removedUpstreams = readList(field(o, "removed"), readName);
    snapshot.removedRules = readList(field(o, "removed_rules"), readName);
    snapshot.halves = readList(field(o, "halves"), readName);
    snapshot.publishes = readList(field(o, "publishes"), readPublish);
    snapshot.digest = asNumber(field(o, "digest"));
    return snapshot;
}

config_record readRecord(const json::value &value)
{
    const json::object &o = asObject(value);
    if (asNumber(field(o, "v")) != static_cast<std::uint64_t>(kRecordVersion)) {
        throw malformed_record("unknown record version");
    }
    const std::string type = asText(field(o, "t"));
    if (type == "change") {
        return readChange(o);
    }
    if (type == "snapshot") {
        return readSnapshot(o);
    }
    throw malformed_record("unknown record type");
}

} // namespace

std::string encodeRecord(const config_record &record)
{
    return json::serialize(std::visit([](const auto &one) { return writeRecord(one); }, record));
}

std::optional<config_record> decodeRecord(std::string_view text, last_reason *reason)
{
    if (text.size() > kMaxRecordBytes) {
        setReason(reason, "record is too long");
        return std::nullopt;
    }
    // Every entry decodes every record, and small heap allocations dominated the time. A change fits the first block.
    std::array<unsigned char, kFirstBlockBytes> firstBlock;
    json::monotonic_resource arena(firstBlock.data(), firstBlock.size());
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error, &arena);
    if (error) {
        setReason(reason, "not JSON: " + error.message());
        return std::nullopt;
    }
    try {
        return readRecord(value);
    } catch (const malformed_record &malformed) {
        setReason(reason, malformed.what());
        return std::nullopt;
    }
}

std::string_view toString(change_outcome value) noexcept
{
    switch (value) {
    case change_outcome::Accepted:
        return "accepted";
    case change_outcome::RejectedStaleBase:
        return "rejected_stale_base";
    case change_outcome::RejectedInvalid:
        return "rejected_invalid";
    }
    return "rejected_invalid";
}

} // namespace heatherroute
