#include "node/service_path.h"

#include <charconv>

namespace heatherroute::node
{

namespace
{

constexpr std::size_t kEscapeLength = 3;
constexpr int kHexBase = 16;

bool isUnreserved(char c)
{
    const bool letterOrDigit = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return letterOrDigit || c == '-' || c == '.' || c == '_' || c == '~';
}

std::optional<char> parseEscape(std::string_view text)
{
    unsigned value = 0;
    const char *begin = text.data() + 1;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(begin, end, value, kHexBase);
    if (text.size() != kEscapeLength || error != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return static_cast<char>(value);
}

std::string escapeOf(char c)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    const auto byte = static_cast<unsigned char>(c);
    return {'%', kDigits[byte / kHexBase], kDigits[byte % kHexBase]};
}

bool isAmbiguous(char c)
{
    return c == '/' || c == '\\' || c == '\0';
}

std::optional<std::string> decodeUnreserved(std::string_view path)
{
    std::string result;
    while (!path.empty()) {
        if (path.front() == '\\') {
            return std::nullopt;
        }
        if (path.front() != '%') {
            result += path.front();
            path.remove_prefix(1);
            continue;
        }
        const auto decoded = parseEscape(path.substr(0, kEscapeLength));
        if (!decoded || isAmbiguous(*decoded)) {
            return std::nullopt;
        }
        result += isUnreserved(*decoded) ? std::string(1, *decoded) : escapeOf(*decoded);
        path.remove_prefix(kEscapeLength);
    }
    return result;
}

/// Whether no segment is `.` or `..`, and no segment except the last one is empty.
bool hasPlainSegments(std::string_view path)
{
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = path.find('/');
        const std::string_view segment = path.substr(0, end);
        const bool isLast = end == std::string_view::npos;
        if (segment == "." || segment == ".." || (segment.empty() && !isLast)) {
            return false;
        }
        path = isLast ? std::string_view{} : path.substr(end);
    }
    return true;
}

} // namespace

std::optional<std::string> normalizeTarget(std::string_view target, last_reason *reason)
{
    const auto queryAt = target.find('?');
    auto path = decodeUnreserved(target.substr(0, queryAt));
    if (!path || !path->starts_with('/') || !hasPlainSegments(*path)) {
        setReason(reason, "the path must have no empty, '.' or '..' segment, no backslash, no escaped slash and no broken escape");
        return std::nullopt;
    }
    if (queryAt != std::string_view::npos) {
        *path += target.substr(queryAt);
    }
    return path;
}

} // namespace heatherroute::node
