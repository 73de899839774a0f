#pragma once

#include "heatherroute/inventory.h"

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::detail
{

/**
 * Reads and writes inventory values as JSON for records of the log.
 *
 * A malformed value is reported by the exception `malformed_record`, which decodeRecord catches: a record is nested three
 * levels deep, and an error check after every field would obscure the format. All functions are thread safe.
 */
struct malformed_record : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// The member @p name of @p object. Throws malformed_record when it is missing.
const boost::json::value &field(const boost::json::object &object, std::string_view name);
/// @p value as an object. Throws malformed_record otherwise.
const boost::json::object &asObject(const boost::json::value &value);
/// @p value as a list within kMaxListEntries. Throws malformed_record otherwise.
const boost::json::array &asList(const boost::json::value &value);
/// @p value as text within kMaxNameBytes. Throws malformed_record otherwise.
std::string asText(const boost::json::value &value);
/// @p value as text within kMaxNameBytes that isn't empty. Throws malformed_record otherwise.
std::string asName(const boost::json::value &value);
/// @p value as a key of a rule or a half: text within kMaxKeyBytes. Throws malformed_record otherwise.
std::string asKey(const boost::json::value &value);
/// @p value as the detail of a decision, which contains a key: text within 2 * kMaxKeyBytes. Throws malformed_record otherwise.
std::string asDetail(const boost::json::value &value);
/// @p value as a number from 0 to @p max. Throws malformed_record otherwise.
std::uint64_t asNumber(const boost::json::value &value, std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
/// @p value as true or false. Throws malformed_record otherwise.
bool asBool(const boost::json::value &value);

/// Reads every element of the list @p value with @p read. Throws malformed_record when it isn't a list within kMaxListEntries.
template<typename Read>
auto readList(const boost::json::value &value, Read read)
{
    const boost::json::array &list = asList(value);
    std::vector<decltype(read(list.front()))> result;
    result.reserve(list.size());
    for (const boost::json::value &element : list) {
        result.push_back(read(element));
    }
    return result;
}

/// Writes every element of @p values with @p write.
template<typename T, typename Write>
boost::json::array writeList(const std::vector<T> &values, Write write)
{
    boost::json::array list;
    list.reserve(values.size());
    for (const T &value : values) {
        list.push_back(write(value));
    }
    return list;
}

boost::json::value writeUpstream(const upstream &value);
/// Throws malformed_record.
upstream readUpstream(const boost::json::value &value);
boost::json::value writeRule(const rule &value);
/// Throws malformed_record.
rule readRule(const boost::json::value &value);

} // namespace heatherroute::detail
