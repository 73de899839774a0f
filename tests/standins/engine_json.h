#pragma once

#include "standins/decode_model.h"
#include "standins/engine_types.h"
#include "standins/prefill_model.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <string>

namespace heatherroute::standins
{

/// The time that the stand-ins' records use. It is CLOCK_REALTIME, so that records of several processes can be compared.
inline instant realTime()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch()));
}

/// Milliseconds since the epoch of @p at.
inline std::int64_t toMs(instant at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

/// Return the member @p name of @p body, or the fallback (false for boolOf()) if it is absent or of another type. Thread safe.
std::string textOf(const boost::json::value &body, const char *name, const std::string &fallback = {});
std::int64_t intOf(const boost::json::value &body, const char *name, std::int64_t fallback = 0);
double doubleOf(const boost::json::value &body, const char *name, double fallback);
bool boolOf(const boost::json::value &body, const char *name);

/// Reads the request from the JSON body of a prefill or decode call. Thread safe.
engine_request engineRequestOf(const boost::json::value &body);

/// The records as JSON, for audits. Thread safe.
boost::json::array toJson(const std::vector<prefill_record> &records);
boost::json::array toJson(const std::vector<decode_record> &records);

} // namespace heatherroute::standins
