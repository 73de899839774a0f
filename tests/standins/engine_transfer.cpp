// The sending and the receiving side of a KV transfer between engines.
#include "standins/engine_json.h"
#include "standins/engine_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdlib>

namespace heatherroute::standins
{

namespace
{

constexpr auto kAwaitResult = net::as_tuple(net::use_awaitable);
constexpr std::chrono::milliseconds kProgressInterval{100};

} // namespace

net::awaitable<void> engine_server::sendKv(const standin_request &request, standin_connection &connection)
{
    const std::string kvId = request.path.substr(request.path.rfind('/') + 1);
    const std::string prefix = m_incarnation + '-';
    const bool isOwnId = kvId.compare(0, prefix.size(), prefix) == 0;
    const auto id = isOwnId ? std::strtoull(kvId.c_str() + prefix.size(), nullptr, 10) : 0;
    const auto transfer = m_prefill.startTransfer(realTime(), id);
    advanceModels();
    if (!transfer) {
        co_await connection.fail(410, "kv_gone");
        co_return;
    }
    co_await connection.beginStream([this] { m_changed.notify(); });
    const std::string progress = eventText({{"progress", true}});
    const std::string done = eventText({{"done", true}});
    instant lastProgressSent = realTime();
    while (m_sentTransfers.count(*transfer) == 0) {
        if (connection.isClosed()) {
            m_prefill.abandonTransfer(realTime(), *transfer);
            advanceModels();
            co_return;
        }
        if (!m_faults.stallTransfers && realTime() - lastProgressSent >= kProgressInterval) {
            lastProgressSent = realTime();
            co_await connection.sendEvents(progress);
        }
        co_await m_changed.wait(kProgressInterval);
    }
    m_sentTransfers.erase(*transfer);
    co_await connection.sendEvents(done);
    co_await connection.endStream();
}

net::awaitable<void> engine_server::pullKv(std::string source, std::string kvId, std::string requestId, std::size_t record)
{
    const auto colon = source.rfind(':');
    beast::error_code addressError;
    const auto address = net::ip::make_address(source.substr(0, colon), addressError);
    const auto port = colon == std::string::npos ? 0 : std::strtoul(source.c_str() + colon + 1, nullptr, 10);
    beast::tcp_stream stream(m_context);
    http::request<http::empty_body> request(http::verb::get, "/v1/kv/" + kvId, 11);
    request.set(http::field::host, source);
    request.keep_alive(false);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code error = addressError;
    if (!error) {
        stream.expires_after(m_options.transferStall);
        std::tie(error) = co_await stream.async_connect(net::ip::tcp::endpoint(address, static_cast<unsigned short>(port)), kAwaitResult);
    }
    if (!error) {
        stream.socket().set_option(net::ip::tcp::no_delay(true));
        std::size_t size = 0;
        std::tie(error, size) = co_await http::async_write(stream, request, kAwaitResult);
    }
    // Each read that makes progress restarts the stall timer.
    while (!error && !parser.is_done()) {
        std::size_t size = 0;
        stream.expires_after(m_options.transferStall);
        std::tie(error, size) = co_await http::async_read_some(stream, buffer, parser, kAwaitResult);
    }
    const bool complete = !error && parser.get().result() == http::status::ok;
    if (complete) {
        m_decode.markSourceComplete(realTime(), requestId);
    } else if (m_decode.records()[record].reason == end_reason::Open) {
        m_pullFailures[record] = error == beast::error::timeout ? "transfer_stalled" : "kv_gone";
    }
    advanceModels();
}

} // namespace heatherroute::standins
