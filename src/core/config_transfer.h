#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/config_message.h"

namespace heatherroute
{

/// The parts that carry @p transfer as the answer to pull @p number; none when it is over kMaxParts. Thread safe.
std::vector<config_part> partsOf(std::uint64_t number, const peer_transfer &transfer);

/// What the joined bytes of all parts carry; empty when they are malformed. Thread safe.
std::optional<peer_transfer> transferOf(std::string_view bytes);

/**
 * Joins the parts of one transfer.
 *
 * Only one transfer is awaited at a time, so a peer can't fill the memory with parts that nobody asked for. Not thread safe.
 */
class transfer_assembly
{
public:
    /// Awaits the answer to pull @p number and drops what was awaited before.
    void expect(std::uint64_t number);
    /// Takes in a part; the transfer once it is whole. Parts that are not the next one awaited are dropped.
    std::optional<peer_transfer> add(const config_part &part);

private:
    std::optional<std::uint64_t> m_number;
    std::uint32_t m_next = 0;
    std::string m_bytes;
};

} // namespace heatherroute
