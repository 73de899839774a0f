#include "settings/yaml_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <sstream>
#include <utility>

#include <yaml-cpp/eventhandler.h>

namespace heatherroute
{

std::string toString(const settings_problem &problem)
{
    std::string text = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.key.empty()) {
        text += problem.key + ": ";
    }
    return text + problem.message;
}

} // namespace heatherroute

namespace heatherroute::detail
{
namespace
{

constexpr std::size_t kMaxNameLength = 64;
constexpr std::uint32_t kMaxPort = 65535;
constexpr std::size_t kMaxTextBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kMaxDepth = 32;
constexpr std::size_t kMaxEventsPerByte = 4;

// yaml-cpp marks a quoted scalar with this tag; a plain one has "?".
constexpr std::string_view kQuotedTag = "!";

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isNameCharacter(char c)
{
    return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
}

bool isPlainScalar(const YAML::Node &node)
{
    return node.IsScalar() && node.Tag() != kQuotedTag;
}

std::optional<std::uint64_t> parseDigits(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

bool isIpAddress(int family, const std::string &text)
{
    // inet_pton would ignore everything after an embedded null character.
    if (text.find('\0') != std::string::npos) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, text.c_str(), address.data()) == 1;
}

bool isNumericHost(const std::string &text)
{
    const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (bracketed) {
        return isIpAddress(AF_INET6, text.substr(1, text.size() - 2));
    }
    return isIpAddress(AF_INET, text);
}

/// Stops the parser when it reports more events than a text of this size can contain, or nests deeper than kMaxDepth.
class bounded_event_handler : public YAML::EventHandler
{
public:
    explicit bounded_event_handler(std::size_t textBytes)
        : m_eventsLeft(kMaxEventsPerByte * textBytes + kMaxEventsPerByte)
    { }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        count(mark);
    }

    void OnDocumentEnd() override
    { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t) override
    {
        count(mark);
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        count(mark);
    }

    void OnScalar(const YAML::Mark &mark, const std::string &, YAML::anchor_t, const std::string &) override
    {
        count(mark);
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t, YAML::EmitterStyle::value) override
    {
        enter(mark);
    }

    void OnSequenceEnd() override
    {
        --m_depth;
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t, YAML::EmitterStyle::value) override
    {
        enter(mark);
    }

    void OnMapEnd() override
    {
        --m_depth;
    }

private:
    void enter(const YAML::Mark &mark)
    {
        count(mark);
        if (++m_depth > kMaxDepth) {
            throw YAML::ParserException(mark, "nested deeper than " + std::to_string(kMaxDepth) + " levels");
        }
    }

    void count(const YAML::Mark &mark)
    {
        if (m_eventsLeft == 0) {
            throw YAML::ParserException(mark, "the parser reports more events than a text of this size can contain");
        }
        --m_eventsLeft;
    }

    std::size_t m_eventsLeft;
    std::size_t m_depth = 0;
};

/// Whether the text contains exactly one document within the limits. Parses one document at a time, because yaml-cpp 0.7 reports an
/// infinite number of empty documents when a token cannot start a document.
bool holdsOneBoundedDocument(const std::string &text, problem_list &problems)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    bounded_event_handler events(text.size());
    if (!parser.HandleNextDocument(events)) {
        problems.add(1, "", "the file contains no YAML document; exactly one is accepted");
        return false;
    }
    if (parser.HandleNextDocument(events)) {
        problems.add(1, "", "the file contains more than one YAML document; exactly one is accepted");
        return false;
    }
    return true;
}

} // namespace

problem_list::problem_list(std::string fileName)
    : m_fileName(std::move(fileName))
{ }

void problem_list::add(int line, const std::string &key, const std::string &message)
{
    m_problems.push_back({m_fileName, line, key, message});
}

void problem_list::add(const YAML::Node &node, const std::string &key, const std::string &message)
{
    add(lineOf(node), key, message);
}

bool problem_list::empty() const noexcept
{
    return m_problems.empty();
}

void problem_list::appendTo(std::vector<settings_problem> *target) const
{
    if (target == nullptr) {
        return;
    }
    std::vector<settings_problem> sorted = m_problems;
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
    target->insert(target->end(), sorted.begin(), sorted.end());
}

int lineOf(const YAML::Node &node)
{
    // yaml-cpp reports line -1 for a node without a location; use the first line instead.
    return std::max(node.Mark().line + 1, 1);
}

std::string joinPath(const std::string &parent, const std::string &key)
{
    return parent.empty() ? key : parent + "." + key;
}

std::optional<YAML::Node> loadDocument(std::string_view text, problem_list &problems)
{
    if (text.size() > kMaxTextBytes) {
        problems.add(1, "", "the file is too large; at most " + std::to_string(kMaxTextBytes) + " bytes are accepted");
        return std::nullopt;
    }
    try {
        const std::string copy(text);
        if (!holdsOneBoundedDocument(copy, problems)) {
            return std::nullopt;
        }
        return YAML::Load(copy);
    } catch (const YAML::Exception &error) {
        problems.add(std::max(error.mark.line + 1, 1), "", "not valid YAML: " + error.msg);
    }
    return std::nullopt;
}

std::vector<yaml_entry> mapEntries(const YAML::Node &node, const std::string &path, problem_list &problems)
{
    std::vector<yaml_entry> entries;
    if (!node.IsMap()) {
        problems.add(node, path, "not a mapping; a mapping of keys to values is accepted here");
        return entries;
    }
    std::set<std::string> seen;
    for (const auto &pair : node) {
        if (!pair.first.IsScalar()) {
            problems.add(pair.first, path, "a key must be plain text");
            continue;
        }
        const std::string key = pair.first.Scalar();
        if (!seen.insert(key).second) {
            problems.add(pair.first, joinPath(path, key), "duplicate key; each key is accepted once");
            continue;
        }
        entries.push_back({key, pair.first, pair.second});
    }
    return entries;
}

std::optional<std::string> parseText(const YAML::Node &node)
{
    if (!node.IsScalar()) {
        return std::nullopt;
    }
    return node.Scalar();
}

std::optional<std::uint64_t> parseInteger(const YAML::Node &node, std::uint64_t min, std::uint64_t max)
{
    if (!isPlainScalar(node)) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> value = parseDigits(node.Scalar());
    if (!value || *value < min || *value > max) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parseReal(const YAML::Node &node, double min, double max)
{
    if (!isPlainScalar(node)) {
        return std::nullopt;
    }
    const std::string &text = node.Scalar();
    const bool isDecimal = !text.empty() && text.find_first_not_of("0123456789.") == std::string::npos && text.front() != '.';
    double value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (!isDecimal || status != std::errc{} || end != text.data() + text.size() || value < min || value > max) {
        return std::nullopt;
    }
    return value;
}

std::optional<bool> parseBoolean(const YAML::Node &node)
{
    if (!isPlainScalar(node)) {
        return std::nullopt;
    }
    if (node.Scalar() == "true") {
        return true;
    }
    if (node.Scalar() == "false") {
        return false;
    }
    return std::nullopt;
}

std::optional<std::string> parseName(const YAML::Node &node)
{
    std::optional<std::string> text = parseText(node);
    if (!text || text->empty() || text->size() > kMaxNameLength || !isLetterOrDigit(text->front())) {
        return std::nullopt;
    }
    if (!std::all_of(text->begin(), text->end(), isNameCharacter)) {
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> parseAddress(const YAML::Node &node, std::uint32_t minPort)
{
    std::optional<std::string> text = parseText(node);
    if (!text) {
        return std::nullopt;
    }
    const std::size_t colon = text->rfind(':');
    if (colon == std::string::npos || !isNumericHost(text->substr(0, colon))) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> port = parseDigits(std::string_view(*text).substr(colon + 1));
    if (!port || *port < minPort || *port > kMaxPort) {
        return std::nullopt;
    }
    return text;
}

std::string integerAccepted(std::uint64_t min, std::uint64_t max)
{
    return "an integer from " + std::to_string(min) + " to " + std::to_string(max);
}

std::string realAccepted(double min, double max)
{
    std::ostringstream text;
    text << "a number from " << min << " to " << max;
    return text.str();
}

std::string addressAccepted(std::uint32_t minPort)
{
    return "IP:port with a numeric address (IPv6 in brackets) and a port from " + std::to_string(minPort) + " to 65535";
}

std::string joinWords(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

} // namespace heatherroute::detail
