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
#include <utility>

#include "heatherroute/request_quarantine.h"
#include "node/boot_clock.h"
#include "node/core_time.h"
#include "node/store_reads.h"
#include "node/version_summaries.h"
#include "relay/origin_record.h"
#include "relay/quarantine_record.h"
#include "relay/registration_changes.h"
#include "relay/store_era.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// After this many failures, the others still know by gossip, and the next restart of all entries at once forgets the quarantine.
constexpr std::uint32_t kMaxAppends = 60;
constexpr std::size_t kMaxInvalidTeamsLogged = 32; ///< Of one configuration.
constexpr std::size_t kMaxOriginPages = 64;
/// Only two entries write these records. What isn't written when all entries lose power is lost.
constexpr std::chrono::milliseconds kMaxOriginBackoff{200};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

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
        , m_reads(context, m_store, m_settings.readWatch, m_log)
        , m_summaries(m_store, m_log)
        , m_schedule(store_read_schedule::make(m_settings.reads, coreNow()))
        , m_random(std::random_device{}())
    { }

    void start()
    {
        m_lastAnswer = coreNow();
        asio::co_spawn(m_context, followConfiguration(shared_from_this()), asio::detached);
        asio::co_spawn(m_context, followRegistrations(shared_from_this()), asio::detached);
        asio::co_spawn(m_context, followEntries(shared_from_this()), asio::detached);
        asio::co_spawn(m_context, keepLease(shared_from_this()), asio::detached);
        readOrigins();
    }

    void handle(const store_event &event)
    {
        if (const auto *wanted = std::get_if<lease_wanted>(&event)) {
            m_leaseWanted = wanted->wanted;
        } else if (const auto *polling = std::get_if<store_polling_changed>(&event)) {
            onPollingChanged(*polling);
        } else if (std::holds_alternative<config_outdated>(event)) {
            scheduleConfigRead();
        } else if (const auto *newer = std::get_if<newer_era_seen>(&event)) {
            asio::co_spawn(m_context, onPeerEra(shared_from_this(), newer->era), asio::detached);
        } else if (const auto *crashes = std::get_if<crashes_to_record>(&event)) {
            appendToEntries(makeQuarantineRecord(quarantineKeyOf(m_settings.entryName), crashes->evidence, unixMilliseconds()));
        } else if (const auto *origins = std::get_if<origins_to_record>(&event)) {
            asio::co_spawn(m_context, appendOrigins(shared_from_this(), origins->record), asio::detached);
        } else if (std::holds_alternative<registrations_wanted>(event)) {
            m_registrationsWanted = true;
            if (m_reachable) {
                wake(store_stream::Registrations);
            }
        } else if (const auto *records = std::get_if<recorded_origins_wanted>(&event)) {
            m_versionsWanted = m_versionsWanted || records->withVersions;
            readOrigins();
        } else {
            m_leaseWanted = false;
            m_stopping = true;
        }
    }

private:
    void onPollingChanged(const store_polling_changed &polling)
    {
        const auto minRetryDelay = std::chrono::duration_cast<std::chrono::milliseconds>(polling.minRetryDelay);
        const bool mayRetrySooner = minRetryDelay < std::exchange(m_minRetryDelay, minRetryDelay);
        m_reads.setMinProbeInterval(minRetryDelay);
        if (polling.frequent == m_pollsFrequently) {
            if (mayRetrySooner && !m_reachable) {
                wake(store_stream::Registrations);
            }
            return;
        }
        m_pollsFrequently = polling.frequent;
        log(log_level::Info, m_pollsFrequently ? "store_polling_frequent" : "store_polling_infrequent", {});
        if (m_pollsFrequently) {
            // The configuration follows when this read has succeeded.
            wake(store_stream::Registrations);
        }
    }

    /// A reader of one stream of the store.
    struct stream_cursor
    {
        store_stream stream = store_stream::Configuration;
        stream_position position;
        std::uint32_t failures = 0; ///< Consecutive ones.
    };

    /// Reads the next records, or a snapshot of the newest ones when there is no offset to continue from. Sets @p isSnapshot accordingly.
    asio::awaitable<keyed_page> readNext(stream_cursor &cursor, std::chrono::milliseconds wait, bool &isSnapshot)
    {
        const std::optional<std::uint64_t> from = cursor.position.begin(m_era);
        isSnapshot = !from.has_value();
        const instant sentAt = coreNow();
        const std::uint32_t failuresBefore = cursor.failures;
        keyed_page page;
        if (isSnapshot) {
            page = co_await m_reads.readNewest(cursor.stream);
        } else {
            page = co_await m_reads.readFrom(cursor.stream, *from, wait);
        }
        cursor.failures = m_reads.failures(cursor.stream);
        if (page.outcome == store_outcome::Done) {
            co_await placeAnswer(cursor, page);
            cursor.failures = page.outcome == store_outcome::Unavailable ? failuresBefore + 1 : 0;
        }
        if (page.outcome == store_outcome::Done) {
            co_await noteReachable(cursor.stream);
        } else if (page.outcome == store_outcome::HistoryGone) {
            log(log_level::Info, "store_history_gone", {{"stream", toString(cursor.stream)}, {"from", std::to_string(from.value_or(0))}});
            cursor.position.reset();
        } else {
            co_await noteFailed(cursor, page.reason, coreNow() - sentAt);
        }
        co_return page;
    }

    /// Advances the position by an answer, unless its era shows that it doesn't fit.
    asio::awaitable<void> placeAnswer(stream_cursor &cursor, keyed_page &page)
    {
        const era_verdict verdict = co_await judgeEra(page.era);
        const read_verdict result = cursor.position.end(m_era, verdict, page.next);
        if (result == read_verdict::Discard) {
            page.outcome = store_outcome::Unavailable;
            page.reason = "the answer is of an older era";
        } else if (result == read_verdict::Reread) {
            page.outcome = store_outcome::HistoryGone;
        }
        if (result != read_verdict::Use) {
            page.records.clear();
        }
    }

    /// Judges the era of an answer and acts on a newer one.
    asio::awaitable<era_verdict> judgeEra(std::optional<std::uint64_t> era)
    {
        const std::uint64_t before = m_era.current();
        const era_verdict verdict = m_era.onAnswer(era);
        if (verdict == era_verdict::Older || verdict == era_verdict::Missing) {
            log(log_level::Warning, "store_answer_misplaced", {{"era", era ? std::to_string(*era) : "none"}, {"known", std::to_string(before)}});
        }
        co_await announceEra(before, verdict == era_verdict::Newer);
        co_return verdict;
    }

    asio::awaitable<void> announceEra(std::uint64_t before, bool isRestored)
    {
        if (m_era.current() == before) {
            co_return;
        }
        if (isRestored) {
            log(log_level::Warning, "store_restored", {{"era", std::to_string(m_era.current())}, {"before", std::to_string(before)}});
            m_published = false;
            m_originsRead = 0;
            const lease_term previous = m_lease.term();
            m_lease.onRestored();
            co_await sendLeaseTerm(previous);
            for (const store_stream stream : {store_stream::Configuration, store_stream::Registrations, store_stream::Entries}) {
                asio::co_spawn(m_context, wakeLater(shared_from_this(), stream), asio::detached);
            }
        }
        relay_event event = store_era_changed{m_era.current(), isRestored};
        co_await m_toRelay.push(std::move(event));
    }

    static asio::awaitable<void> onPeerEra(std::shared_ptr<impl> self, std::uint64_t era)
    {
        const std::uint64_t before = self->m_era.current();
        const era_verdict verdict = self->m_era.onPeer(era);
        co_await self->announceEra(before, verdict == era_verdict::Newer);
    }

    /// Ends the pause of a stream within a random time, so that the entries don't all read at once.
    static asio::awaitable<void> wakeLater(std::shared_ptr<impl> self, store_stream stream)
    {
        const std::int64_t maxDelay = self->m_settings.maxRestoredReadDelay.count();
        co_await self->pause(std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, maxDelay)(self->m_random)));
        self->wake(stream);
    }

    asio::awaitable<void> noteReachable(store_stream stream)
    {
        const duration silence = coreNow() - std::exchange(m_lastAnswer, coreNow());
        if (!m_reachable) {
            m_reachable = true;
            wake(store_stream::Configuration);
            log(log_level::Info, "store_regained", {{"stream", toString(stream)}, {"silent_ms", std::to_string(silence.count() / 1000)}});
            relay_event event = store_reachability{true};
            co_await m_toRelay.push(std::move(event));
        }
    }

    asio::awaitable<append_answer> append(store_stream stream, keyed_record record)
    {
        const instant sentAt = coreNow();
        append_answer answer = co_await m_store.append(stream, std::move(record));
        if (answer.outcome == store_outcome::Done) {
            m_reads.noteAnswer(sentAt);
        }
        co_return answer;
    }

    asio::awaitable<void> noteFailed(const stream_cursor &cursor, const std::string &reason, duration waited)
    {
        log(log_level::Info,
            "store_read_failed",
            {{"stream", toString(cursor.stream)},
             {"reason", reason},
             {"waited_ms", std::to_string(waited.count() / 1000)},
             {"failures", std::to_string(cursor.failures)}});
        const duration silence = coreNow() - m_lastAnswer;
        if (m_reachable && silence >= m_settings.lostAfter) {
            m_reachable = false;
            log(log_level::Warning,
                "store_lost",
                {{"stream", toString(cursor.stream)}, {"reason", reason}, {"silent_ms", std::to_string(silence.count() / 1000)}});
            relay_event event = store_reachability{false};
            co_await m_toRelay.push(std::move(event));
        }
    }

    asio::awaitable<void> pause(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Waits for @p time. wake() ends the wait early when this entry has to read the store itself or its configuration is outdated. Returns
    /// whether it did.
    asio::awaitable<bool> pauseUntilWoken(store_stream stream, std::chrono::milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        m_pausedReads[stream] = &timer;
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        m_pausedReads.erase(stream);
        co_return error == asio::error::operation_aborted;
    }

    /// Schedules a read of the configuration, unless one is already scheduled.
    void scheduleConfigRead()
    {
        if (m_configOutdated) {
            return;
        }
        m_configOutdated = true;
        asio::co_spawn(m_context, readOutdated(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> readOutdated(std::shared_ptr<impl> self)
    {
        const std::int64_t maxDelay = self->m_settings.maxOutdatedReadDelay.count();
        co_await self->pause(std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(maxDelay / 2, maxDelay)(self->m_random)));
        self->wake(store_stream::Configuration);
    }

    void wake(store_stream stream)
    {
        if (const auto paused = m_pausedReads.find(stream); paused != m_pausedReads.end()) {
            paused->second->cancel();
        }
    }

    /// Returns the delay after a failed read, see store_read_schedule::retryDelay().
    std::chrono::milliseconds backoffDelay(const stream_cursor &cursor, std::chrono::milliseconds minDelay = std::chrono::milliseconds(0))
    {
        return m_schedule.retryDelay(cursor.failures, minDelay, m_random);
    }

    static asio::awaitable<void> followConfiguration(std::shared_ptr<impl> self)
    {
        stream_cursor cursor;
        cursor.stream = store_stream::Configuration;
        while (!self->m_stopping) {
            bool isSnapshot = false;
            // A store that was lost may have lost this read as well, which would be noticed only after the wait.
            const bool waits = (self->m_pollsFrequently || self->m_configVersion == 0) && self->m_reachable;
            const std::chrono::milliseconds wait = waits ? self->m_settings.configWait : std::chrono::milliseconds(0);
            const bool isOutdated = std::exchange(self->m_configOutdated, false);
            const std::int64_t askedAtMs = bootMilliseconds();
            const keyed_page page = co_await self->readNext(cursor, wait, isSnapshot);
            for (const keyed_record &record : page.records) {
                co_await self->applyConfigRecord(record);
            }
            const bool isAtEnd = isSnapshot || page.next >= page.end;
            if (page.outcome == store_outcome::Done && self->m_configVersion > 0 && isAtEnd && cursor.position.isKnown()) {
                relay_event event = config_confirmed{self->m_configVersion, askedAtMs};
                co_await self->m_toRelay.push(std::move(event));
            }
            if (page.outcome == store_outcome::Unavailable && (isOutdated || self->m_configOutdated)) {
                // Others can read the store, so this entry alone must find out when it can, too.
                self->m_configOutdated = true;
                co_await self->pause(self->backoffDelay(cursor, std::chrono::milliseconds(0)));
            } else if (page.outcome == store_outcome::Unavailable && self->m_configVersion > 0 && !self->m_reachable) {
                // The registrations are tried more often, and end this pause when they can be read.
                constexpr int kBackoffFactor = 4;
                co_await self->pauseUntilWoken(cursor.stream, kBackoffFactor * self->backoffDelay(cursor, self->m_minRetryDelay));
            } else if (page.outcome == store_outcome::Unavailable) {
                co_await self->pause(self->backoffDelay(cursor, self->m_minRetryDelay));
            } else if (page.outcome == store_outcome::Done && !cursor.position.isKnown()) {
                // Without a position, the next read is a snapshot again, which doesn't wait at the store.
                co_await self->pause(self->m_settings.configWait);
            } else if (isSnapshot && self->m_configVersion == 0) {
                // No configuration has been published yet; the next read waits for one.
                co_await self->pause(self->m_settings.reads.minBackoff);
            } else if (page.outcome == store_outcome::Done && self->m_configVersion > 0 && !self->m_pollsFrequently && !self->m_configOutdated) {
                co_await self->pauseUntilWoken(cursor.stream, self->m_schedule.infrequentDelay(self->m_random));
            }
        }
    }

    asio::awaitable<void> applyConfigRecord(const keyed_record &record)
    {
        last_reason reason;
        std::vector<invalid_team> invalidTeams;
        auto routes = m_store.decodeRoutes(record, &reason, &invalidTeams);
        if (!routes) {
            if (!reason.text().empty()) {
                log(log_level::Error, "config_unreadable", {{"key", record.key}, {"reason", reason.text()}});
            }
            co_return;
        }
        if (routes->version() <= m_configVersion) {
            co_return;
        }
        m_configVersion = routes->version();
        log(log_level::Info, "config_read", {{"version", std::to_string(m_configVersion)}, {"routes", std::to_string(routes->size())}});
        invalidTeams.resize(std::min(invalidTeams.size(), kMaxInvalidTeamsLogged));
        for (const invalid_team &left : invalidTeams) {
            log(log_level::Error, "team_invalid", {{"version", std::to_string(m_configVersion)}, {"team", left.name}, {"reason", left.reason}});
        }
        relay_event event = routes_read{std::make_shared<const route_table>(std::move(*routes))};
        co_await m_toRelay.push(std::move(event));
    }

    static asio::awaitable<void> followRegistrations(std::shared_ptr<impl> self)
    {
        stream_cursor cursor;
        cursor.stream = store_stream::Registrations;
        instant lastRead = coreNow();
        while (!self->m_stopping) {
            bool isSnapshot = false;
            if (coreNow() - lastRead > self->m_settings.maxHistoryAge) {
                cursor.position.reset();
            }
            self->m_registrationsWanted = false;
            const instant begunAt = coreNow();
            const keyed_page page = co_await self->readNext(cursor, std::chrono::milliseconds(0), isSnapshot);
            if (page.outcome == store_outcome::Done) {
                lastRead = coreNow();
                upstreams_reported reported = self->decode(page, isSnapshot);
                reported.readBegunAt = begunAt;
                if (cursor.position.isKnown()) {
                    reported.position = registrations_position{self->m_era.current(), cursor.position.offset()};
                }
                relay_event event = std::move(reported);
                co_await self->m_toRelay.push(std::move(event));
                if (self->m_pollsFrequently) {
                    self->wake(store_stream::Configuration);
                }
                if (self->m_registrationsWanted) {
                    continue;
                }
                const bool wasFrequent = self->m_pollsFrequently;
                self->m_schedule.noteRead();
                const auto interval = self->m_schedule.frequentDelay(coreNow());
                const auto rest = self->m_schedule.infrequentUpstreamsDelay(self->m_random);
                const bool isWoken = co_await self->pauseUntilWoken(cursor.stream, wasFrequent ? interval : rest);
                if (!isWoken && wasFrequent && !self->m_pollsFrequently) {
                    co_await self->pauseUntilWoken(cursor.stream, rest);
                }
            } else if (page.outcome == store_outcome::Unavailable) {
                co_await self->pauseUntilWoken(cursor.stream, self->backoffDelay(cursor, self->m_minRetryDelay));
            }
        }
    }

    upstreams_reported decode(const keyed_page &page, bool isSnapshot)
    {
        registration_changes changes = changesIn(page.records, m_store.decodeRegistration);
        upstreams_reported reported;
        reported.isSnapshot = isSnapshot;
        reported.reports = std::move(changes.reports);
        reported.removed = std::move(changes.removed);
        for (const auto &[key, reason] : changes.unreadable) {
            reported.unreadable.push_back(key);
            logUnreadableRegistration(key, reason);
        }
        return reported;
    }

    /// Logs a record that isn't a valid registration, once per key.
    void logUnreadableRegistration(const std::string &key, const std::string &reason)
    {
        constexpr std::size_t kMaxRememberedKeys = 1024;
        if (m_unreadableKeys.size() < kMaxRememberedKeys && m_unreadableKeys.insert(key).second) {
            log(log_level::Warning, "registration_unreadable", {upstreamField(key), {"reason", reason}});
        }
    }

    static asio::awaitable<void> followEntries(std::shared_ptr<impl> self)
    {
        stream_cursor cursor;
        cursor.stream = store_stream::Entries;
        while (!self->m_stopping) {
            if (!self->m_published) {
                keyed_record record{self->m_settings.entryName, self->m_settings.peerAddress};
                const append_answer answer = co_await self->append(store_stream::Entries, std::move(record));
                const bool done = answer.outcome == store_outcome::Done;
                era_verdict verdict = era_verdict::Current;
                if (done) {
                    verdict = co_await self->judgeEra(answer.era);
                }
                self->m_published = done && verdict != era_verdict::Older;
            }
            bool isSnapshot = false;
            const keyed_page page = co_await self->readNext(cursor, std::chrono::milliseconds(0), isSnapshot);
            if (page.outcome == store_outcome::Done) {
                co_await self->sendEntryAddresses(page);
                co_await self->sendQuarantines(page, isSnapshot);
            }
            if (page.outcome == store_outcome::Unavailable) {
                co_await self->pause(self->backoffDelay(cursor));
            } else if (page.outcome == store_outcome::Done) {
                co_await self->pauseUntilWoken(cursor.stream, self->m_published ? self->m_schedule.infrequentInterval() : self->backoffDelay(cursor));
            }
        }
    }

    asio::awaitable<void> sendEntryAddresses(const keyed_page &page)
    {
        for (const keyed_record &record : page.records) {
            if (record.value && !isQuarantineKey(record.key)) {
                m_entryAddresses[record.key] = *record.value;
            }
        }
        m_schedule.setEntries(m_entryAddresses.size());
        entry_addresses known;
        for (const auto &[name, address] : m_entryAddresses) {
            known.addresses.push_back(address);
        }
        relay_event recorded = recorded_entries_read{known.addresses.size()};
        member_event event = std::move(known);
        co_await m_toMembers.push(std::move(event));
        co_await m_toRelay.push(std::move(recorded));
    }

    /// Appends @p record to the entries' stream, in place of an earlier one of its key that hasn't been appended yet.
    void appendToEntries(keyed_record record)
    {
        const bool isAppending = m_entriesRecords.contains(record.key);
        const std::string key = record.key;
        m_entriesRecords.insert_or_assign(key, std::move(record));
        if (!isAppending) {
            asio::co_spawn(m_context, appendEntriesRecord(shared_from_this(), key), asio::detached);
        }
    }

    /// Appends the newest record of @p key; tries again while the store is unavailable. A stopping entry does so, too: it observes crashes and
    /// answers until its last request has ended.
    static asio::awaitable<void> appendEntriesRecord(std::shared_ptr<impl> self, std::string key)
    {
        stream_cursor cursor;
        cursor.stream = store_stream::Entries;
        while (cursor.failures < kMaxAppends) {
            keyed_record record = self->m_entriesRecords.at(key);
            const append_answer answer = co_await self->append(store_stream::Entries, record);
            if (answer.outcome != store_outcome::Done) {
                cursor.failures += 1;
                co_await self->pause(self->backoffDelay(cursor));
            } else if (self->m_entriesRecords.at(key) == record) {
                self->m_entriesRecords.erase(key);
                co_return;
            }
        }
        self->m_entriesRecords.erase(key);
        self->log(log_level::Warning, "quarantine_not_recorded", {{"key", key}, {"failures", std::to_string(cursor.failures)}});
    }

    /// Appends @p record to the origins' stream, also while this entry stops; tries again while the store is unavailable.
    static asio::awaitable<void> appendOrigins(std::shared_ptr<impl> self, std::string record)
    {
        stream_cursor cursor;
        cursor.stream = store_stream::Origins;
        const instant begunAt = coreNow();
        while (true) {
            keyed_record keyed{self->m_settings.entryName, record};
            const append_answer answer = co_await self->append(store_stream::Origins, std::move(keyed));
            if (answer.outcome == store_outcome::Done) {
                break;
            }
            if (cursor.failures++ == 0) {
                self->log(log_level::Warning, "stream_origins_not_recorded", {});
            }
            co_await self->pause(std::min(self->backoffDelay(cursor), kMaxOriginBackoff));
        }
        self->log(log_level::Debug, "stream_origins_recorded", {{"took_ms", std::to_string((coreNow() - begunAt).count() / 1000)}});
        relay_event event = origins_recorded{};
        co_await self->m_toRelay.push(std::move(event));
    }

    void readOrigins()
    {
        if (!std::exchange(m_isReadingOrigins, true)) {
            asio::co_spawn(m_context, readOriginRecords(shared_from_this()), asio::detached);
        }
    }

    /// Reads the records of origins that were appended since the last time, and tells the relay when there are no more.
    static asio::awaitable<void> readOriginRecords(std::shared_ptr<impl> self)
    {
        bool isEnd = false;
        for (std::size_t pages = 0; pages < kMaxOriginPages && !isEnd && !self->m_stopping; ++pages) {
            const std::uint64_t from = self->m_originsRead;
            keyed_page page = co_await self->m_reads.readFrom(store_stream::Origins, from, std::chrono::milliseconds(0));
            era_verdict verdict = era_verdict::Current;
            if (page.outcome != store_outcome::Unavailable) {
                verdict = co_await self->judgeEra(page.era);
            }
            if (verdict == era_verdict::Newer || self->m_originsRead != from) {
                continue; // The offset belonged to another era.
            }
            if (page.outcome == store_outcome::HistoryGone && page.next != from) {
                self->m_originsRead = page.next;
                continue;
            }
            isEnd = true;
            if (page.outcome == store_outcome::Done && verdict == era_verdict::Current) {
                self->m_originsRead = page.next;
                isEnd = page.next >= page.end || page.next == from;
                recorded_origins_read read = self->decodeOrigins(page);
                self->m_summaries.note(page, self->m_era.current(), coreNow());
                self->log(log_level::Info,
                          "stream_origins_read",
                          {{"records", std::to_string(page.records.size())}, {"streams", std::to_string(read.origins.size())}});
                relay_event event = std::move(read);
                co_await self->m_toRelay.push(std::move(event));
            } else {
                self->log(log_level::Warning, "stream_origins_not_read", {{"reason", page.reason}, {"era", toString(verdict)}});
            }
        }
        if (std::exchange(self->m_versionsWanted, false)) {
            std::optional<recorded_versions_read> versions = co_await self->m_summaries.complete();
            if (versions) {
                relay_event event = std::move(*versions);
                co_await self->m_toRelay.push(std::move(event));
            }
        }
        self->m_isReadingOrigins = false;
        relay_event event = recorded_origins_read{{}, true};
        co_await self->m_toRelay.push(std::move(event));
    }

    recorded_origins_read decodeOrigins(const keyed_page &page) const
    {
        recorded_origins_read read;
        for (const keyed_record &record : page.records) {
            last_reason reason;
            const auto origins = readOriginRecord(record.value.value_or(""), &reason);
            if (origins) {
                read.origins.insert(read.origins.end(), origins->begin(), origins->end());
            } else {
                log(log_level::Warning, "stream_origins_unreadable", {{"key", record.key}, {"reason", reason.text()}});
            }
        }
        return read;
    }

    /// Passes the recorded quarantines on to the relay. Expired records are deleted by entries that start.
    asio::awaitable<void> sendQuarantines(const keyed_page &page, bool isSnapshot)
    {
        for (const keyed_record &record : page.records) {
            if (!record.value || !isQuarantineKey(record.key)) {
                continue;
            }
            last_reason reason;
            const auto evidence = readQuarantineRecord(record, unixMilliseconds(), &reason);
            if (!evidence) {
                log(log_level::Warning, "quarantine_unreadable", {{"key", record.key}, {"reason", reason.text()}});
            } else if (!isExpired(*evidence, quarantine_settings{}.retention)) {
                // This entry's later records hold nothing that it doesn't know.
                const bool isOwn = record.key == quarantineKeyOf(m_settings.entryName);
                if (!isOwn || !m_ownRecordRead) {
                    relay_event event = recorded_crashes_read{*evidence, isOwn};
                    co_await m_toRelay.push(std::move(event));
                }
            } else if (isSnapshot) {
                appendToEntries({record.key, std::nullopt});
            }
        }
        m_ownRecordRead = true;
    }

    static asio::awaitable<void> keepLease(std::shared_ptr<impl> self)
    {
        while (true) {
            if (self->m_leaseWanted) {
                co_await self->renewLease();
            } else if (self->m_inLeaseGroup) {
                self->m_inLeaseGroup = false;
                const lease_term previous = self->m_lease.term();
                self->m_lease.onReleased();
                co_await self->sendLeaseTerm(previous);
                co_await self->m_store.leaveLease(self->m_settings.entryName);
            }
            co_await self->pause(self->m_settings.leaseInterval);
        }
    }

    asio::awaitable<void> renewLease()
    {
        lease_request request{m_settings.entryName, m_lease.settings().lifetime, m_lease.generation()};
        const std::int64_t sentAt = bootMilliseconds();
        const instant sentInstant = coreNow();
        lease_answer answer = co_await m_store.joinLease(std::move(request));
        if (answer.outcome == store_outcome::Done) {
            m_reads.noteAnswer(sentInstant);
        }
        era_verdict verdict = era_verdict::Current;
        if (answer.outcome != store_outcome::Unavailable) {
            verdict = co_await judgeEra(answer.era);
        }
        if (verdict == era_verdict::Older || verdict == era_verdict::Missing) {
            answer.outcome = store_outcome::Unavailable;
            answer.reason = std::string("the answer's era is ") + toString(verdict);
        }
        if (answer.outcome == store_outcome::Unavailable) {
            log(log_level::Warning, "lease_not_renewed", {{"reason", answer.reason}, {"generation", std::to_string(m_lease.generation())}});
            co_return;
        }
        m_inLeaseGroup = m_inLeaseGroup || answer.outcome == store_outcome::Done;
        const lease_term previous = m_lease.term();
        m_lease.onAnswer(answer, sentAt, bootMilliseconds());
        co_await sendLeaseTerm(previous);
    }

    asio::awaitable<void> sendLeaseTerm(lease_term previous)
    {
        const lease_term &now = m_lease.term();
        const bool isContinued = now.heldSinceMs == previous.heldSinceMs;
        if (now.holds != previous.holds || (now.holds && (now.fencingToken != previous.fencingToken || !isContinued))) {
            log(log_level::Info,
                now.holds ? "lease_held" : "lease_not_held",
                {{"generation", std::to_string(now.fencingToken)}, {"continued", now.holds && isContinued ? "true" : "false"}});
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
    store_reads m_reads;
    version_summaries m_summaries;
    store_read_schedule m_schedule;
    std::mt19937_64 m_random;
    instant m_lastAnswer{};
    bool m_reachable = true;
    bool m_stopping = false;
    bool m_leaseWanted = false;
    bool m_registrationsWanted = false; ///< Since the last read of the registrations began.
    bool m_pollsFrequently = false;
    std::chrono::milliseconds m_minRetryDelay{0};
    bool m_configOutdated = false;
    std::map<store_stream, asio::steady_timer *> m_pausedReads; ///< Timers of the streams that wait between two reads.
    bool m_inLeaseGroup = false;
    bool m_ownRecordRead = false; ///< The record of crashes that this entry wrote before it restarted, if there is one.
    bool m_published = false; ///< Whether the store holds this entry's address, as far as is known.
    store_era m_era = store_era::make();
    std::uint64_t m_configVersion = 0;
    lease_tracker m_lease = lease_tracker::make({});
    std::map<std::string, std::string> m_entryAddresses;
    std::map<std::string, keyed_record> m_entriesRecords; ///< Records that aren't appended yet, by key.
    std::set<std::string> m_unreadableKeys;
    std::uint64_t m_originsRead = 0; ///< The offset up to which the records of origins were read.
    bool m_isReadingOrigins = false;
    bool m_versionsWanted = false; ///< Since the last read of the records ended.
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

void store_duty::handle(const store_event &event)
{
    m_impl->handle(event);
}

} // namespace heatherroute::node
