// Two software versions serve side by side. All entries are killed at the same moment. Callers whose streams were broken off take them up once the
// entries are in touch again; other callers begin new streams beside them.
#include "case.hpp"

#include <map>

using namespace heatherroute;
using namespace heatherroute::support;
using namespace review;

namespace
{

constexpr milliseconds kDeadTime{500}; ///< From the kill until the entries start again.
constexpr milliseconds kTakenUpAfter{4'000}; ///< From the start of the entries; `StabilityWindowMs` is 3,000.
constexpr milliseconds kInterval{12}; ///< Between two new streams before the kill.
constexpr milliseconds kLoadTime{1'500};

struct stream_result
{
    std::string id;
    std::string path;
    std::uint32_t events = 0; ///< That the caller has.
    bool isBroken = false; ///< The connection ended in the middle of the stream.
};

struct shared_run
{
    asio::io_context &context;
    relay_site &site;
    std::size_t open = 0;
    std::vector<stream_result> results;
    std::size_t taken = 0;
    std::size_t goOn = 0;
    std::size_t begun = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> ends; ///< Of the attempts that take streams up.
};

std::uint32_t eventsIn(const std::string &body)
{
    std::uint32_t count = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

asio::awaitable<void> callStream(shared_run &run, std::size_t number)
{
    ++run.open;
    stream_result result;
    result.id = "s" + std::to_string(number);
    result.path = "/gen/" + std::to_string(number);
    net::http_call call;
    call.method = "POST";
    call.target = result.path;
    call.endpoint = run.site.callerEndpoint(number % run.site.entryCount());
    call.progressTimeout = milliseconds(14'000);
    call.fields = {{"Host", kSiteHost},
                   {"X-Attempt-Id", result.id},
                   {"X-Deadline-Ms", "14000"},
                   {"X-Model", "m"},
                   {"X-Token-Count", "500,100"},
                   {"X-Prompt-Prefix", "ab:500"}};
    std::string body;
    const auto exchange = net::http_exchange::make(run.context.get_executor(), std::move(call));
    const auto onHead = [](const net::http_answer &head) -> asio::awaitable<bool> { co_return head.status == 200; };
    const auto onBody = [&](std::string_view piece) -> asio::awaitable<void> {
        body.append(piece);
        co_return;
    };
    const net::http_result end = co_await exchange->run(onHead, onBody);
    result.events = eventsIn(body);
    result.isBroken = !end.answer && result.events > 0;
    run.results.push_back(std::move(result));
    --run.open;
}

/// Takes a stream up; after a refusal once more at another entry, when `Retry-After` has passed (a second suffices for it).
asio::awaitable<void> takeUp(shared_run &run, stream_result stream, std::size_t entry)
{
    ++run.open;
    ++run.taken;
    std::string last;
    for (int tries = 0; tries < 2; ++tries) {
        caller_request again;
        again.path = stream.path;
        again.timeLeft = milliseconds(8'000);
        again.resumes = stream.id;
        again.lastEvent = stream.events;
        const caller_result end = co_await run.site.call((entry + tries) % run.site.entryCount(), std::move(again));
        last = "status " + std::to_string(end.status) + " " + end.refusal + end.fault;
        if (end.status == 200 && end.isComplete && end.fault.empty()) {
            ++run.goOn;
            break;
        }
        co_await pause(run.context, milliseconds(3'000));
    }
    ++run.ends[last];
    --run.open;
}

asio::awaitable<void> beginNew(shared_run &run, std::size_t entry)
{
    ++run.open;
    ++run.begun;
    caller_request request;
    request.path = "/gen/new-" + std::to_string(run.begun);
    request.timeLeft = milliseconds(8'000);
    const caller_result end = co_await run.site.call(entry, std::move(request));
    run.served += end.status == 200 && end.isComplete && end.fault.empty() ? 1 : 0;
    --run.open;
}

asio::awaitable<int> play(asio::io_context &context, const std::string &program, record &out)
{
    relay_site_settings settings;
    settings.program = program;
    settings.entries = 6;
    settings.prefillEngines = 2;
    settings.decodeEngines = 4;
    settings.decodeVersions = {"v1", "v2"};
    settings.services = 1;
    settings.eventInterval = milliseconds(30);
    last_reason reason;
    const auto site = relay_site::make(context, settings, &reason);
    if (!site || !co_await site->waitUntilReady(milliseconds(15'000))) {
        out.line("not ready: " + (site ? site->unreadyReason() : reason.text()));
        co_return kNotRun;
    }
    publishResumable(*site);
    shared_run run{context, *site, 0, {}, 0, 0, 0, 0, {}};
    // Longer than a stream may last, so that the history of versions is long enough.
    co_await pause(context, milliseconds(25'000));
    std::size_t number = 0;
    const auto until = clock::now() + kLoadTime;
    while (clock::now() < until) {
        asio::co_spawn(context, callStream(run, ++number), asio::detached);
        co_await pause(context, kInterval);
    }
    if (hasTrouble()) {
        for (std::size_t i = 0; i < settings.entries; ++i) {
            site->entry(i).signal(SIGKILL);
        }
        out.line("all entries are killed");
        co_await pause(context, kDeadTime);
        for (std::size_t i = 0; i < settings.entries; ++i) {
            site->entry(i).waitForEnd(milliseconds(1'000));
            if (!site->restart(i, &reason)) {
                out.line("restart failed: " + reason.text());
                co_return kNotRun;
            }
        }
        out.line("all entries start again");
    }
    co_await pause(context, kTakenUpAfter);
    const std::vector<stream_result> streams = run.results;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        if (streams[i].isBroken) {
            asio::co_spawn(context, takeUp(run, streams[i], i % settings.entries), asio::detached);
        }
        if (i % 2 == 0) {
            asio::co_spawn(context, beginNew(run, i % settings.entries), asio::detached);
        }
        co_await pause(context, milliseconds(10));
    }
    while (run.open > 0) {
        co_await pause(context, milliseconds(50));
    }
    for (const auto &[end, count] : run.ends) {
        out.line(std::to_string(count) + " streams that were taken up ended with " + end);
    }
    out.line(std::to_string(streams.size()) + " streams, " + std::to_string(run.goOn) + " of " + std::to_string(run.taken) + " taken up go on; "
             + std::to_string(run.served) + " of " + std::to_string(run.begun) + " new ones beside them are served");
    const double going = run.taken > 0 ? static_cast<double>(run.goOn) / static_cast<double>(run.taken) : 1.0;
    const double beginning = run.begun > 0 ? static_cast<double>(run.served) / static_cast<double>(run.begun) : 0.0;
    if (hasTrouble() && run.taken < 12) {
        co_return kNotRun;
    }
    co_return run.taken >= 12 && going < beginning / 2 ? kBroken : kHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return kNotRun;
    }
    asio::io_context context;
    record out(argv[2]);
    const std::string program = argv[1];
    return run(context, [&] { return play(context, program, out); });
}
