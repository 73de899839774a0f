#include "core/config_transfer.h"

#include <algorithm>
#include <utility>

namespace heatherroute
{

namespace
{

constexpr std::size_t kNumberBytes = 8;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kMinRecordBytes = 1 + kNumberBytes;

void writeNumber(std::string &out, std::uint64_t value)
{
    for (std::size_t i = 0; i < kNumberBytes; ++i) {
        out.push_back(static_cast<char>(value & 0xffU));
        value >>= kBitsPerByte;
    }
}

void writeText(std::string &out, const std::optional<std::string> &text)
{
    out.push_back(text ? '\1' : '\0');
    if (text) {
        writeNumber(out, text->size());
        out += *text;
    }
}

/// Parses the output of writeNumber and writeText. After an error, isGood() is false and all further reads return 0 or empty.
class reader
{
public:
    explicit reader(std::string_view bytes)
        : m_remaining(bytes)
    { }

    std::uint64_t number()
    {
        const std::string_view bytes = take(kNumberBytes);
        std::uint64_t value = 0;
        for (std::size_t i = bytes.size(); i > 0; --i) {
            value = (value << kBitsPerByte) | static_cast<unsigned char>(bytes[i - 1]);
        }
        return value;
    }

    std::optional<std::string> text()
    {
        const std::string_view flag = take(1);
        if (flag.empty() || flag.front() == '\0') {
            return std::nullopt;
        }
        return std::string(take(number()));
    }

    std::size_t remaining() const noexcept
    {
        return m_remaining.size();
    }

    bool isGood() const noexcept
    {
        return m_isGood;
    }

private:
    std::string_view take(std::uint64_t count)
    {
        if (!m_isGood || count > m_remaining.size()) {
            m_isGood = false;
            return {};
        }
        const std::string_view taken = m_remaining.substr(0, count);
        m_remaining.remove_prefix(count);
        return taken;
    }

    std::string_view m_remaining;
    bool m_isGood = true;
};

std::string serializeTransfer(const peer_transfer &transfer)
{
    std::string bytes;
    writeText(bytes, transfer.snapshot);
    for (const transferred_record &record : transfer.records) {
        writeNumber(bytes, record.offset);
        writeText(bytes, record.text);
    }
    return bytes;
}

} // namespace

std::vector<config_part> splitTransfer(std::uint64_t number, const peer_transfer &transfer)
{
    const std::string bytes = serializeTransfer(transfer);
    const std::size_t count = std::max<std::size_t>(1, (bytes.size() + kMaxPartBytes - 1) / kMaxPartBytes);
    std::vector<config_part> parts;
    if (count > kMaxParts) {
        return parts;
    }
    for (std::uint32_t i = 0; i < count; ++i) {
        parts.push_back({number, i, static_cast<std::uint32_t>(count), bytes.substr(i * kMaxPartBytes, kMaxPartBytes)});
    }
    return parts;
}

std::optional<peer_transfer> parseTransfer(std::string_view bytes)
{
    reader in(bytes);
    peer_transfer transfer;
    transfer.snapshot = in.text();
    while (in.isGood() && in.remaining() >= kMinRecordBytes) {
        const log_offset offset = in.number();
        transfer.records.push_back({offset, in.text()});
    }
    if (!in.isGood() || in.remaining() > 0) {
        return std::nullopt;
    }
    return transfer;
}

void transfer_assembler::expect(std::uint64_t number)
{
    m_number = number;
    m_next = 0;
    m_bytes.clear();
}

std::optional<peer_transfer> transfer_assembler::add(const config_part &part)
{
    if (part.number != m_number || part.index != m_next) {
        return std::nullopt;
    }
    ++m_next;
    m_bytes += part.bytes;
    if (m_next < part.count) {
        return std::nullopt;
    }
    m_number.reset();
    const std::string bytes = std::exchange(m_bytes, {});
    return parseTransfer(bytes);
}

} // namespace heatherroute
