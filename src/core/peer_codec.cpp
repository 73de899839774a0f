#include "heatherroute/peer_message.h"

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <ostream>
#include <streambuf>
#include <utility>
#include <xxhash.h>

namespace heatherroute
{

namespace
{

/// Lets an archive read a packet in place.
class packet_source : public std::streambuf
{
public:
    explicit packet_source(std::span<const std::byte> packet)
    {
        // The get area is never written to; std::streambuf only lacks a const form.
        auto *begin = reinterpret_cast<char *>(const_cast<std::byte *>(packet.data()));
        setg(begin, begin, begin + packet.size());
    }

    std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

/// Collects an archive's output up to a limit; output beyond it is rejected, which the archive reports as an error.
class packet_sink : public std::streambuf
{
public:
    explicit packet_sink(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    { }

    std::vector<std::byte> take()
    {
        return std::move(m_bytes);
    }

protected:
    std::streamsize xsputn(const char *data, std::streamsize count) override
    {
        if (m_bytes.size() + static_cast<std::size_t>(count) > m_limitBytes) {
            return 0;
        }
        const auto *begin = reinterpret_cast<const std::byte *>(data);
        m_bytes.insert(m_bytes.end(), begin, begin + count);
        return count;
    }

    int_type overflow(int_type character) override
    {
        const char byte = traits_type::to_char_type(character);
        return xsputn(&byte, 1) == 1 ? character : traits_type::eof();
    }

private:
    std::size_t m_limitBytes;
    std::vector<std::byte> m_bytes;
};

using input_archive = cereal::PortableBinaryInputArchive;
using output_archive = cereal::PortableBinaryOutputArchive;

template<std::size_t Kind>
peer_body loadKind(input_archive &archive)
{
    std::variant_alternative_t<Kind, peer_body> body{};
    archive(body);
    return body;
}

template<std::size_t... Kinds>
peer_body loadBody(input_archive &archive, std::size_t kind, std::index_sequence<Kinds...> /*kinds*/)
{
    using loader = peer_body (*)(input_archive &);
    static constexpr std::array<loader, sizeof...(Kinds)> kLoaders = {&loadKind<Kinds>...};
    return kLoaders[kind](archive);
}

peer_decode_result decode(std::span<const std::byte> packet, std::uint64_t clusterId)
{
    packet_source source(packet);
    std::istream stream(&source);
    input_archive archive(stream);
    std::uint32_t magic = 0;
    archive(magic);
    if (magic != kPeerMagic) {
        return peer_drop::NotOurs;
    }
    std::uint8_t version = 0;
    archive(version);
    if (version != kPeerProtocolVersion) {
        return peer_drop::WrongVersion;
    }
    peer_message message;
    archive(message.header.clusterId);
    if (message.header.clusterId != clusterId) {
        return peer_drop::ForeignCluster;
    }
    std::uint8_t kind = 0;
    archive(message.header.sender, message.header.sequence, kind);
    if (kind >= std::variant_size_v<peer_body>) {
        return peer_drop::UnknownKind;
    }
    message.body = loadBody(archive, kind, std::make_index_sequence<std::variant_size_v<peer_body>>());
    if (source.remaining() != 0) {
        return peer_drop::Malformed;
    }
    return message;
}

} // namespace

const char *toString(peer_drop reason) noexcept
{
    switch (reason) {
    case peer_drop::Oversized:
        return "oversized";
    case peer_drop::NotOurs:
        return "not_ours";
    case peer_drop::WrongVersion:
        return "wrong_version";
    case peer_drop::ForeignCluster:
        return "foreign_cluster";
    case peer_drop::UnknownKind:
        return "unknown_kind";
    case peer_drop::Malformed:
        return "malformed";
    case peer_drop::Replayed:
        return "replayed";
    }
    return "malformed";
}

std::optional<std::vector<std::byte>> encodePeerMessage(const peer_message &message, std::size_t limitBytes, last_reason *reason)
{
    packet_sink sink(limitBytes);
    std::ostream stream(&sink);
    try {
        output_archive archive(stream);
        const auto kind = static_cast<std::uint8_t>(message.body.index());
        archive(kPeerMagic, kPeerProtocolVersion, message.header.clusterId);
        // One serialize function serves both directions, so it takes its message by a mutable reference; saving changes nothing.
        archive(const_cast<member_id &>(message.header.sender), message.header.sequence, kind);
        std::visit([&archive](const auto &body) { archive(const_cast<std::remove_cvref_t<decltype(body)> &>(body)); }, message.body);
    } catch (const cereal::Exception &error) {
        setReason(reason, std::string("message can't be encoded: ") + error.what());
        return std::nullopt;
    }
    return sink.take();
}

peer_decode_result decodePeerMessage(std::span<const std::byte> packet, std::size_t limitBytes, std::uint64_t clusterId) noexcept
{
    if (packet.size() > limitBytes) {
        return peer_drop::Oversized;
    }
    try {
        return decode(packet, clusterId);
    } catch (...) {
        return peer_drop::Malformed;
    }
}

std::uint64_t clusterIdOf(const std::string &clusterName)
{
    return XXH3_64bits(clusterName.data(), clusterName.size());
}

} // namespace heatherroute
