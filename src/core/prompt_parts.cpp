#include "core/prompt_parts.h"

#include <algorithm>
#include <bit>
#include <string_view>
#include <xxhash.h>

#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace
{

constexpr std::size_t kBlockTokens = 64;
constexpr std::string_view kBlanks = " \t\r\n";

/// Whether a part ends with block number @p block, counted from 1: 1, 2, 3, 4, 6, 8, 12, 16, 24 and so on.
bool endsPart(std::size_t block)
{
    const auto zeros = static_cast<std::size_t>(std::countr_zero(block));
    return (block >> zeros) <= 3;
}

} // namespace

std::vector<std::uint64_t> promptPartsOf(const std::string &model, const std::string &prompt)
{
    std::vector<std::uint64_t> parts;
    std::uint64_t hash = XXH3_64bits(model.data(), model.size());
    std::string block;
    std::size_t tokens = 0;
    const std::string_view text = prompt;
    std::size_t begin = text.find_first_not_of(kBlanks);
    while (begin != std::string_view::npos && parts.size() < kMaxSharedParts) {
        // A token follows, so the blocks before it aren't the whole prompt.
        if (tokens > 0 && tokens % kBlockTokens == 0) {
            hash = XXH3_64bits_withSeed(block.data(), block.size(), hash);
            block.clear();
            if (endsPart(tokens / kBlockTokens)) {
                parts.push_back(hash);
            }
        }
        const std::size_t end = std::min(text.find_first_of(kBlanks, begin), text.size());
        block.append(text, begin, end - begin);
        block += ' ';
        ++tokens;
        begin = text.find_first_not_of(kBlanks, end);
    }
    return parts;
}

} // namespace heatherroute
