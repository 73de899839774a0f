#include "standins/site_store.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace heatherroute::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
using net::http_answer;
using net::http_request;

namespace
{

constexpr std::chrono::milliseconds kPollInterval{5};

std::string bigEndian(std::uint64_t value, unsigned size)
{
    std::string bytes;
    for (unsigned i = size; i > 0; --i) {
        bytes += static_cast<char>((value >> (8U * (i - 1))) & 0xffU);
    }
    return bytes;
}

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string encodeBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

} // namespace

http_answer jsonAnswer(const json::value &body, unsigned status)
{
    http_answer answer;
    answer.status = status;
    answer.body = json::serialize(body);
    return answer;
}

site_store::site_store(asio::io_context &context)
    : m_context(context)
{ }

void site_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    topic_log &log = m_topics[topic];
    const std::uint64_t offset = log.first + log.records.size();
    log.records.push_back(bigEndian(1 + key.size() + value.size(), 4) + bigEndian(key.size(), 1) + key + value);
    if (value.empty()) {
        log.newest.erase(key);
    } else {
        log.newest[key] = {value, offset};
    }
}

void site_store::removeHistory(const std::string &topic)
{
    topic_log &log = m_topics[topic];
    log.first += log.records.size();
    log.records.clear();
}

void site_store::removeKeys(const std::string &topic, const std::string &prefix)
{
    std::vector<std::string> keys;
    for (const auto &[key, entry] : m_topics[topic].newest) {
        if (key.starts_with(prefix)) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        put(topic, key, "");
    }
}

void site_store::setFaults(const store_faults &faults)
{
    m_faults = faults;
}

void site_store::setEra(std::uint64_t era)
{
    m_era = era;
}

std::shared_ptr<const site_store::copy> site_store::makeCopy() const
{
    return std::make_shared<const copy>(copy{m_topics, m_leaseHolder, m_generation});
}

void site_store::restore(const copy &from)
{
    m_topics = from.topics;
    m_leaseHolder = from.leaseHolder;
    m_generation = from.generation;
    m_era += m_era > 0 ? 1 : 0;
}

std::vector<std::string> site_store::keysOf(const std::string &topic) const
{
    std::vector<std::string> keys;
    if (const auto found = m_topics.find(topic); found != m_topics.end()) {
        for (const auto &[key, entry] : found->second.newest) {
            keys.push_back(key);
        }
    }
    return keys;
}

asio::awaitable<void> site_store::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> site_store::serve(http_request request, net::http_responder &responder)
{
    if (m_faults.delay.count() > 0) {
        co_await sleepFor(m_faults.delay);
    }
    while (m_faults.silent && !responder.isClosed()) {
        co_await sleepFor(kPollInterval);
    }
    http_answer answer;
    if (m_faults.busy) {
        answer.status = 503;
    } else if (request.path() == "/v1/log-newest") {
        answer = newest(request);
    } else if (request.path() == "/v1/log-read") {
        answer = co_await read(request);
    } else if (request.path() == "/v1/log-append") {
        answer = append(request);
    } else if (request.path() == "/v1/log-join") {
        answer = join(request);
    } else if (request.path() == "/v1/log-leave") {
        answer = leave(request);
    } else if (request.path() == "/v1/log-owners") {
        answer = owners(request);
    } else {
        answer.status = 404;
    }
    if (m_era > 0) {
        answer.fields.push_back({"Store-Era", std::to_string(m_era)});
    }
    co_await sendAnswer(std::move(answer), responder);
}

asio::awaitable<void> site_store::sendAnswer(http_answer answer, net::http_responder &responder)
{
    if (!m_faults.unframed && !m_faults.cutAnswers) {
        co_await responder.send(std::move(answer));
        co_return;
    }
    std::string body = std::move(answer.body);
    if (m_faults.cutAnswers) {
        body.resize(body.size() / 2);
    }
    co_await responder.beginStream(std::move(answer), m_faults.unframed ? net::body_framing::ConnectionClose : net::body_framing::Chunks);
    co_await responder.write(std::move(body));
    co_await responder.endStream();
}

http_answer site_store::newest(const http_request &request)
{
    const topic_log &log = m_topics[std::string(request.query("Topic"))];
    json::array items;
    for (const auto &[key, entry] : log.newest) {
        items.push_back(json::object{{"Key", key}, {"Value", encodeBase64(entry.first)}, {"Offset", entry.second}});
    }
    return jsonAnswer(json::object{{"items", std::move(items)}, {"Truncated", false}, {"End", log.first + log.records.size()}});
}

asio::awaitable<http_answer> site_store::read(const http_request &request)
{
    const std::string topic(request.query("Topic"));
    const std::uint64_t from = parseNumber(request.query("From"));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(parseNumber(request.query("WaitMs")));
    while (m_topics[topic].first + m_topics[topic].records.size() <= from && std::chrono::steady_clock::now() < until) {
        co_await sleepFor(kPollInterval);
    }
    const topic_log &log = m_topics[topic];
    if (from < log.first || from > log.first + log.records.size()) {
        co_return jsonAnswer(json::object{{"First", log.first}}, 410);
    }
    http_answer answer;
    answer.contentType = "application/octet-stream";
    answer.body = bigEndian(log.first + log.records.size(), 8) + bigEndian(log.first, 8);
    for (std::size_t i = from - log.first; i < log.records.size(); ++i) {
        answer.body += log.records[i];
    }
    co_return answer;
}

http_answer site_store::append(const http_request &request)
{
    const std::string &body = request.body;
    constexpr std::size_t kHeaderBytes = 5;
    if (body.size() < kHeaderBytes) {
        return jsonAnswer(json::object(), 400);
    }
    const auto keySize = static_cast<unsigned char>(body[4]);
    put(std::string(request.query("Topic")), body.substr(kHeaderBytes, keySize), body.substr(kHeaderBytes + keySize));
    return jsonAnswer(json::object{{"Offset", 0}, {"End", 0}});
}

http_answer site_store::join(const http_request &request)
{
    const json::value body = json::parse(request.body);
    const std::string member(body.at("Member").as_string());
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_members, [now](const auto &entry) { return entry.second < now; });
    const bool isNew = m_members.count(member) == 0;
    m_members[member] = now + std::chrono::milliseconds(body.at("TtlMs").to_number<std::int64_t>());
    if (m_members.count(m_leaseHolder) == 0) {
        m_leaseHolder = member;
        ++m_generation;
    } else if (isNew) {
        ++m_generation;
    }
    m_leaseTopic = body.at("Topics").at(0).as_string();
    json::array parts;
    if (m_leaseHolder == member) {
        parts.push_back(json::array{m_leaseTopic, 0, 0});
    }
    return jsonAnswer(json::object{{"Generation", m_generation}, {"TtlMs", body.at("TtlMs")}, {"parts", std::move(parts)}});
}

http_answer site_store::owners(const http_request &request)
{
    json::array rows;
    if (!m_leaseHolder.empty() && !m_leaseTopic.empty()) {
        rows.push_back(json::array{m_leaseTopic, 0, m_leaseHolder, 0});
    }
    return jsonAnswer(json::object{{"group", request.query("group")}, {"rows", std::move(rows)}});
}

http_answer site_store::leave(const http_request &request)
{
    const std::string member(json::parse(request.body).at("Member").as_string());
    m_members.erase(member);
    if (m_leaseHolder == member) {
        m_leaseHolder.clear();
    }
    return jsonAnswer(json::object());
}

} // namespace heatherroute::standins
