#include "node/store_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "node/boot_clock.h"
#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

class store_duty::impl : public std::enable_shared_from_this<store_duty::impl>
{
public:
    impl(asio::io_context &context,
         store_duty_settings settings,
         platform_store store,
         channel<relay_event> &toRelay,
         channel<member_event> &toMembers,
         std::function<void(log_line)> log)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_store(std::move(store))
        , m_toRelay(toRelay)
        , m_toMembers(toMembers)
        , m_log(std::move(log))
        , m_random(std::random_device{}())
    { }

    void start()
    {
        m_lastAnswer = coreNow();
        asio::co_spawn(m_context, followConfiguration(shared_from_this()), asio::detached);
        asio::co_spawn(m_context, followRegistrations(shared_from_this()), asio::detached);
        asio::co_spawn(m_context, followEntries(shared_from_this()), asio::detached);
        asio::co_spawn(m_context, keepLease(shared_from_this()), asio::detached);
    }

    void take(const store_event &event)
    {
        if (const auto *wanted = std::get_if<lease_wanted>(&event)) {
            m_leaseWanted = wanted->wanted;
        } else if (const auto *followed = std::get_if<store_followed>(&event)) {
            m_closely = followed->closely;
            log(log_level::Info, m_closely ? "store_followed_closely" : "store_followed_by_news", {});
            if (m_closely) {
                wake(store_stream::Configuration);
                wake(store_stream::Registrations);
            }
        } else if (std::holds_alternative<config_outdated>(event)) {
            noteOutdated();
        } else {
            m_leaseWanted = false;
            m_stopping = true;
        }
    }

private:
    /// One stream that is followed: where the next read goes on, and how often it failed in a row.
    struct position
    {
        store_stream stream = store_stream::Configuration;
        std::optional<std::uint64_t> next; ///< Empty when the newest records must be read first.
        std::uint32_t failures = 0;
    };

    /// Reads the next records, or the newest ones when history is unknown. @p isWhole tells which.
    asio::awaitable<keyed_page> readNext(position &at, std::chrono::milliseconds wait, bool &isWhole)
    {
        isWhole = !at.next.has_value();
        keyed_page page;
        if (isWhole) {
            page = co_await m_store.readNewest(at.stream, patienceOf(at));
        } else {
            page = co_await m_store.readFrom(at.stream, *at.next, wait);
        }
        if (page.outcome == store_outcome::Done) {
            at.next = page.next;
            at.failures = 0;
            co_await noteReached();
        } else if (page.outcome == store_outcome::HistoryGone) {
            log(log_level::Info, "store_history_gone", {{"stream", nameOf(at.stream)}, {"from", std::to_string(at.next.value_or(0))}});
            at.next.reset();
        } else {
            at.failures += 1;
            co_await noteFailed(at, page.reason);
        }
        co_return page;
    }

    static std::string nameOf(store_stream stream)
    {
        switch (stream) {
        case store_stream::Configuration:
            return "configuration";
        case store_stream::Registrations:
            return "registrations";
        case store_stream::Entries:
            return "entries";
        }
        return "unknown";
    }

    asio::awaitable<void> noteReached()
    {
        m_lastAnswer = coreNow();
        if (!m_reached) {
            m_reached = true;
            log(log_level::Info, "store_regained", {});
            relay_event event = store_reached{true};
            co_await m_toRelay.push(std::move(event));
        }
    }

    asio::awaitable<void> noteFailed(const position &at, const std::string &reason)
    {
        const duration silent = coreNow() - m_lastAnswer;
        if (m_reached && silent >= m_settings.lostAfter) {
            m_reached = false;
            log(log_level::Warning, "store_lost", {{"stream", nameOf(at.stream)}, {"reason", reason}, {"silent_ms", std::to_string(silent.count() / 1000)}});
            relay_event event = store_reached{false};
            co_await m_toRelay.push(std::move(event));
        }
    }

    asio::awaitable<void> pause(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// A pause that ends early when this entry has to read the store itself.
    asio::awaitable<void> rest(store_stream stream, std::chrono::milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        m_resting[stream] = &timer;
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_resting.erase(stream);
    }

    /// Reads the configuration soon; news that come meanwhile are met by the same read.
    void noteOutdated()
    {
        if (m_configOutdated) {
            return;
        }
        m_configOutdated = true;
        asio::co_spawn(m_context, readOutdated(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> readOutdated(std::shared_ptr<impl> self)
    {
        const std::int64_t most = self->m_settings.outdatedSpread.count();
        co_await self->pause(std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(most / 2, most)(self->m_random)));
        self->wake(store_stream::Configuration);
    }

    void wake(store_stream stream)
    {
        if (const auto resting = m_resting.find(stream); resting != m_resting.end()) {
            resting->second->cancel();
        }
    }

    /// Differs between entries, so that their seldom reads don't meet.
    std::chrono::milliseconds seldomPause()
    {
        const std::int64_t mean = m_settings.seldomInterval.count();
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(mean / 2, mean * 3 / 2)(m_random));
    }

    /// After a failure, a pause that grows and differs between entries, so that they don't all return to the store at once.
    std::chrono::milliseconds pauseAfter(const position &at)
    {
        constexpr std::uint32_t kMostDoublings = 5;
        const auto grown = m_settings.firstPause * (1U << std::min(at.failures, kMostDoublings));
        const auto bound = std::min<std::chrono::milliseconds>(grown, m_settings.longestPause);
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(bound.count() / 2, bound.count())(m_random));
    }

    /// Entries that start together stand in line at the store for the whole list; who gives up early stands in line again.
    std::chrono::milliseconds patienceOf(const position &at) const
    {
        constexpr std::uint32_t kMostDoublings = 4;
        const auto grown = m_settings.shortPatience * (1U << std::min(at.failures, kMostDoublings));
        return std::min<std::chrono::milliseconds>(grown, m_settings.longPatience);
    }

    static asio::awaitable<void> followConfiguration(std::shared_ptr<impl> self)
    {
        position at;
        at.stream = store_stream::Configuration;
        while (!self->m_stopping) {
            bool isWhole = false;
            const std::chrono::milliseconds wait = self->m_closely ? self->m_settings.configWait : std::chrono::milliseconds(0);
            self->m_configOutdated = false;
            const keyed_page page = co_await self->readNext(at, wait, isWhole);
            for (const keyed_record &record : page.records) {
                co_await self->offerRoutes(record);
            }
            if (page.outcome == store_outcome::Unavailable) {
                co_await self->pause(self->pauseAfter(at));
            } else if (isWhole && self->m_version == 0) {
                // Nothing is published yet; the next read waits for it.
                co_await self->pause(self->m_settings.firstPause);
            } else if (page.outcome == store_outcome::Done && !self->m_closely && !self->m_configOutdated) {
                co_await self->rest(at.stream, self->seldomPause());
            }
        }
    }

    asio::awaitable<void> offerRoutes(const keyed_record &record)
    {
        last_reason reason;
        auto routes = m_store.decodeRoutes(record, &reason);
        if (!routes) {
            if (!reason.text().empty()) {
                log(log_level::Error, "config_unreadable", {{"key", record.key}, {"reason", reason.text()}});
            }
            co_return;
        }
        if (routes->version() <= m_version) {
            co_return;
        }
        m_version = routes->version();
        log(log_level::Info, "config_read", {{"version", std::to_string(m_version)}, {"routes", std::to_string(routes->size())}});
        relay_event event = routes_read{std::make_shared<const route_table>(std::move(*routes))};
        co_await m_toRelay.push(std::move(event));
    }

    static asio::awaitable<void> followRegistrations(std::shared_ptr<impl> self)
    {
        position at;
        at.stream = store_stream::Registrations;
        instant lastRead = coreNow();
        while (!self->m_stopping) {
            bool isWhole = false;
            if (coreNow() - lastRead > self->m_settings.historyWorthReading) {
                at.next.reset();
            }
            const keyed_page page = co_await self->readNext(at, std::chrono::milliseconds(0), isWhole);
            if (page.outcome == store_outcome::Done) {
                lastRead = coreNow();
                relay_event event = self->decode(page, isWhole);
                co_await self->m_toRelay.push(std::move(event));
                co_await self->rest(at.stream, self->m_closely ? self->m_settings.registrationInterval : self->seldomPause());
            } else if (page.outcome == store_outcome::Unavailable) {
                co_await self->pause(self->pauseAfter(at));
            }
        }
    }

    upstreams_reported decode(const keyed_page &page, bool isWhole)
    {
        // Only the newest record of each key counts.
        std::map<std::string, const keyed_record *> newest;
        for (const keyed_record &record : page.records) {
            newest[record.key] = &record;
        }
        upstreams_reported reported;
        reported.isWhole = isWhole;
        for (const auto &[key, record] : newest) {
            last_reason reason;
            auto report = record->value ? m_store.decodeRegistration(*record, &reason) : std::nullopt;
            if (report) {
                reported.reports.push_back(std::move(*report));
            } else if (record->value) {
                noteUnreadable(key, reason.text());
            } else {
                reported.removed.push_back(key);
            }
        }
        return reported;
    }

    /// Logs an entry that names no upstream, once for each key.
    void noteUnreadable(const std::string &key, const std::string &reason)
    {
        constexpr std::size_t kMostRemembered = 1024;
        if (m_unreadable.size() < kMostRemembered && m_unreadable.insert(key).second) {
            log(log_level::Warning, "registration_unreadable", {upstreamField(key), {"reason", reason}});
        }
    }

    static asio::awaitable<void> followEntries(std::shared_ptr<impl> self)
    {
        position at;
        at.stream = store_stream::Entries;
        bool published = false;
        while (!self->m_stopping) {
            if (!published) {
                keyed_record record{self->m_settings.entryName, self->m_settings.peerAddress};
                const store_outcome outcome = co_await self->m_store.append(store_stream::Entries, std::move(record));
                published = outcome == store_outcome::Done;
            }
            bool isWhole = false;
            const keyed_page page = co_await self->readNext(at, std::chrono::milliseconds(0), isWhole);
            if (page.outcome == store_outcome::Done) {
                co_await self->tellEntries(page);
            }
            if (page.outcome == store_outcome::Unavailable) {
                co_await self->pause(self->pauseAfter(at));
            } else if (page.outcome == store_outcome::Done) {
                co_await self->pause(published ? self->m_settings.entriesInterval : self->pauseAfter(at));
            }
        }
    }

    asio::awaitable<void> tellEntries(const keyed_page &page)
    {
        for (const keyed_record &record : page.records) {
            if (record.value) {
                m_entries[record.key] = *record.value;
            }
        }
        entry_addresses known;
        for (const auto &[name, address] : m_entries) {
            known.addresses.push_back(address);
        }
        member_event event = std::move(known);
        co_await m_toMembers.push(std::move(event));
    }

    static asio::awaitable<void> keepLease(std::shared_ptr<impl> self)
    {
        while (true) {
            if (self->m_leaseWanted) {
                co_await self->renewLease();
            } else if (self->m_isMember) {
                self->m_isMember = false;
                const lease_term before = self->m_lease.term();
                self->m_lease.onLeft();
                co_await self->tellLease(before);
                co_await self->m_store.leaveLease(self->m_settings.entryName);
            }
            co_await self->pause(self->m_settings.leaseInterval);
        }
    }

    asio::awaitable<void> renewLease()
    {
        lease_request request{m_settings.entryName, m_lease.settings().lifetime, m_lease.generation()};
        const std::int64_t sentAt = bootMilliseconds();
        const lease_answer answer = co_await m_store.joinLease(std::move(request));
        if (answer.outcome == store_outcome::Unavailable) {
            log(log_level::Warning, "lease_not_renewed", {{"reason", answer.reason}, {"generation", std::to_string(m_lease.generation())}});
            co_return;
        }
        m_isMember = m_isMember || answer.outcome == store_outcome::Done;
        const lease_term before = m_lease.term();
        m_lease.onAnswer(answer, sentAt, bootMilliseconds());
        co_await tellLease(before);
    }

    asio::awaitable<void> tellLease(lease_term before)
    {
        const lease_term &now = m_lease.term();
        const bool goesOn = now.heldSinceMs == before.heldSinceMs;
        if (now.holds != before.holds || (now.holds && (now.fencingToken != before.fencingToken || !goesOn))) {
            log(log_level::Info,
                now.holds ? "lease_held" : "lease_not_held",
                {{"generation", std::to_string(now.fencingToken)}, {"goes_on", now.holds && goesOn ? "true" : "false"}});
        }
        relay_event event = now;
        co_await m_toRelay.push(std::move(event));
    }

    void log(log_level level, std::string event, std::vector<log_field> fields) const
    {
        m_log({level, std::move(event), std::move(fields)});
    }

    asio::io_context &m_context;
    store_duty_settings m_settings;
    platform_store m_store;
    channel<relay_event> &m_toRelay;
    channel<member_event> &m_toMembers;
    std::function<void(log_line)> m_log;
    std::mt19937_64 m_random;
    instant m_lastAnswer{};
    bool m_reached = true;
    bool m_stopping = false;
    bool m_leaseWanted = false;
    bool m_closely = true;
    bool m_configOutdated = false;
    std::map<store_stream, asio::steady_timer *> m_resting; ///< Those that wait between two reads.
    bool m_isMember = false;
    std::uint64_t m_version = 0;
    lease_book m_lease = lease_book::make({});
    std::map<std::string, std::string> m_entries;
    std::set<std::string> m_unreadable;
};

store_duty::store_duty(asio::io_context &context,
                       store_duty_settings settings,
                       platform_store store,
                       channel<relay_event> &toRelay,
                       channel<member_event> &toMembers,
                       std::function<void(log_line)> log)
    : m_impl(std::make_shared<impl>(context, std::move(settings), std::move(store), toRelay, toMembers, std::move(log)))
{ }

store_duty::~store_duty() = default;

void store_duty::start()
{
    m_impl->start();
}

void store_duty::take(const store_event &event)
{
    m_impl->take(event);
}

} // namespace heatherroute::node
