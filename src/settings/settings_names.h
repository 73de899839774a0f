#pragma once

#include "heatherroute/settings.h"
#include "settings/enum_names.h"

namespace heatherroute::detail
{

constexpr enum_names<placement_kind, 4> kPlacementNames = {{"random", "round_robin", "two_choices", "owner_grants"}};
constexpr enum_names<log_level, 4> kLogLevelNames = {{"debug", "info", "warning", "error"}};
constexpr enum_names<log_format, 2> kLogFormatNames = {{"keyvalue", "json"}};
constexpr enum_names<log_output, 2> kLogOutputNames = {{"stderr", "stdout"}};

} // namespace heatherroute::detail
