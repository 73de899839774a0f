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
constexpr std::string_view kEntryKeyPrefix = "quarantine.entry.";
constexpr int kHexBase = 16;
constexpr std::size_t kMaxReportsRead = 1024;

/// One request at one upstream.
struct recorded_attempt
{
    std::uint64_t fingerprint = 0;
    upstream_instance instance;
    std::uint32_t ageMs = 0;
    std::uint32_t ranMs = 0;
    std::vector<std::uint64_t> parts;
};

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value, kHexBase);
    return error == std::errc{} && rest == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::uint32_t clampedMilliseconds(std::int64_t value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Returns the parts of a prompt; empty when the list is invalid. An attempt without the list has none.
std::optional<std::vector<std::uint64_t>> partsIn(const json::object &fields)
{
    std::vector<std::uint64_t> parts;
    const json::value *list = fields.if_contains("parts");
    if (list == nullptr) {
        return parts;
    }
    if (!list->is_array() || list->get_array().size() > kMaxSharedParts) {
        return std::nullopt;
    }
    for (const json::value &value : list->get_array()) {
        const auto part = value.is_string() ? parseHex(value.get_string()) : std::nullopt;
        if (!part) {
            return std::nullopt;
        }
        parts.push_back(*part);
    }
    return parts;
}

std::optional<recorded_attempt> attemptIn(const json::value &value, std::int64_t unixMs)
{
    const json::object *fields = value.if_object();
    if (fields == nullptr) {
        return std::nullopt;
    }
    const json::value *request = fields->if_contains("request");
    const json::value *instance = fields->if_contains("instance");
    const json::value *startedAt = fields->if_contains("started_at");
    const json::value *at = fields->if_contains("at");
    const bool isComplete = request != nullptr && request->is_string() && instance != nullptr && instance->is_string() && startedAt != nullptr
                            && startedAt->is_int64() && at != nullptr && at->is_int64();
    if (!isComplete || instance->get_string().size() > kMaxInstanceIdBytes || startedAt->get_int64() < 0 || at->get_int64() < 0) {
        return std::nullopt;
    }
    const auto fingerprint = parseHex(request->get_string());
    auto parts = partsIn(*fields);
    if (!fingerprint || !parts) {
        return std::nullopt;
    }
    const json::value *ran = fields->if_contains("ran_ms");
    recorded_attempt attempt;
    attempt.fingerprint = *fingerprint;
    attempt.instance = {std::string(instance->get_string()), static_cast<std::uint64_t>(startedAt->get_int64())};
    attempt.ageMs = clampedMilliseconds(unixMs - at->get_int64());
    attempt.ranMs = ran != nullptr && ran->is_int64() ? clampedMilliseconds(ran->get_int64()) : 0;
    attempt.parts = std::move(*parts);
    return attempt;
}

/// Returns the attempts in the list @p name; empty when there is no such list, or one of its attempts is invalid.
std::optional<std::vector<recorded_attempt>> attemptsIn(const json::object &object, std::string_view name, std::int64_t unixMs)
{
    const json::value *list = object.if_contains(name);
    if (list == nullptr || !list->is_array() || list->get_array().size() > kMaxReportsRead) {
        return std::nullopt;
    }
    std::vector<recorded_attempt> attempts;
    for (const json::value &value : list->get_array()) {
        auto attempt = attemptIn(value, unixMs);
        if (!attempt) {
            return std::nullopt;
        }
        attempts.push_back(std::move(*attempt));
    }
    return attempts;
}

/// Returns the requests that are cleared; empty when the list is invalid. Older builds write none.
std::optional<std::vector<crash_report>> clearedIn(const json::object &object, std::int64_t unixMs)
{
    std::vector<crash_report> cleared;
    const json::value *list = object.if_contains("cleared");
    if (list == nullptr) {
        return cleared;
    }
    if (!list->is_array() || list->get_array().size() > kMaxReportsRead) {
        return std::nullopt;
    }
    for (const json::value &value : list->get_array()) {
        const json::object *fields = value.if_object();
        const json::value *request = fields != nullptr ? fields->if_contains("request") : nullptr;
        const json::value *at = fields != nullptr ? fields->if_contains("at") : nullptr;
        const auto fingerprint = request != nullptr && request->is_string() ? parseHex(request->get_string()) : std::nullopt;
        if (!fingerprint || at == nullptr || !at->is_int64() || at->get_int64() < 0) {
            return std::nullopt;
        }
        cleared.push_back({*fingerprint, {}, clampedMilliseconds(unixMs - at->get_int64()), true});
    }
    return cleared;
}

template<typename Report>
json::array toJson(const std::vector<Report> &reports, std::int64_t unixMs)
{
    json::array list;
    for (const Report &report : reports) {
        json::array parts;
        for (const std::uint64_t part : report.parts) {
            parts.emplace_back(fingerprintText(part));
        }
        list.push_back(json::object{{"request", fingerprintText(report.fingerprint)},
                                    {"instance", report.instance.id},
                                    {"started_at", static_cast<std::int64_t>(report.instance.startedAt)},
                                    {"at", unixMs - static_cast<std::int64_t>(report.ageMs)},
                                    {"ran_ms", report.ranMs},
                                    {"parts", std::move(parts)}});
    }
    return list;
}

} // namespace

bool isQuarantineKey(const std::string &key)
{
    return key.starts_with(kKeyPrefix);
}

std::string quarantineKeyOf(const std::string &entryName)
{
    return std::string(kEntryKeyPrefix) + entryName;
}

keyed_record makeQuarantineRecord(const std::string &key, const crash_evidence &evidence, std::int64_t unixMs)
{
    if (evidence.isEmpty()) {
        return {key, std::nullopt};
    }
    json::array cleared;
    for (const crash_report &report : evidence.cleared) {
        cleared.push_back(json::object{{"request", fingerprintText(report.fingerprint)}, {"at", unixMs - static_cast<std::int64_t>(report.ageMs)}});
    }
    const json::object lists{{"crashes", toJson(evidence.crashes, unixMs)}, {"open", toJson(evidence.open, unixMs)}, {"cleared", std::move(cleared)}};
    return {key, json::serialize(lists)};
}

std::optional<crash_evidence> readQuarantineRecord(const keyed_record &record, std::int64_t unixMs, last_reason *reason)
{
    boost::system::error_code error;
    const json::value value = json::parse(record.value.value_or(""), error);
    const json::object *object = error ? nullptr : value.if_object();
    const auto crashes = object != nullptr ? attemptsIn(*object, "crashes", unixMs) : std::nullopt;
    const auto open = object != nullptr ? attemptsIn(*object, "open", unixMs) : std::nullopt;
    auto cleared = object != nullptr ? clearedIn(*object, unixMs) : std::nullopt;
    if (!crashes || !open || !cleared) {
        setReason(reason, "a list is missing or longer than is read, or one of its items lacks a request, an instance or a time");
        return std::nullopt;
    }
    crash_evidence evidence;
    evidence.cleared = std::move(*cleared);
    for (const recorded_attempt &attempt : *crashes) {
        evidence.crashes.push_back({attempt.fingerprint, attempt.instance, attempt.ageMs, false, attempt.ranMs, attempt.parts});
    }
    for (const recorded_attempt &attempt : *open) {
        evidence.open.push_back({attempt.fingerprint, attempt.instance, attempt.ageMs, attempt.ranMs, attempt.parts});
    }
    return evidence;
}

bool isExpired(const crash_evidence &evidence, duration retention)
{
    const auto isOld = [retention](const auto &report) { return std::chrono::milliseconds(report.ageMs) > retention; };
    return std::all_of(evidence.crashes.begin(), evidence.crashes.end(), isOld) && std::all_of(evidence.open.begin(), evidence.open.end(), isOld)
           && std::all_of(evidence.cleared.begin(), evidence.cleared.end(), isOld);
}

} // namespace heatherroute
