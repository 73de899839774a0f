#include "telemetry/log.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace heatherroute
{
namespace
{

constexpr int kMillisecondsPerSecond = 1000;

bool isUtf8(const std::string &text)
{
    using decoder = boost::locale::utf::utf_traits<char>;
    auto position = text.begin();
    while (position != text.end()) {
        if (!boost::locale::utf::is_valid_codepoint(decoder::decode(position, text.end()))) {
            return false;
        }
    }
    return true;
}

bool isControl(char c)
{
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < kFirstPrintable || byte == kDelete;
}

bool isAscii(char c)
{
    constexpr unsigned char kFirstNonAscii = 0x80;
    return static_cast<unsigned char>(c) < kFirstNonAscii;
}

void appendEscaped(std::string &text, char c, bool utf8)
{
    if (c == '"' || c == '\\') {
        text += '\\';
        text += c;
    } else if (isControl(c)) {
        std::array<char, 8> escape{};
        std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(c)));
        text += escape.data();
    } else if (!isAscii(c) && !utf8) {
        text += "\\ufffd";
    } else {
        text += c;
    }
}

// Formats `value` as a JSON string. When it is not valid UTF-8, all non-ASCII bytes become replacement characters, so that the line is valid JSON.
std::string quoted(const std::string &value)
{
    const bool utf8 = isUtf8(value);
    std::string text = "\"";
    for (const char c : value) {
        appendEscaped(text, c, utf8);
    }
    return text + '"';
}

bool needsQuotes(const std::string &value)
{
    const auto special = [](char c) { return c == ' ' || c == '=' || c == '"' || c == '\\' || isControl(c); };
    return value.empty() || std::any_of(value.begin(), value.end(), special) || !isUtf8(value);
}

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = sinceEpoch / kMillisecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(sinceEpoch % kMillisecondsPerSecond));
    return std::string(date.data()) + fraction.data();
}

std::vector<log_field> allFields(const log_line &line, std::chrono::system_clock::time_point time)
{
    std::vector<log_field> fields = {
        {"time", formatTime(time)},
        {"level", std::string(toString(line.level))},
        {"event", line.event},
    };
    fields.insert(fields.end(), line.fields.begin(), line.fields.end());
    return fields;
}

std::string toKeyValue(const std::vector<log_field> &fields)
{
    std::string text;
    for (const log_field &field : fields) {
        text += text.empty() ? "" : " ";
        text += field.key + "=" + (needsQuotes(field.value) ? quoted(field.value) : field.value);
    }
    return text;
}

std::string toJson(const std::vector<log_field> &fields)
{
    std::string text;
    for (const log_field &field : fields) {
        text += text.empty() ? "{" : ",";
        text += quoted(field.key) + ":" + quoted(field.value);
    }
    return text + "}";
}

} // namespace

std::string formatLogLine(const log_line &line, log_format format, std::chrono::system_clock::time_point time)
{
    const std::vector<log_field> fields = allFields(line, time);
    return format == log_format::Json ? toJson(fields) : toKeyValue(fields);
}

} // namespace heatherroute
