#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherroute::standins
{

/// The number of words in @p text, separated by white space. Stand-in engines count each word as one token. Thread safe.
inline std::size_t countTokens(std::string_view text)
{
    std::size_t count = 0;
    bool inWord = false;
    for (const char letter : text) {
        const bool blank = letter == ' ' || letter == '\n' || letter == '\t' || letter == '\r';
        count += !blank && !inWord ? 1 : 0;
        inWord = !blank;
    }
    return count;
}

/**
 * The answer that every stand-in engine gives to a prompt: a pure function of model, prompt and token limit.
 *
 * Tests and benchmarks use it to compute the whole answer, and one engine can continue the answer of another exactly. The
 * answers to one prompt in four end before the token limit. Immutable; thread safe.
 */
class expected_answer
{
public:
    /// @p maxTokens is the limit for the whole answer, including tokens that were already generated elsewhere.
    expected_answer(std::string_view model, std::string_view prompt, std::size_t maxTokens)
        : m_seed(XXH3_64bits_withSeed(prompt.data(), prompt.size(), XXH3_64bits(model.data(), model.size())))
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
        if (m_seed % kEarlyStopOneIn == 0 && maxTokens > 1) {
            m_tokens = maxTokens / 2 + (m_seed >> 8U) % (maxTokens - maxTokens / 2);
        }
    }

    /// The number of tokens of the whole answer.
    std::size_t tokens() const noexcept
    {
        return m_tokens;
    }

    /// Why the answer ends after tokens() tokens: `stop` or `length`.
    std::string_view finishReason() const noexcept
    {
        return m_tokens < m_maxTokens ? "stop" : "length";
    }

    /// The token at @p index: a word followed by a blank.
    std::string token(std::size_t index) const
    {
        std::uint64_t hash = XXH3_64bits_withSeed(&index, sizeof(index), m_seed);
        std::string word(kMinWordLetters + hash % kWordLengthCount, 'a');
        for (char &letter : word) {
            hash /= kLetters;
            letter = static_cast<char>('a' + hash % kLetters);
        }
        return word + ' ';
    }

    /// The tokens from @p from up to, but not including, @p to.
    std::string text(std::size_t from, std::size_t to) const
    {
        std::string result;
        for (std::size_t index = from; index < to && index < m_tokens; ++index) {
            result += token(index);
        }
        return result;
    }

    /// The whole answer.
    std::string text() const
    {
        return text(0, m_tokens);
    }

private:
    static constexpr std::uint64_t kEarlyStopOneIn = 4;
    static constexpr std::uint64_t kMinWordLetters = 3;
    static constexpr std::uint64_t kWordLengthCount = 6;
    static constexpr std::uint64_t kLetters = 26;

    std::uint64_t m_seed;
    std::size_t m_maxTokens;
    std::size_t m_tokens;
};

} // namespace heatherroute::standins
