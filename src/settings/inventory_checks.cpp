#include "settings/inventory_checks.h"

#include <algorithm>
#include <map>
#include <set>

namespace heatherroute::detail
{
namespace
{

/// Reports every repeated use of a value that must be unique.
class uniqueness_check
{
public:
    explicit uniqueness_check(problem_list &problems)
        : m_problems(problems)
    { }

    void record(const std::string &value, int line, const std::string &path)
    {
        // A value is empty when it was missing or invalid, which has been reported already.
        if (value.empty()) {
            return;
        }
        const auto [first, isNew] = m_lines.emplace(value, line);
        if (!isNew) {
            m_problems.add(line, path, "'" + value + "' is already used in line " + std::to_string(first->second) + "; it must be unique");
        }
    }

private:
    problem_list &m_problems;
    std::map<std::string, int> m_lines;
};

/// The models and services that the upstreams of the file serve.
struct served_names
{
    std::set<std::string> models;
    std::set<std::string> services;
};

bool isService(const upstream &value)
{
    return value.kind == upstream_kind::PlainService;
}

served_names servedNames(const std::vector<located<upstream>> &upstreams)
{
    served_names names;
    for (const auto &item : upstreams) {
        (isService(item.value) ? names.services : names.models).insert(item.value.modelOrService);
    }
    return names;
}

void checkUpstreams(const std::vector<located<upstream>> &upstreams, const served_names &served, problem_list &problems)
{
    uniqueness_check names(problems);
    uniqueness_check addresses(problems);
    for (const auto &item : upstreams) {
        names.record(item.value.name, item.line, item.path + ".name");
        addresses.record(item.value.address, item.line, item.path + ".address");
        const std::string &service = item.value.modelOrService;
        if (isService(item.value) && !service.empty() && served.models.count(service) > 0) {
            problems.add(item.line, item.path + ".service", "'" + service + "' is already the name of a model; models and services share one namespace");
        }
    }
}

std::size_t activeCount(const std::vector<located<upstream>> &upstreams, const capacity_floor &floor)
{
    const auto matches = [&floor](const located<upstream> &item) {
        const upstream &u = item.value;
        return u.half == floor.half && u.kind == floor.kind && u.modelOrService == floor.modelOrService && u.state == upstream_state::Active;
    };
    return static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(), matches));
}

/// Checks one rule against the upstreams of the same file.
class rule_check
{
public:
    rule_check(const std::vector<located<upstream>> &upstreams, const served_names &served, problem_list &problems)
        : m_upstreams(upstreams)
        , m_served(served)
        , m_problems(problems)
    { }

    void check(const located<rule> &item)
    {
        m_item = &item;
        std::visit(*this, item.value);
    }

    void operator()(const team_rule &)
    { }

    void operator()(const model_rule &value)
    {
        requireServed(value.model, m_served.models.count(value.model) > 0);
    }

    void operator()(const service_route &value)
    {
        requireServed(value.service, m_served.services.count(value.service) > 0);
    }

    void operator()(const priority_default &value)
    {
        const bool served = m_served.models.count(value.modelOrService) + m_served.services.count(value.modelOrService) > 0;
        requireServed(value.modelOrService, served);
    }

    void operator()(const capacity_floor &value)
    {
        const std::size_t active = activeCount(m_upstreams, value);
        if (!value.modelOrService.empty() && active < value.minActive) {
            report(".min_active", "the file leaves " + std::to_string(active) + " active upstreams of this kind; min_active requires more");
        }
    }

private:
    void requireServed(const std::string &name, bool served)
    {
        if (!name.empty() && !served) {
            report("", "no upstream in this file serves '" + name + "'");
        }
    }

    void report(const std::string &key, const std::string &message)
    {
        m_problems.add(m_item->line, m_item->path + key, message);
    }

    const std::vector<located<upstream>> &m_upstreams;
    const served_names &m_served;
    problem_list &m_problems;
    const located<rule> *m_item = nullptr;
};

// False when a component of a rule's key is empty because its value was invalid. Valid components contain no spaces.
bool isCompleteKey(const std::string &key)
{
    return key.back() != ' ' && key.find("  ") == std::string::npos;
}

} // namespace

void checkInventory(const std::vector<located<upstream>> &upstreams, const std::vector<located<rule>> &rules, problem_list &problems)
{
    const served_names served = servedNames(upstreams);
    checkUpstreams(upstreams, served, problems);
    uniqueness_check keys(problems);
    rule_check check(upstreams, served, problems);
    for (const auto &item : rules) {
        const std::string key = ruleKey(item.value);
        keys.record(isCompleteKey(key) ? key : "", item.line, item.path);
        // A file without upstreams contains rules for upstreams that are already published.
        if (!upstreams.empty()) {
            check.check(item);
        }
    }
}

} // namespace heatherroute::detail
