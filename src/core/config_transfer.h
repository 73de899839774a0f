#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/config_message.h"

namespace heatherroute
{

/// Splits @p transfer into the parts of the reply to pull @p number; returns an empty list when it needs more than kMaxParts. Thread safe.
std::vector<config_part> splitTransfer(std::uint64_t number, const peer_transfer &transfer);

/// Parses the concatenated bytes of all parts; returns empty when they are malformed. Thread safe.
std::optional<peer_transfer> parseTransfer(std::string_view bytes);

/**
 * Reassembles the parts of one transfer.
 *
 * Only one transfer is expected at a time, so a peer can't fill the memory with unsolicited parts. Not thread safe.
 */
class transfer_assembler
{
public:
    /// Expects the reply to pull @p number and drops the transfer expected before.
    void expect(std::uint64_t number);
    /// Adds a part and returns the transfer once it is complete; returns empty before, and when the transfer is malformed. Drops any
    /// part other than the next one expected.
    std::optional<peer_transfer> add(const config_part &part);

private:
    std::optional<std::uint64_t> m_number;
    std::uint32_t m_next = 0;
    std::string m_bytes;
};

} // namespace heatherroute
