#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "relay/config_currency.h"

using namespace heatherroute;

namespace
{

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kTickMs = 100;
constexpr std::int64_t kRunMs = 30'000;
constexpr std::int64_t kRevokeMs = 5'000;
constexpr std::int64_t kUsableMs = 4'000; ///< After which an unconfirmed configuration must not be used.
constexpr std::int64_t kReadTimeoutMs = 1'500;
constexpr std::int64_t kPollWaitMs = 1'000;
constexpr std::int64_t kAnnounceMs = 500;
constexpr std::size_t kEntries = 5;

instant at(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

/// Rates of the injected faults, per thousand steps or messages.
struct fault_rates
{
    int freezes = 0; ///< Of each entry; messages wait in its socket buffers meanwhile.
    int lostMessages = 0;
    int lostReads = 0; ///< Of the store.
    int repeatedMessages = 0;
    int lateMessages = 0; ///< By seconds.
    int storeCuts = 0; ///< Of each entry.
    int publications = 0;
    int linkCuts = 0; ///< Of each entry from all others.
};

/// A request that was sent to an upstream.
struct sent_request
{
    std::int64_t atMs = 0;
    std::uint64_t version = 0; ///< Of the configuration by which its key is known.
};

/// Entries that follow a store by long polls, or by asking each other, and send requests whenever they may.
class currency_simulation
{
public:
    currency_simulation(const fault_rates &rates, std::uint64_t seed, std::size_t readers, std::int64_t revokeMs = kRevokeMs)
        : m_rates(rates)
        , m_random(seed)
    {
        for (std::size_t index = 0; index < kEntries; ++index) {
            config_currency_settings settings;
            settings.revokeTime = std::chrono::milliseconds(revokeMs);
            entry one{config_currency::make(settings, m_random())};
            one.reads = index >= kEntries - readers;
            one.currency.setReadsStore(one.reads);
            std::vector<std::string> others;
            for (std::size_t other = 0; other < kEntries; ++other) {
                if (other != index) {
                    others.push_back(std::to_string(other));
                }
            }
            one.currency.setMembers(std::move(others));
            m_entries.push_back(std::move(one));
        }
        m_publishedAt = {0, 0};
    }

    /// Keeps entry @p index from the store after its first read.
    void cutForGood(std::size_t index)
    {
        m_entries[index].isCutForGood = true;
    }

    void run()
    {
        for (m_now = 0; m_now < kRunMs; m_now += kStepMs) {
            if (happens(m_rates.publications)) {
                m_publishedAt.push_back(m_now);
            }
            for (std::size_t index = 0; index < kEntries; ++index) {
                injectFaults(m_entries[index]);
                if (m_now >= m_entries[index].frozenUntil) {
                    step(index);
                }
            }
        }
    }

    /// Returns how a request was sent too late after the store acknowledged a newer configuration; empty when none was.
    std::string violation() const
    {
        for (const sent_request &sent : m_sent) {
            if (sent.version + 1 < m_publishedAt.size() && sent.atMs > m_publishedAt[sent.version + 1] + kUsableMs) {
                return "sent at " + std::to_string(sent.atMs) + " ms by version " + std::to_string(sent.version) + ", which was replaced at "
                       + std::to_string(m_publishedAt[sent.version + 1]) + " ms";
            }
        }
        return {};
    }

    /// When entry @p index could send first; empty when it never could.
    std::optional<std::int64_t> servedFrom(std::size_t index) const
    {
        return m_entries[index].servedFrom;
    }
    /// The steps after that in which it could not send.
    std::size_t unservedSteps(std::size_t index) const
    {
        return m_entries[index].unserved;
    }
    /// The queries that entry @p index has sent.
    std::size_t queries(std::size_t index) const
    {
        return m_entries[index].queries;
    }

private:
    using message = std::variant<config_currency_query, config_currency_reply, std::uint64_t>; ///< A number is a version that a reader announces.

    struct delivery
    {
        std::int64_t atMs = 0;
        std::size_t from = 0;
        message body;
    };

    struct pending_read
    {
        std::int64_t askedAtMs = 0;
        std::int64_t answeredAtMs = 0; ///< When the store looks, at the latest.
        std::int64_t arrivesAtMs = 0;
        bool isLost = false;
        std::optional<std::uint64_t> answer;
    };

    struct entry
    {
        config_currency currency;
        bool reads = false;
        bool isCutForGood = false;
        std::uint64_t applied = 0;
        std::int64_t frozenUntil = 0;
        std::int64_t storeCutUntil = 0;
        std::int64_t linkCutUntil = 0;
        std::int64_t nextReadAt = 0;
        std::int64_t nextTickAt = 0;
        std::int64_t nextAnnouncementAt = 0;
        std::optional<pending_read> read = {};
        std::vector<delivery> inbox = {};
        std::optional<std::int64_t> servedFrom = {};
        std::size_t unserved = 0;
        std::size_t queries = 0;
    };

    bool happens(int perThousand)
    {
        return randomBetween(0, 999) < perThousand;
    }

    std::int64_t randomBetween(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }

    std::uint64_t newest() const
    {
        return m_publishedAt.size() - 1;
    }

    void injectFaults(entry &self)
    {
        if (happens(m_rates.freezes)) {
            self.frozenUntil = m_now + randomBetween(50, 12'000);
        }
        if (happens(m_rates.storeCuts)) {
            self.storeCutUntil = m_now + randomBetween(500, 10'000);
        }
        if (happens(m_rates.linkCuts)) {
            self.linkCutUntil = m_now + randomBetween(500, 10'000);
        }
        // The store answers by itself, also while the entry is frozen.
        if (self.read && !self.read->answer) {
            const bool hasNews = newest() > self.applied && m_now >= self.read->askedAtMs + kStepMs;
            if (hasNews || m_now >= self.read->answeredAtMs) {
                self.read->answer = newest();
                self.read->arrivesAtMs = m_now + randomBetween(kStepMs, 300);
            }
        }
    }

    void send(std::size_t from, std::size_t to, const message &body)
    {
        const int copies = happens(m_rates.lostMessages) ? 0 : (happens(m_rates.repeatedMessages) ? 2 : 1);
        const bool isCut = m_now < m_entries[from].linkCutUntil || m_now < m_entries[to].linkCutUntil;
        for (int copy = 0; copy < copies && !isCut; ++copy) {
            const std::int64_t delay = happens(m_rates.lateMessages) || copy > 0 ? randomBetween(20, 15'000) : randomBetween(0, 2) * kStepMs;
            m_entries[to].inbox.push_back({m_now + delay, from, body});
        }
    }

    void step(std::size_t index)
    {
        entry &self = m_entries[index];
        // After a suspension, a request may be sent before anything that has arrived meanwhile is read.
        if (self.applied > 0 && self.currency.isCurrent(at(m_now))) {
            m_sent.push_back({m_now, self.applied});
        }
        readInbox(index);
        readStore(self);
        if (m_now >= self.nextTickAt && self.applied > 0) {
            self.nextTickAt = m_now + kTickMs;
            if (const auto due = self.currency.dueQuery(at(m_now))) {
                self.queries += 1;
                send(index, std::stoul(due->peerAddress), due->query);
            }
        }
        if (self.reads && self.applied > 0 && m_now >= self.nextAnnouncementAt) {
            self.nextAnnouncementAt = m_now + kAnnounceMs;
            for (std::size_t other = 0; other < kEntries; ++other) {
                if (other != index) {
                    send(index, other, self.applied);
                }
            }
        }
        if (self.applied > 0 && self.currency.isCurrent(at(m_now))) {
            m_sent.push_back({m_now, self.applied});
            self.servedFrom = self.servedFrom.value_or(m_now);
        } else if (self.servedFrom) {
            self.unserved += 1;
        }
    }

    void readInbox(std::size_t index)
    {
        entry &self = m_entries[index];
        std::vector<delivery> arrived;
        for (const delivery &one : self.inbox) {
            if (one.atMs <= m_now) {
                arrived.push_back(one);
            }
        }
        std::erase_if(self.inbox, [this](const delivery &one) { return one.atMs <= m_now; });
        std::shuffle(arrived.begin(), arrived.end(), m_random);
        for (const delivery &one : arrived) {
            const std::string from = std::to_string(one.from);
            if (const auto *query = std::get_if<config_currency_query>(&one.body)) {
                if (const auto reply = self.currency.onQuery(at(m_now), *query)) {
                    send(index, one.from, *reply);
                }
            } else if (const auto *reply = std::get_if<config_currency_reply>(&one.body)) {
                if (self.currency.onReply(*reply) == currency_result::Outdated) {
                    self.nextReadAt = std::min(self.nextReadAt, m_now);
                }
            } else {
                self.currency.noteSeen(std::get<std::uint64_t>(one.body));
                self.currency.noteReader(at(m_now), from);
                if (std::get<std::uint64_t>(one.body) > self.applied) {
                    self.nextReadAt = std::min(self.nextReadAt, m_now);
                }
            }
        }
    }

    void readStore(entry &self)
    {
        if (self.read) {
            pending_read &read = *self.read;
            const bool hasArrived = read.answer && !read.isLost && m_now >= read.arrivesAtMs;
            if (hasArrived) {
                self.applied = std::max(self.applied, *read.answer);
                self.currency.noteApplied(self.applied);
                self.currency.noteRead(self.applied, at(read.askedAtMs));
                self.nextReadAt = m_now + (self.reads ? 0 : randomBetween(5'000, 20'000));
                self.read.reset();
            } else if (m_now >= read.askedAtMs + kPollWaitMs + kReadTimeoutMs) {
                self.nextReadAt = m_now + randomBetween(100, 1'000);
                self.read.reset();
            }
        }
        if (!self.read && m_now >= self.nextReadAt) {
            pending_read read;
            read.askedAtMs = m_now;
            const bool isPoll = self.reads || self.applied == 0;
            read.answeredAtMs = m_now + (isPoll && self.applied > 0 ? kPollWaitMs : kStepMs);
            read.isLost = m_now < self.storeCutUntil || (self.isCutForGood && self.applied > 0) || happens(m_rates.lostReads);
            self.read = read;
        }
    }

    fault_rates m_rates;
    std::mt19937_64 m_random;
    std::vector<entry> m_entries;
    std::vector<std::int64_t> m_publishedAt; ///< By version; the first one is unused.
    std::vector<sent_request> m_sent;
    std::int64_t m_now = 0;
};

fault_rates arbitraryRates()
{
    fault_rates rates;
    rates.freezes = *rc::gen::inRange(0, 6);
    rates.lostMessages = *rc::gen::inRange(0, 500);
    rates.lostReads = *rc::gen::inRange(0, 500);
    rates.repeatedMessages = *rc::gen::inRange(0, 300);
    rates.lateMessages = *rc::gen::inRange(0, 300);
    rates.storeCuts = *rc::gen::inRange(0, 4);
    rates.linkCuts = *rc::gen::inRange(0, 4);
    rates.publications = *rc::gen::inRange(0, 8);
    return rates;
}

} // namespace

// Guards against a request by a removed key later than the bound: with entries that are suspended while messages wait for them, lost, late and
// repeated messages, and entries without the store or without each other.
RC_GTEST_PROP(ConfigCurrencyState, NothingIsSentByAnOldConfigurationAfterTheBound, ())
{
    const fault_rates rates = arbitraryRates();
    const auto readers = *rc::gen::inRange<std::size_t>(0, kEntries + 1);
    currency_simulation simulation(rates, *rc::gen::arbitrary<std::uint64_t>(), readers);
    simulation.run();
    RC_LOG() << simulation.violation();
    RC_ASSERT(simulation.violation().empty());
}

// Guards against a bound that is kept by refusing everything: an entry that has lost only the store goes on while another one reads it.
// The readers' reads aren't lost here: two lost polls in a row take longer than the bound, and then nobody knows the newest configuration.
RC_GTEST_PROP(ConfigCurrencyState, AnEntryWithoutTheStoreStaysCurrentWhileAnotherOneReads, ())
{
    fault_rates rates;
    rates.lostMessages = *rc::gen::inRange(0, 20);
    rates.repeatedMessages = *rc::gen::inRange(0, 300);
    currency_simulation simulation(rates, *rc::gen::arbitrary<std::uint64_t>(), 2);
    simulation.cutForGood(0);
    simulation.run();
    RC_LOG() << simulation.unservedSteps(0) << " steps unserved";
    RC_ASSERT(simulation.servedFrom(0).has_value());
    RC_ASSERT(simulation.unservedSteps(0) == 0U);
    // Once a second, and again after a lost message.
    RC_ASSERT(simulation.queries(0) < 45U);
}

// Guards against a check that finds nothing.
TEST(ConfigCurrencyState, TheCheckFindsSendsAfterTheBound)
{
    constexpr std::int64_t kTooLongMs = 60'000;
    fault_rates rates;
    rates.publications = 2;
    rates.freezes = 6;
    currency_simulation simulation(rates, 1, 2, kTooLongMs);
    simulation.cutForGood(0);
    simulation.run();
    EXPECT_NE(simulation.violation(), "");
}

// Guards against a check that passes because nothing is ever sent.
TEST(ConfigCurrencyState, EntriesWithoutFaultsAlwaysSend)
{
    currency_simulation simulation({}, 1, 2);
    simulation.run();
    for (std::size_t index = 0; index < kEntries; ++index) {
        EXPECT_LT(simulation.servedFrom(index).value_or(kRunMs), 1'000) << index;
        EXPECT_EQ(simulation.unservedSteps(index), 0U) << index;
    }
    EXPECT_EQ(simulation.violation(), "");
}

namespace
{

constexpr std::uint64_t kSeed = 7;

config_currency makeCurrency(std::int64_t revokeMs = kRevokeMs)
{
    config_currency_settings settings;
    settings.revokeTime = std::chrono::milliseconds(revokeMs);
    config_currency currency = config_currency::make(settings, kSeed);
    currency.setMembers({"a", "b"});
    return currency;
}

} // namespace

// Guards against deployments without a bound that refuse requests or send queries.
TEST(ConfigCurrency, WithoutABoundEverythingIsCurrentAndNobodyIsAsked)
{
    config_currency currency = makeCurrency(0);
    currency.noteApplied(3);
    EXPECT_TRUE(currency.isCurrent(at(1'000'000)));
    EXPECT_EQ(currency.dueQuery(at(1'000'000)), std::nullopt);
}

// Guards against an age that counts from an answer's arrival, or that never ends.
TEST(ConfigCurrency, AReadConfirmsFromWhenItWasSent)
{
    config_currency currency = makeCurrency();
    EXPECT_FALSE(currency.isCurrent(at(0)));
    currency.noteApplied(3);
    EXPECT_FALSE(currency.isCurrent(at(0)));
    currency.noteRead(3, at(10'000));
    EXPECT_TRUE(currency.isCurrent(at(14'000)));
    EXPECT_FALSE(currency.isCurrent(at(14'001)));
    currency.noteRead(2, at(20'000));
    EXPECT_FALSE(currency.isCurrent(at(20'000))) << "the read showed another version than is applied";
    currency.noteRead(3, at(9'000));
    EXPECT_EQ(currency.age(at(14'000)), std::chrono::milliseconds(4'000)) << "an earlier read takes nothing back";
}

// Guards against replies that waited in a buffer, came twice, answer nothing, or are of another version.
TEST(ConfigCurrency, OnlyAReplyToAnOutstandingQueryConfirms)
{
    config_currency currency = makeCurrency();
    currency.noteApplied(3);
    currency.noteReader(at(50'000), "b");
    const auto due = currency.dueQuery(at(50'000));
    ASSERT_TRUE(due);
    EXPECT_EQ(due->peerAddress, "b");
    EXPECT_EQ(due->query.version, 3U);
    EXPECT_EQ(currency.dueQuery(at(50'099)), std::nullopt) << "a reply may still come";
    EXPECT_EQ(currency.onReply({due->query.number + 1, 3, 0}), currency_result::None);
    EXPECT_FALSE(currency.isCurrent(at(50'100)));
    EXPECT_EQ(currency.onReply({due->query.number, 3, 700}), currency_result::Confirmed);
    EXPECT_EQ(currency.age(at(60'000)), std::chrono::milliseconds(10'700)) << "counted from the query, not from the reply";
    EXPECT_EQ(currency.onReply({due->query.number, 3, 0}), currency_result::None) << "a repeated reply";
    const auto next = currency.dueQuery(at(60'000));
    ASSERT_TRUE(next);
    EXPECT_EQ(currency.onReply({next->query.number, 4, 0}), currency_result::Outdated);
    EXPECT_TRUE(currency.isOutdated());
    EXPECT_FALSE(currency.isCurrent(at(60'000)));
    const auto last = currency.dueQuery(at(60'100));
    ASSERT_TRUE(last);
    EXPECT_EQ(currency.onReply({last->query.number, 2, 0}), currency_result::None);
    EXPECT_FALSE(currency.isCurrent(at(60'100)));
    currency.noteApplied(4);
    EXPECT_FALSE(currency.isOutdated());
}

// Guards against an entry that vouches for a configuration without knowing its age, or for a younger one than it is.
TEST(ConfigCurrency, AReplyNamesTheAgeRoundedUp)
{
    config_currency currency = makeCurrency();
    EXPECT_EQ(currency.onQuery(at(0), {1, 3}), std::nullopt);
    currency.noteApplied(3);
    EXPECT_EQ(currency.onQuery(at(0), {1, 3}), std::nullopt);
    currency.noteRead(3, at(1'000));
    EXPECT_EQ(currency.onQuery(at(1'700) + std::chrono::microseconds(1), {9, 2}), (config_currency_reply{9, 3, 701}));
    EXPECT_FALSE(currency.isOutdated());
    EXPECT_TRUE(currency.onQuery(at(1'800), {9, 5}));
    EXPECT_TRUE(currency.isOutdated());
}

// Guards against a load of queries that grows when nobody replies.
TEST(ConfigCurrency, QueriesAreBoundedWhenNobodyReplies)
{
    config_currency currency = makeCurrency();
    currency.noteApplied(3);
    std::size_t count = 0;
    for (std::int64_t now = 0; now < 60'000; now += 10) {
        count += currency.dueQuery(at(now)) ? 1U : 0U;
    }
    EXPECT_LE(count, 20U + 120U);
    EXPECT_GE(count, 100U);
}
