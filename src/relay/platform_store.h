#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherroute/last_reason.h"
#include "heatherroute/registration.h"
#include "heatherroute/route_table.h"
#include "heatherroute/team_quota_message.h"

namespace heatherroute
{

/// The streams of records that the router reads from the platform's store.
enum class store_stream : std::uint8_t {
    Configuration, ///< Published by operators.
    Registrations, ///< Written by the upstreams.
    Entries, ///< Written by the entries: their addresses, and the requests that they have quarantined.
    Origins, ///< Written by some entries: which software versions began streams. A plain log: old records expire, and there are no newest ones.
};

/// The name used in logs. Thread safe.
const char *toString(store_stream stream) noexcept;

/// A change of one key; without a value, the key was deleted.
struct keyed_record
{
    std::string key;
    std::optional<std::string> value;
    auto operator<=>(const keyed_record &) const = default;
};

/// How a call to the store ended.
enum class store_outcome : std::uint8_t {
    Done,
    Unavailable, ///< No answer, or one which states that nothing was done.
    HistoryGone, ///< The requested records were deleted.
    Lost, ///< A lease was refused: another member holds it, or the generation has ended.
};

/// Records of a stream, in order.
struct keyed_page
{
    store_outcome outcome = store_outcome::Unavailable;
    std::string reason; ///< Why the outcome is not Done.
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< Offset at which the next read continues. If the history is gone, the first one that is retained, 0 if unknown.
    std::uint64_t end = 0; ///< Of readFrom(): the offset after the last record of the stream.
    std::optional<std::uint64_t> era; ///< The store's era, if the answer carries it.
    bool operator==(const keyed_page &) const = default;
};

/// Request to join, or to remain in, the group that shares the right to give orders.
struct lease_request
{
    std::string member;
    std::chrono::milliseconds lifetime{};
    std::uint64_t generation = 0; ///< The last generation received.
    auto operator<=>(const lease_request &) const = default;
};

/// The answer to a lease_request.
struct lease_answer
{
    store_outcome outcome = store_outcome::Unavailable;
    std::string reason;
    std::uint64_t generation = 0; ///< Increases with each change of an assignment; serves as the fencing token.
    bool holds = false; ///< Whether this member may give orders.
    std::optional<std::uint64_t> era = {}; ///< As in keyed_page.
    bool operator==(const lease_answer &) const = default;
};

/// The answer to an append.
struct append_answer
{
    store_outcome outcome = store_outcome::Unavailable;
    std::optional<std::uint64_t> era; ///< As in keyed_page.
    auto operator<=>(const append_answer &) const = default;
};

/// Follows a read of the store and may end it.
struct store_read_control
{
    boost::asio::cancellation_slot cancel; ///< Ends the read, which then returns Unavailable.
    std::function<void()> onSent; ///< Called when the read, or a further part of it, is about to be sent; may be empty.
    std::function<void()> onAnswering; ///< Called when the store has begun to answer what was sent; may be empty.
};

/// A team of a configuration that is left out, since it is invalid.
struct invalid_team
{
    std::string name; ///< At most kMaxTeamNameBytes of it; empty if it has none.
    std::string reason;
    auto operator<=>(const invalid_team &) const = default;
};

/**
 * The platform's store as the router uses it.
 *
 * Filled in by the adapter of the platform. The calls run on the executor of the caller and have their own timeouts. The
 * decoders are pure and callable from any thread.
 */
struct platform_store
{
    /// Reads the newest record of each key; the second argument is the maximum time without data from the store.
    std::function<boost::asio::awaitable<keyed_page>(store_stream, std::chrono::milliseconds, store_read_control)> readNewest;
    /// Reads the records from an offset on; if there are none yet, the store may delay its answer by the given wait.
    std::function<boost::asio::awaitable<keyed_page>(store_stream, std::uint64_t from, std::chrono::milliseconds wait, store_read_control)> readFrom;
    /// Makes a call whose answer is small; returns whether the store answered it.
    std::function<boost::asio::awaitable<bool>()> probe;
    std::function<boost::asio::awaitable<append_answer>(store_stream, keyed_record)> append;
    std::function<boost::asio::awaitable<lease_answer>(lease_request)> joinLease;
    std::function<boost::asio::awaitable<void>(std::string member)> leaveLease;
    /// The decoders return an empty optional and set the reason when the record is invalid. decodeRoutes also returns an empty
    /// optional, but sets no reason, when the record doesn't hold a configuration. It adds the teams that are left out to the list, unless
    /// that is null.
    std::function<std::optional<route_table>(const keyed_record &, last_reason *, std::vector<invalid_team> *)> decodeRoutes;
    std::function<std::optional<registration>(const keyed_record &, last_reason *)> decodeRegistration;
};

} // namespace heatherroute
