#include "relay/quarantine_record.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <limits>

#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace json = boost::json;

namespace
{

constexpr std::string_view kKeyPrefix = "quarantine.";
constexpr int kHexBase = 16;
constexpr std::size_t kMaxCrashesRead = 64;

std::optional<std::uint64_t> fingerprintIn(const std::string &key)
{
    std::uint64_t fingerprint = 0;
    const char *begin = key.data() + kKeyPrefix.size();
    const char *end = key.data() + key.size();
    const auto [rest, error] = std::from_chars(begin, end, fingerprint, kHexBase);
    return error == std::errc{} && rest == end ? std::optional(fingerprint) : std::nullopt;
}

std::optional<crash_report> reportIn(const json::value &value, std::uint64_t fingerprint, std::int64_t unixMs)
{
    const json::object *fields = value.if_object();
    const json::value *instance = fields != nullptr ? fields->if_contains("instance") : nullptr;
    const json::value *startedAt = fields != nullptr ? fields->if_contains("started_at") : nullptr;
    const json::value *at = fields != nullptr ? fields->if_contains("at") : nullptr;
    const bool isComplete = instance != nullptr && instance->is_string() && startedAt != nullptr && startedAt->is_int64() && at != nullptr && at->is_int64();
    if (!isComplete || instance->get_string().size() > kMaxInstanceIdBytes || startedAt->get_int64() < 0) {
        return std::nullopt;
    }
    const std::int64_t age = std::clamp<std::int64_t>(unixMs - at->get_int64(), 0, std::numeric_limits<std::uint32_t>::max());
    return crash_report{
        fingerprint, {std::string(instance->get_string()), static_cast<std::uint64_t>(startedAt->get_int64())}, static_cast<std::uint32_t>(age), false};
}

} // namespace

bool isQuarantineKey(const std::string &key)
{
    return key.starts_with(kKeyPrefix);
}

keyed_record makeQuarantineRecord(std::uint64_t fingerprint, const std::vector<crash_report> &reports, std::int64_t unixMs)
{
    const std::string key = std::string(kKeyPrefix) + fingerprintText(fingerprint);
    if (reports.empty()) {
        return {key, std::nullopt};
    }
    json::array crashes;
    for (const crash_report &report : reports) {
        crashes.push_back(json::object{{"instance", report.instance.id},
                                       {"started_at", static_cast<std::int64_t>(report.instance.startedAt)},
                                       {"at", unixMs - static_cast<std::int64_t>(report.ageMs)}});
    }
    return {key, json::serialize(json::object{{"crashes", std::move(crashes)}})};
}

std::optional<std::vector<crash_report>> readQuarantineRecord(const keyed_record &record, std::int64_t unixMs, last_reason *reason)
{
    const auto fingerprint = isQuarantineKey(record.key) ? fingerprintIn(record.key) : std::nullopt;
    boost::system::error_code error;
    const json::value value = json::parse(record.value.value_or(""), error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *crashes = object != nullptr ? object->if_contains("crashes") : nullptr;
    if (!fingerprint || crashes == nullptr || !crashes->is_array() || crashes->get_array().size() > kMaxCrashesRead) {
        setReason(reason, !fingerprint ? "the key has no fingerprint" : "the value has no list of crashes, or a longer one than is read");
        return std::nullopt;
    }
    std::vector<crash_report> reports;
    for (const json::value &crash : crashes->get_array()) {
        auto report = reportIn(crash, *fingerprint, unixMs);
        if (!report) {
            setReason(reason, "a crash lacks its instance or a time");
            return std::nullopt;
        }
        reports.push_back(std::move(*report));
    }
    return reports;
}

bool isExpired(const std::vector<crash_report> &reports, duration retention)
{
    return std::all_of(reports.begin(), reports.end(), [retention](const crash_report &report) { return std::chrono::milliseconds(report.ageMs) > retention; });
}

} // namespace heatherroute
