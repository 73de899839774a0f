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

/// The fault switches of the stand-in store.
struct store_faults
{
    bool busy = false; ///< Answers every call with 503.
    bool silent = false; ///< Never answers.
    std::chrono::milliseconds delay{0}; ///< Delay before each answer.
    bool unframed = false; ///< Bodies have neither a length nor chunks and end with their connection.
    bool cutAnswers = false; ///< Ends the bodies of answers in the middle, but in order.
};

/// An HTTP answer with the JSON @p body. Thread safe.
net::http_answer jsonAnswer(const boost::json::value &body, unsigned status = 200);

/**
 * A stand-in for the platform's store: logs of keyed records, long polling, and one group whose lease one member holds.
 *
 * It never loses a record and answers in order. Not thread safe; runs on the thread of its io_context.
 */
class site_store
{
public:
    explicit site_store(boost::asio::io_context &context);

    /// Appends a record for @p key; an empty @p value also removes the key from the newest values.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Removes all records of @p topic from its history; the newest value of each key stays.
    void removeHistory(const std::string &topic);
    /// Removes all keys of @p topic that begin with @p prefix, as their writer could.
    void removeKeys(const std::string &topic, const std::string &prefix);
    void setFaults(const store_faults &faults);
    /// Sends the era in all answers from now on; 0 stops that.
    void setEra(std::uint64_t era);
    /// A copy of the store's content, from which it can come back.
    struct copy;
    std::shared_ptr<const copy> makeCopy() const;
    /// Comes back from an older copy: what was written since is gone, and the era rises by one if it is sent.
    void restore(const copy &from);
    /// Returns the keys of @p topic that have a value.
    std::vector<std::string> keysOf(const std::string &topic) const;
    /// Answers one call.
    boost::asio::awaitable<void> serve(net::http_request request, net::http_responder &responder);

private:
    struct topic_log
    {
        std::uint64_t first = 0;
        std::vector<std::string> records; ///< Records from offset `first` on, in their wire encoding.
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest; ///< Newest value and its offset by key.
    };

    net::http_answer newest(const net::http_request &request);
    boost::asio::awaitable<net::http_answer> read(const net::http_request &request);
    net::http_answer append(const net::http_request &request);
    net::http_answer join(const net::http_request &request);
    net::http_answer leave(const net::http_request &request);
    net::http_answer owners(const net::http_request &request);
    boost::asio::awaitable<void> sendAnswer(net::http_answer answer, net::http_responder &responder);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    std::map<std::string, topic_log> m_topics;
    std::uint64_t m_era = 0; ///< 0 when no era is sent.
    store_faults m_faults;
    std::map<std::string, std::chrono::steady_clock::time_point> m_members; ///< Time at which each membership expires unless the member joins again.
    std::string m_leaseHolder;
    std::string m_leaseTopic; ///< The topic that its group shares.
    std::uint64_t m_generation = 0;
};

struct site_store::copy
{
    std::map<std::string, topic_log> topics;
    std::string leaseHolder;
    std::uint64_t generation = 0;
};

} // namespace heatherroute::standins
