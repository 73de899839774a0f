#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "heatherroute/core_event.h"
#include "net/http_client.h"

namespace heatherroute::node
{

/// The target that reads stream @p stream from @p from on, waiting up to @p wait for a record.
std::string readTarget(std::string_view stream, log_offset from, std::chrono::milliseconds wait);

/// The target that appends to @p stream.
std::string appendTarget(std::string_view stream);

/// The body that appends one record.
std::string appendBody(std::string_view record);

/// What a read's answer tells: log_read, log_forgotten or log_unavailable. @p askedAt is when the read was sent.
core_event readOutcome(instant askedAt, const net::http_result &result);

/// What a read of the VM list tells: where VMs are that aren't about to go; empty when it failed.
std::optional<vms_listed> vmsOutcome(const net::http_result &result);

} // namespace heatherroute::node
