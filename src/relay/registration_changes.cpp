#include "relay/registration_changes.h"

#include <map>

namespace heatherroute
{

registration_changes changesIn(const std::vector<keyed_record> &records,
                               const std::function<std::optional<registration>(const keyed_record &, last_reason *)> &decode)
{
    registration_changes changes;
    std::map<std::string, const keyed_record *> newest;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> places; // Of the instances in the reports, by id and start.
    std::map<std::string, std::string> reasons; // Why the newest record of a key is no registration.
    for (const keyed_record &record : records) {
        newest[record.key] = &record;
        last_reason reason;
        auto run = record.value ? decode(record, &reason) : std::nullopt;
        reasons.erase(record.key);
        if (!run) {
            reasons[record.key] = reason.text();
            continue;
        }
        const auto [place, isNew] = places.try_emplace({run->id, run->startedAt}, changes.reports.size());
        if (isNew) {
            changes.reports.push_back(std::move(*run));
        } else {
            changes.reports[place->second] = std::move(*run);
        }
    }
    for (const auto &[key, reason] : reasons) {
        if (newest.at(key)->value) {
            changes.unreadable.emplace_back(key, reason);
        } else {
            changes.removed.push_back(key);
        }
    }
    return changes;
}

} // namespace heatherroute
