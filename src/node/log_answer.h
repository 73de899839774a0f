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

/// The request target that reads @p stream from offset @p from, waiting up to @p wait for a record.
std::string readTarget(std::string_view stream, log_offset from, std::chrono::milliseconds wait);

/// The request target that appends to @p stream.
std::string appendTarget(std::string_view stream);

/// The request body that appends one record.
std::string appendBody(std::string_view record);

/// Converts the result of a read into log_read, log_truncated or log_unavailable. @p sentAt is when the read was sent.
core_event parseReadResult(instant sentAt, const net::http_result &result);

/// Parses the VM list: the addresses of the VMs that are not about to be removed; empty when the read failed.
std::optional<vms_listed> parseVmList(const net::http_result &result);

} // namespace heatherroute::node
