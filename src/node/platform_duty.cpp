#include "node/platform_duty.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

#include "net/http_client.h"
#include "node/core_time.h"
#include "node/log_answer.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

class platform_duty::impl
{
public:
    impl(asio::io_context &context, platform_options options, channel<core_event> &toCore)
        : m_context(context)
        , m_options(std::move(options))
        , m_toCore(toCore)
    { }

    void perform(const read_log &action)
    {
        asio::co_spawn(m_context, runRead(action.from), asio::detached);
    }

    void perform(const append_log &action)
    {
        asio::co_spawn(m_context, runAppend(action.record), asio::detached);
    }

    template<typename Other>
    void perform(const Other &)
    { }

    void start()
    {
        if (m_options.vms) {
            asio::co_spawn(m_context, pollVms(), asio::detached);
        }
    }

private:
    net::http_call makeCall(std::string target) const
    {
        net::http_call call;
        call.endpoint = m_options.log;
        call.target = std::move(target);
        call.progressTimeout = m_options.pollWait + m_options.timeout;
        return call;
    }

    asio::awaitable<void> runRead(log_offset from)
    {
        net::http_call call = makeCall(readTarget(m_options.configStream, from, m_options.pollWait));
        call.method = "GET";
        const instant sentAt = coreNow();
        const net::http_result result = co_await net::performCall(std::move(call));
        core_event event = parseReadResult(sentAt, result);
        co_await m_toCore.push(std::move(event));
    }

    asio::awaitable<void> runAppend(std::string record)
    {
        net::http_call call = makeCall(appendTarget(m_options.configStream));
        call.body = appendBody(record);
        co_await net::performCall(std::move(call));
    }

    asio::awaitable<void> pollVms()
    {
        asio::steady_timer timer(m_context);
        // The jitter keeps entries that started at the same time from polling at the same time.
        std::minstd_rand random{std::random_device{}()};
        std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(0, m_options.vmPollInterval.count());
        while (true) {
            net::http_call call = makeCall("/vms");
            call.endpoint = *m_options.vms;
            call.method = "GET";
            const net::http_result result = co_await net::performCall(std::move(call));
            if (std::optional<vms_listed> listed = parseVmList(result)) {
                core_event event = std::move(*listed);
                co_await m_toCore.push(std::move(event));
            }
            timer.expires_after(m_options.vmPollInterval / 2 + std::chrono::milliseconds(jitter(random)));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::io_context &m_context;
    platform_options m_options;
    channel<core_event> &m_toCore;
};

platform_duty::platform_duty(asio::io_context &context, platform_options options, channel<core_event> &toCore)
    : m_impl(std::make_unique<impl>(context, std::move(options), toCore))
{ }

platform_duty::~platform_duty() = default;

void platform_duty::start()
{
    m_impl->start();
}

bool platform_duty::handles(const core_action &action) noexcept
{
    return std::holds_alternative<read_log>(action) || std::holds_alternative<append_log>(action);
}

void platform_duty::perform(core_action action)
{
    std::visit([this](const auto &typed) { m_impl->perform(typed); }, action);
}

} // namespace heatherroute::node
