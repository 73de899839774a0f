#include "node/store_reads.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <utility>

#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

class store_reads::impl : public std::enable_shared_from_this<store_reads::impl>
{
public:
    impl(asio::io_context &context, const platform_store &store, const store_read_watch_settings &settings, std::function<void(log_line)> log)
        : m_context(context)
        , m_store(store)
        , m_log(std::move(log))
        , m_watch(store_read_watch::make(settings))
        , m_random(std::random_device{}())
        , m_timer(context)
    { }

    asio::awaitable<keyed_page> readNewest(store_stream stream)
    {
        store_read_control control = makeControl(stream, std::chrono::milliseconds(0));
        keyed_page page = co_await m_store.readNewest(stream, m_watch.timeout(stream), std::move(control));
        noteEnd(stream, page.outcome);
        co_return page;
    }

    asio::awaitable<keyed_page> readFrom(store_stream stream, std::uint64_t from, std::chrono::milliseconds wait)
    {
        store_read_control control = makeControl(stream, wait);
        keyed_page page = co_await m_store.readFrom(stream, from, wait, std::move(control));
        noteEnd(stream, page.outcome);
        co_return page;
    }

    const store_read_watch &watch() const noexcept
    {
        return m_watch;
    }

    void setMinProbeInterval(std::chrono::milliseconds interval)
    {
        m_minProbeInterval = interval;
    }

    void noteAnswer(instant sentAt)
    {
        m_watch.noteAnswer(sentAt);
        awaitNextChange();
    }

private:
    store_read_control makeControl(store_stream stream, std::chrono::milliseconds wait)
    {
        store_read_control control;
        control.cancel = m_cancels[stream].slot();
        control.onSent = [this, stream, wait] {
            m_watch.noteSent(stream, coreNow(), wait);
            awaitNextChange();
        };
        control.onAnswering = [this, stream] {
            m_watch.noteAnswering(stream);
            awaitNextChange();
        };
        return control;
    }

    void noteEnd(store_stream stream, store_outcome outcome)
    {
        if (outcome == store_outcome::Unavailable) {
            m_watch.noteFailed(stream);
        } else {
            m_watch.noteDone(stream);
        }
        awaitNextChange();
    }

    /// Sets the timer for the next time at which a read may have to be given up or the store to be probed.
    void awaitNextChange()
    {
        const std::optional<instant> next = m_watch.nextChange();
        if (!next) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::max(*next - coreNow(), duration::zero()));
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->act();
            }
        });
    }

    void act()
    {
        const instant now = coreNow();
        for (const store_stream stream : m_watch.takeGivenUp(now)) {
            m_log({log_level::Info, "store_read_given_up", {{"stream", toString(stream)}}});
            m_cancels[stream].emit(asio::cancellation_type::total);
        }
        if (m_watch.shouldProbe(now)) {
            m_watch.noteProbe(now, m_minProbeInterval, m_random);
            asio::co_spawn(m_context, probe(shared_from_this()), asio::detached);
        }
        awaitNextChange();
    }

    static asio::awaitable<void> probe(std::shared_ptr<impl> self)
    {
        const instant sentAt = coreNow();
        const bool isAnswered = co_await self->m_store.probe();
        self->m_log({log_level::Info, "store_probed", {{"answered", isAnswered ? "true" : "false"}}});
        if (isAnswered) {
            self->noteAnswer(sentAt);
        }
    }

    asio::io_context &m_context;
    platform_store m_store;
    std::function<void(log_line)> m_log;
    store_read_watch m_watch;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_minProbeInterval{0};
    std::map<store_stream, asio::cancellation_signal> m_cancels;
    asio::steady_timer m_timer;
};

store_reads::store_reads(asio::io_context &context, const platform_store &store, const store_read_watch_settings &settings, std::function<void(log_line)> log)
    : m_impl(std::make_shared<impl>(context, store, settings, std::move(log)))
{ }

store_reads::~store_reads() = default;

asio::awaitable<keyed_page> store_reads::readNewest(store_stream stream)
{
    return m_impl->readNewest(stream);
}

asio::awaitable<keyed_page> store_reads::readFrom(store_stream stream, std::uint64_t from, std::chrono::milliseconds wait)
{
    return m_impl->readFrom(stream, from, wait);
}

std::uint32_t store_reads::failures(store_stream stream) const
{
    return m_impl->watch().failures(stream);
}

void store_reads::setMinProbeInterval(std::chrono::milliseconds interval)
{
    m_impl->setMinProbeInterval(interval);
}

void store_reads::noteAnswer(instant sentAt)
{
    m_impl->noteAnswer(sentAt);
}

} // namespace heatherroute::node
