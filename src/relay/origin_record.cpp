#include "relay/origin_record.h"

#include <boost/json.hpp>

#include <charconv>
#include <limits>
#include <map>
#include <utility>

#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace json = boost::json;

namespace
{

constexpr int kHexBase = 16;
constexpr std::size_t kStreamFields = 4; ///< The stream, the index of its version, the revision and the life in milliseconds.

std::optional<std::uint32_t> countIn(const json::value &value)
{
    const bool fits = value.is_int64() && value.get_int64() >= 0 && value.get_int64() <= std::numeric_limits<std::uint32_t>::max();
    return fits ? std::optional(static_cast<std::uint32_t>(value.get_int64())) : std::nullopt;
}

std::optional<std::pair<std::string, std::string>> versionIn(const json::value &value)
{
    const json::array *pair = value.if_array();
    if (pair == nullptr || pair->size() != 2 || !pair->at(0).is_string() || !pair->at(1).is_string()) {
        return std::nullopt;
    }
    const json::string &service = pair->at(0).get_string();
    const json::string &version = pair->at(1).get_string();
    if (service.size() > kMaxOriginTextBytes || version.size() > kMaxOriginTextBytes) {
        return std::nullopt;
    }
    return std::pair(std::string(service), std::string(version));
}

std::optional<stream_origin> originIn(const json::value &value, const std::vector<std::pair<std::string, std::string>> &versions)
{
    const json::array *fields = value.if_array();
    if (fields == nullptr || fields->size() != kStreamFields || !fields->at(0).is_string()) {
        return std::nullopt;
    }
    const json::string &hash = fields->at(0).get_string();
    stream_origin origin;
    const auto [rest, error] = std::from_chars(hash.data(), hash.data() + hash.size(), origin.stream, kHexBase);
    const auto version = countIn(fields->at(1));
    const auto revision = countIn(fields->at(2));
    const auto life = countIn(fields->at(3));
    if (error != std::errc{} || rest != hash.data() + hash.size() || !version || *version >= versions.size() || !revision || !life) {
        return std::nullopt;
    }
    origin.revision = *revision;
    origin.lifeMs = *life;
    std::tie(origin.service, origin.version) = versions[*version];
    return origin;
}

json::object objectOf(const version_summary &summary)
{
    json::array versions;
    for (const seen_version &seen : summary.versions) {
        versions.push_back(json::array{seen.service, seen.version, seen.ageMs});
    }
    return {{"era", summary.position.era}, {"offset", summary.position.offset}, {"current_ms", summary.currentMs}, {"versions", std::move(versions)}};
}

std::optional<std::uint64_t> numberIn(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code error;
    const auto number = value != nullptr ? value->to_number<std::uint64_t>(error) : 0;
    return value != nullptr && !error ? std::optional(number) : std::nullopt;
}

std::optional<seen_version> seenVersionIn(const json::value &value)
{
    const json::array *fields = value.if_array();
    if (fields == nullptr || fields->size() != 3) {
        return std::nullopt;
    }
    auto version = versionIn(json::array{fields->at(0), fields->at(1)});
    const auto age = countIn(fields->at(2));
    if (!version || !age) {
        return std::nullopt;
    }
    return seen_version{std::move(version->first), std::move(version->second), *age};
}

} // namespace

std::string makeOriginRecord(const std::vector<stream_origin> &origins, const std::optional<version_summary> &summary)
{
    std::map<std::pair<std::string, std::string>, std::size_t> indices;
    json::array versions;
    json::array streams;
    for (const stream_origin &origin : origins) {
        const auto [known, isNew] = indices.try_emplace({origin.service, origin.version}, versions.size());
        if (isNew) {
            versions.push_back(json::array{origin.service, origin.version});
        }
        streams.push_back(json::array{fingerprintText(origin.stream), known->second, origin.revision, origin.lifeMs});
    }
    json::object record{{"versions", std::move(versions)}, {"streams", std::move(streams)}};
    if (summary) {
        record["registered"] = objectOf(*summary);
    }
    return json::serialize(record);
}

std::optional<std::vector<stream_origin>> readOriginRecord(std::string_view record, last_reason *reason)
{
    boost::system::error_code error;
    const json::value value = json::parse(record, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *versionList = object != nullptr ? object->if_contains("versions") : nullptr;
    const json::value *streamList = object != nullptr ? object->if_contains("streams") : nullptr;
    const bool hasLists = versionList != nullptr && versionList->is_array() && streamList != nullptr && streamList->is_array();
    if (!hasLists || streamList->get_array().size() > kMaxOriginsPerRecord) {
        setReason(reason, "a list is missing or longer than is read");
        return std::nullopt;
    }
    std::vector<std::pair<std::string, std::string>> versions;
    for (const json::value &each : versionList->get_array()) {
        auto version = versionIn(each);
        if (!version) {
            setReason(reason, "a version is no pair of short texts");
            return std::nullopt;
        }
        versions.push_back(std::move(*version));
    }
    std::vector<stream_origin> origins;
    for (const json::value &each : streamList->get_array()) {
        auto origin = originIn(each, versions);
        if (!origin) {
            setReason(reason, "a stream lacks its hash, version, revision or life");
            return std::nullopt;
        }
        origins.push_back(std::move(*origin));
    }
    return origins;
}

std::optional<version_summary> readVersionSummary(std::string_view record, last_reason *reason)
{
    boost::system::error_code error;
    const json::value value = json::parse(record, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *registered = object != nullptr ? object->if_contains("registered") : nullptr;
    if (registered == nullptr) {
        return std::nullopt;
    }
    const json::object *fields = registered->if_object();
    const json::value *versions = fields != nullptr ? fields->if_contains("versions") : nullptr;
    const auto era = fields != nullptr ? numberIn(*fields, "era") : std::nullopt;
    const auto offset = fields != nullptr ? numberIn(*fields, "offset") : std::nullopt;
    const auto current = fields != nullptr ? numberIn(*fields, "current_ms") : std::nullopt;
    const bool hasVersions = versions != nullptr && versions->is_array() && versions->get_array().size() <= kMaxSummaryVersions;
    if (!hasVersions || !era || !offset || !current || *current > std::numeric_limits<std::uint32_t>::max()) {
        setReason(reason, "the summary of versions lacks a field or holds more than is read");
        return std::nullopt;
    }
    version_summary summary{{*era, *offset}, static_cast<std::uint32_t>(*current), {}};
    for (const json::value &each : versions->get_array()) {
        auto seen = seenVersionIn(each);
        if (!seen) {
            setReason(reason, "a version of the summary lacks its service, name or age");
            return std::nullopt;
        }
        summary.versions.push_back(std::move(*seen));
    }
    return summary;
}

} // namespace heatherroute
