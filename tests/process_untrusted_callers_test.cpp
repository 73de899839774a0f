// Runs an entry beside callers that observe no limits. Checks only that the process stays alive, that its peak memory and its open descriptors stay
// under a bound, and that ordinary requests are answered afterwards.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <sys/resource.h>

#include <filesystem>
#include <memory>
#include <vector>

#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
/// Three quarters of the memory of the smallest VM, which has 96 MB.
constexpr std::size_t kMaxResidentBytes = 72 * kMebibyte;
constexpr std::size_t kMaxBodyBytes = 4 * kMebibyte;
constexpr std::size_t kMaxHeaderBytes = 16'384;
/// Descriptors that the entry may open in the test of idle connections, and how many of them must stay free for upstreams, peers and the store.
constexpr std::size_t kMaxDescriptors = 256;
constexpr std::size_t kReservedDescriptors = 32;
constexpr milliseconds kLongestSending{6'000};
/// Time for the entry to read what is in its socket buffers.
constexpr milliseconds kSettleTime{500};

/// What a caller sends after it has connected.
struct caller_plan
{
    std::string head;
    std::shared_ptr<const std::string> piece; ///< Sent after the head; null for nothing.
    std::size_t pieceBytes = 0; ///< Sent in total, the piece repeatedly.
    std::size_t writeBytes = kMebibyte; ///< Sent at a time.
    milliseconds pause{0}; ///< After each write.
};

/// Callers that send what their plans say, read nothing and keep their connections open.
class crowd
{
public:
    explicit crowd(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    { }

    void add(const tcp::endpoint &entry, caller_plan plan)
    {
        m_sockets.push_back(std::make_shared<tcp::socket>(m_executor));
        ++*m_sending;
        asio::co_spawn(m_executor, run(m_sockets.back(), entry, std::move(plan), m_sending), asio::detached);
    }

    /// Waits until all callers have sent everything or can send no more for now.
    asio::awaitable<void> waitUntilSent()
    {
        const auto until = std::chrono::steady_clock::now() + kLongestSending;
        while (*m_sending > 0 && std::chrono::steady_clock::now() < until) {
            co_await pauseFor(milliseconds(20));
        }
        co_await pauseFor(kSettleTime);
    }

    void leave()
    {
        for (const auto &socket : m_sockets) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
        m_sockets.clear();
    }

private:
    static asio::awaitable<void> run(std::shared_ptr<tcp::socket> socket, tcp::endpoint entry, caller_plan plan, std::shared_ptr<std::size_t> sending)
    {
        boost::system::error_code error;
        co_await socket->async_connect(entry, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            co_await asio::async_write(*socket, asio::buffer(plan.head), asio::redirect_error(asio::use_awaitable, error));
        }
        std::size_t left = plan.piece ? plan.pieceBytes : 0;
        std::size_t at = 0;
        while (!error && left > 0) {
            const std::size_t count = std::min({left, plan.writeBytes, plan.piece->size() - at});
            co_await asio::async_write(*socket, asio::buffer(plan.piece->data() + at, count), asio::redirect_error(asio::use_awaitable, error));
            left -= count;
            at = (at + count) % plan.piece->size();
            if (plan.pause.count() > 0) {
                co_await pauseFor(plan.pause);
            }
        }
        --*sending;
    }

    asio::any_io_executor m_executor;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::shared_ptr<std::size_t> m_sending = std::make_shared<std::size_t>(0);
};

std::string headOf(const std::string &method, const std::string &path, const std::string &id, const std::string &further)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + kSiteHost + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 20000\r\n" + further + "\r\n";
}

std::string lengthField(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::shared_ptr<const std::string> repeated(const std::string &text, std::size_t count)
{
    auto whole = std::make_shared<std::string>();
    whole->reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        *whole += text;
    }
    return whole;
}

/// A head of nearly the maximum size that consists of very many short lines.
std::string headOfShortLines(const std::string &id, const std::string &further)
{
    std::string lines = further;
    const std::size_t room = kMaxHeaderBytes - headOf("POST", kBookingPath, id, further).size();
    for (std::size_t i = 0; i < room / 4; ++i) {
        lines += "a:\r\n";
    }
    return headOf("POST", kBookingPath, id, lines);
}

/// The number of open descriptors of the process @p pid.
std::size_t openDescriptors(pid_t pid)
{
    std::error_code error;
    const auto count = std::distance(std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error), {});
    return static_cast<std::size_t>(count);
}

/// Sends a booking with a body of @p bodyBytes to entry 0 and returns the status of its answer; 0 without one.
asio::awaitable<unsigned> statusOfBooking(relay_site &site, std::string id, std::size_t bodyBytes)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    asio::steady_timer timer(socket.get_executor(), seconds(10));
    timer.async_wait([&socket](const boost::system::error_code &error) {
        boost::system::error_code ignored;
        if (!error) {
            socket.close(ignored);
        }
    });
    const std::string request = headOf("POST", kBookingPath, id, lengthField(bodyBytes)) + std::string(bodyBytes, 'b');
    std::string answer;
    boost::system::error_code error;
    co_await socket.async_connect(site.callerEndpoint(0), asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
    }
    timer.cancel();
    co_return error || answer.size() < 12 ? 0U : static_cast<unsigned>(std::strtoul(answer.c_str() + 9, nullptr, 10));
}

/// Sends ordinary requests of @p bodyBytes, one after the other, until one is answered with success or some have failed. Returns the last status.
asio::awaitable<unsigned> ordinaryRequest(relay_site &site, std::size_t bodyBytes)
{
    unsigned status = 0;
    for (int attempt = 0; attempt < 20 && status != 200; ++attempt) {
        if (attempt > 0) {
            co_await pauseFor(milliseconds(100));
        }
        std::string id = "ordinary-" + std::to_string(bodyBytes) + "-" + std::to_string(attempt);
        status = co_await statusOfBooking(site, std::move(id), bodyBytes);
    }
    co_return status;
}

relay_site_settings untrustedSite(std::size_t maxDescriptors = 2'870)
{
    relay_site_settings settings;
    settings.entries = 1;
    settings.prefillEngines = 0;
    settings.decodeEngines = 0;
    settings.furtherSettings = "limits: {memory_mb: 96, max_descriptors: " + std::to_string(maxDescriptors) + "}\n";
    return settings;
}

/// Publishes a configuration with the limits that callers are told.
asio::awaitable<void> publishLimits(relay_site &site)
{
    site.store().put("keyed.op",
                     "config",
                     R"({"Version":90,"Routes":[{"Name":"book","Host":"site.example","PathPrefix":"/book/","Kind":"non_idempotent","TimeoutMs":20000,)"
                     R"("TargetLatencyMs":100,"Priority":2,"Service":"portal","MaxAttempts":1,"Sticky":false}],)"
                     R"("Services":[{"Name":"portal","HealthPath":"/healthz","MaxConnections":192}],)"
                     R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":8000,"IdleTimeoutMs":8000}})");
    for (int i = 0; i < 100 && site.logOf(0).find("\"version\":\"90\"") == std::string::npos; ++i) {
        co_await pauseFor(milliseconds(50));
    }
}

/// Lets the callers of @p plans come to an entry at the same time, and checks the entry.
void runCrowd(std::function<std::vector<caller_plan>()> plans, std::function<void(relay_site &)> before = {}, std::function<void(relay_site &)> after = {})
{
    runOnSite(untrustedSite(), [&](relay_site &site) -> asio::awaitable<void> {
        co_await publishLimits(site);
        if (before) {
            before(site);
        }
        crowd callers(site.executor());
        for (caller_plan &plan : plans()) {
            callers.add(site.callerEndpoint(0), std::move(plan));
        }
        co_await callers.waitUntilSent();
        const std::size_t descriptors = openDescriptors(site.entry(0).pid());
        callers.leave();
        if (after) {
            after(site);
        }
        const unsigned small = co_await ordinaryRequest(site, 600);
        EXPECT_EQ(small, 200U);
        const unsigned large = co_await ordinaryRequest(site, kMaxBodyBytes);
        EXPECT_EQ(large, 200U);
        EXPECT_FALSE(site.entry(0).waitForEnd(milliseconds(0)));
        const std::size_t peak = site.entry(0).peakMemoryBytes();
        EXPECT_GT(peak, 0U);
        EXPECT_LT(peak, kMaxResidentBytes) << peak / kMebibyte << " MB";
        std::cout << "peak " << peak / kMebibyte << " MB, " << descriptors << " descriptors\n";
    });
}

std::vector<caller_plan> plansOf(std::size_t count, const std::function<caller_plan(const std::string &id)> &make)
{
    std::vector<caller_plan> plans;
    for (std::size_t i = 0; i < count; ++i) {
        plans.push_back(make("crowd-" + std::to_string(i)));
    }
    return plans;
}

std::shared_ptr<const std::string> bodyPiece()
{
    return std::make_shared<std::string>(kMebibyte, 'b');
}

} // namespace

// Load pattern: heads of legal size with four thousand short lines each, whose bodies stop one byte short. A line costs much more than its characters.
TEST(ProcessUntrustedCallers, UnfinishedRequestsOfManyShortHeaderLines)
{
    runCrowd([] { return plansOf(500, [](const std::string &id) { return caller_plan{headOfShortLines(id, lengthField(2)) + "b", nullptr}; }); });
}

// Load pattern: the same heads, on complete requests that upstreams don't answer. The lines are copied for each attempt.
TEST(ProcessUntrustedCallers, RunningRequestsOfManyShortHeaderLines)
{
    const auto hang = [](bool isHanging) {
        return [isHanging](relay_site &site) {
            standins::upstream_faults faults;
            faults.hang = isHanging;
            setFaultsOfAll(site, faults);
        };
    };
    runCrowd([] { return plansOf(250, [](const std::string &id) {
                      return caller_plan{headOfShortLines(id, lengthField(1)) + "b", nullptr};
                  }); },
             hang(true),
             hang(false));
}

// Load pattern: heads over the limit, as one line and as many, and lines that never end.
TEST(ProcessUntrustedCallers, HeadsOverTheLimitAndWithoutEnd)
{
    runCrowd([] {
        const auto lines = repeated("a: b\r\n", 10'000);
        const auto oneLine = std::make_shared<std::string>(kMebibyte, 'x');
        std::size_t index = 0;
        return plansOf(120, [&](const std::string &id) {
            const std::string begin = "POST " + std::string(kBookingPath) + " HTTP/1.1\r\nHost: " + kSiteHost + "\r\nX-Attempt-Id: " + id + "\r\n";
            const bool isOneLine = ++index % 2 == 0;
            return caller_plan{begin + (isOneLine ? "X: " : ""), isOneLine ? oneLine : lines, kMebibyte};
        });
    });
}

// Load pattern: empty lines without end before a request.
TEST(ProcessUntrustedCallers, EmptyLinesWithoutEnd)
{
    runCrowd([] {
        const auto lines = repeated("\r\n", 32'768);
        return plansOf(120, [&](const std::string &) { return caller_plan{"", lines, 2 * kMebibyte, 4096}; });
    });
}

// Load pattern: bodies of the maximum size, all at once, on requests that upstreams serve.
TEST(ProcessUntrustedCallers, WholeBodiesOfTheMaximumSize)
{
    runCrowd([] {
        return plansOf(20, [piece = bodyPiece()](const std::string &id) {
            return caller_plan{headOf("POST", kBookingPath, id, lengthField(kMaxBodyBytes)), piece, kMaxBodyBytes};
        });
    });
}

// Load pattern: bodies of the maximum size that stop one byte short, with the connections kept open.
TEST(ProcessUntrustedCallers, BodiesThatStopOneByteShort)
{
    runCrowd([] {
        return plansOf(20, [piece = bodyPiece()](const std::string &id) {
            return caller_plan{headOf("POST", kBookingPath, id, lengthField(kMaxBodyBytes)), piece, kMaxBodyBytes - 1};
        });
    });
}

// Load pattern: the same bodies in pieces with pauses, so that all of them grow side by side.
TEST(ProcessUntrustedCallers, BodiesInPiecesThatStopOneByteShort)
{
    runCrowd([] {
        return plansOf(20, [piece = bodyPiece()](const std::string &id) {
            return caller_plan{headOf("POST", kBookingPath, id, lengthField(kMaxBodyBytes)), piece, kMaxBodyBytes - 1, kMebibyte / 16, milliseconds(5)};
        });
    });
}

// Load pattern: chunks of one byte, up to a body of a twentieth of the maximum size.
TEST(ProcessUntrustedCallers, ChunksOfOneByte)
{
    runCrowd([] {
        constexpr std::size_t kChunks = 200'000;
        return plansOf(20, [piece = repeated("1\r\nb\r\n", 4096)](const std::string &id) {
            return caller_plan{headOf("POST", kBookingPath, id, "Transfer-Encoding: chunked\r\n"), piece, 6 * kChunks};
        });
    });
}

// Load pattern: extensions of a chunk that don't end, just below the size at which they are refused.
TEST(ProcessUntrustedCallers, ChunkExtensionsWithoutEnd)
{
    runCrowd([] {
        constexpr std::size_t kExtensionBytes = 140'000;
        return plansOf(600, [piece = bodyPiece()](const std::string &id) {
            return caller_plan{headOf("POST", kBookingPath, id, "Transfer-Encoding: chunked\r\n") + "1;", piece, kExtensionBytes};
        });
    });
}

// Load pattern: more idle connections than the entry may open descriptors.
TEST(ProcessUntrustedCallers, IdleConnectionsLeaveDescriptorsFree)
{
    runOnSite(untrustedSite(kMaxDescriptors), [](relay_site &site) -> asio::awaitable<void> {
        co_await publishLimits(site);
        const rlimit limit{kMaxDescriptors, kMaxDescriptors};
        EXPECT_EQ(::prlimit(site.entry(0).pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
        crowd callers(site.executor());
        std::size_t most = 0;
        for (std::size_t i = 0; i < 2 * kMaxDescriptors; ++i) {
            callers.add(site.callerEndpoint(0), {});
            if (i % 8 == 0) {
                co_await pauseFor(milliseconds(2));
                most = std::max(most, openDescriptors(site.entry(0).pid()));
            }
        }
        co_await callers.waitUntilSent();
        most = std::max(most, openDescriptors(site.entry(0).pid()));
        EXPECT_LE(most, kMaxDescriptors - kReservedDescriptors);
        callers.leave();
        const unsigned status = co_await ordinaryRequest(site, 600);
        EXPECT_EQ(status, 200U);
        EXPECT_FALSE(site.entry(0).waitForEnd(milliseconds(0)));
        EXPECT_LT(site.entry(0).peakMemoryBytes(), kMaxResidentBytes);
        std::cout << "most descriptors " << most << '\n';
    });
}

// Load pattern: callers that pipeline requests and read none of the answers, each of them a mebibyte.
TEST(ProcessUntrustedCallers, AnswersThatAreNotRead)
{
    runCrowd([] {
        return plansOf(100, [](const std::string &id) {
            constexpr std::size_t kRequests = 4;
            std::string all;
            for (std::size_t i = 0; i < kRequests; ++i) {
                all += headOf("POST", kBookingPath, id + "-" + std::to_string(i), lengthField(kMebibyte)) + std::string(kMebibyte, 'b');
            }
            const auto bytes = all.size();
            return caller_plan{"", std::make_shared<std::string>(std::move(all)), bytes};
        });
    });
}
