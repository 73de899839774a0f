#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace heatherroute::standins
{

/// How the stand-in store misbehaves.
struct store_faults
{
    bool busy = false; ///< Answers 503 to all.
    bool silent = false; ///< Answers nothing.
    std::chrono::milliseconds delay{0}; ///< Before each answer.
};

/// An answer with @p body as JSON. Thread safe.
net::http_answer jsonAnswer(const boost::json::value &body, unsigned status = 200);

/**
 * A stand-in for the platform's store: logs of keyed records, long reads, one group with a lease.
 *
 * Loses nothing and answers in order. Not thread safe; lives on the thread of its io_context.
 */
class site_store
{
public:
    explicit site_store(boost::asio::io_context &context);

    /// Appends a record, or drops the key when @p value is empty.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Drops the records of @p topic from its history; the newest of each key stay.
    void forgetHistory(const std::string &topic);
    void setFaults(const store_faults &faults);
    /// Answers one call.
    boost::asio::awaitable<void> serve(net::http_request request, net::http_responder &responder);

private:
    struct topic_log
    {
        std::uint64_t first = 0;
        std::vector<std::string> records; ///< From `first` on, as they are sent.
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest; ///< Value and offset by key.
    };

    net::http_answer newest(const net::http_request &request);
    boost::asio::awaitable<net::http_answer> read(const net::http_request &request);
    net::http_answer append(const net::http_request &request);
    net::http_answer join(const net::http_request &request);
    net::http_answer leave(const net::http_request &request);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    std::map<std::string, topic_log> m_topics;
    store_faults m_faults;
    std::map<std::string, std::chrono::steady_clock::time_point> m_members; ///< Until when each is a member.
    std::string m_holder;
    std::uint64_t m_generation = 0;
};

} // namespace heatherroute::standins
