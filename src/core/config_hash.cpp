#include "core/config_hash.h"

#include <array>
#include <cstddef>
#include <string>
#include <type_traits>
#include <xxhash.h>

namespace heatherroute::detail
{

namespace
{

/// Concatenates fields unambiguously: different lists of fields never give the same bytes, provided that the tag, or the tag and
/// the first field, determine the types of all fields.
class field_bytes
{
public:
    explicit field_bytes(char tag)
    {
        m_bytes.reserve(kTypicalBytes);
        m_bytes.push_back(tag);
    }

    field_bytes &add(std::uint64_t number)
    {
        std::array<char, sizeof(number)> bytes{};
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            bytes[i] = static_cast<char>((number >> (8 * i)) & 0xffU);
        }
        m_bytes.append(bytes.data(), bytes.size());
        return *this;
    }

    field_bytes &add(std::string_view text)
    {
        add(static_cast<std::uint64_t>(text.size()));
        m_bytes.append(text);
        return *this;
    }

    field_bytes &add(const std::vector<std::string> &list)
    {
        add(static_cast<std::uint64_t>(list.size()));
        for (const std::string &text : list) {
            add(std::string_view(text));
        }
        return *this;
    }

    std::uint64_t hash() const
    {
        return XXH3_64bits(m_bytes.data(), m_bytes.size());
    }

private:
    static constexpr std::size_t kTypicalBytes = 256;

    std::string m_bytes;
};

void addRule(field_bytes &bytes, const service_route &value)
{
    bytes.add(value.service).add(value.pathPrefix).add(value.idempotentMethods);
}

void addRule(field_bytes &bytes, const team_rule &value)
{
    bytes.add(value.name).add(value.weight).add(value.maxConcurrent);
}

void addRule(field_bytes &bytes, const model_rule &value)
{
    bytes.add(value.model).add(value.maxPromptTokens).add(value.maxOutputTokens).add(value.version).add(value.adapters);
}

void addRule(field_bytes &bytes, const capacity_floor &value)
{
    bytes.add(value.half).add(static_cast<std::uint64_t>(value.kind)).add(value.modelOrService).add(value.minActive);
}

void addRule(field_bytes &bytes, const priority_default &value)
{
    bytes.add(value.modelOrService).add(static_cast<std::uint64_t>(value.priority));
}

} // namespace

std::uint64_t hashOf(const versioned_upstream &value)
{
    const upstream &u = value.value;
    field_bytes bytes('u');
    bytes.add(u.name).add(u.address).add(u.zone).add(u.half).add(static_cast<std::uint64_t>(u.kind)).add(u.modelOrService);
    bytes.add(u.slots).add(u.pieces).add(u.pieceTokens).add(static_cast<std::uint64_t>(u.state)).add(static_cast<std::uint64_t>(u.checksFence));
    return bytes.add(value.writeOffset).hash();
}

std::uint64_t hashOf(const versioned_rule &value)
{
    field_bytes bytes('r');
    bytes.add(static_cast<std::uint64_t>(value.value.index()));
    std::visit([&bytes](const auto &one) { addRule(bytes, one); }, value.value);
    return bytes.add(value.writeOffset).hash();
}

std::uint64_t hashOf(const remembered_publish &value)
{
    field_bytes bytes('p');
    bytes.add(value.publishId).add(value.result.offset).add(static_cast<std::uint64_t>(value.result.outcome)).add(value.result.detail);
    return bytes.hash();
}

std::uint64_t hashOfRemoval(entity_kind kind, std::string_view key, log_offset offset)
{
    return field_bytes('x').add(static_cast<std::uint64_t>(kind)).add(key).add(offset).hash();
}

std::uint64_t hashOfHalf(std::string_view half, log_offset offset)
{
    return field_bytes('h').add(half).add(offset).hash();
}

std::uint64_t hashOfRevisions(const config_revision &revision, const config_revision &forgottenRemoval)
{
    const auto number = [](const config_revision &one) { return one ? *one + 1 : 0; };
    const std::uint64_t first = XXH64(nullptr, 0, number(revision));
    return XXH64(nullptr, 0, first + number(forgottenRemoval));
}

} // namespace heatherroute::detail
