#include "net/memory_budget.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace heatherroute::net
{

using std::chrono::steady_clock;

namespace
{

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
/// Not counted: code, stacks, registries, queues and fragmentation. An idle entry uses 10 MB.
constexpr std::size_t kUncountedBytes = 32 * kMebibyte;
/// Responses of faulty upstreams may have any size; this is enough for several of the largest requests' responses at a time.
constexpr std::size_t kMaxAnswerBytes = 24 * kMebibyte;
constexpr std::size_t kSmallReserveDivisor = 4;
constexpr std::size_t kMinBudgetDivisor = 8;
/// A request that has made progress within this time is not asked to give up: its next bytes may already be on the way.
constexpr std::chrono::milliseconds kProgressTime{100};
/// The time in which a holder that was asked to give up has usually returned its memory.
constexpr std::chrono::milliseconds kEvictionInterval{10};
constexpr std::chrono::milliseconds kTrimInterval{200};
constexpr std::uint64_t kMaxFileDescriptors = 200;
constexpr std::uint64_t kFileDivisor = 4;
constexpr std::size_t kMaxConnections = 4096;
constexpr std::size_t kMinConnections = 4;

std::size_t connections(std::uint64_t descriptors) noexcept
{
    return std::clamp(static_cast<std::size_t>(descriptors), kMinConnections, kMaxConnections);
}

} // namespace

memory_budget_limits budgetLimitsFor(std::uint64_t memoryBytes) noexcept
{
    const auto memory = static_cast<std::size_t>(memoryBytes);
    const std::size_t allowed = memory / 4 * 3;
    memory_budget_limits limits;
    limits.limitBytes = std::max(allowed > kUncountedBytes ? allowed - kUncountedBytes : 0, memory / kMinBudgetDivisor);
    limits.smallReserveBytes = limits.limitBytes / kSmallReserveDivisor;
    limits.answerBytes = std::min(kMaxAnswerBytes, limits.limitBytes - limits.smallReserveBytes);
    return limits;
}

std::uint64_t systemMemoryBytes() noexcept
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    constexpr std::uint64_t kUnknown = 512 * kMebibyte;
    return pages > 0 && pageBytes > 0 ? static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(pageBytes) : kUnknown;
}

std::uint64_t processDescriptorLimit() noexcept
{
    rlimit limit{};
    constexpr std::uint64_t kUnknown = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::uint64_t>(limit.rlim_cur) : kUnknown;
}

connection_shares connectionSharesOf(std::uint64_t descriptors) noexcept
{
    const std::uint64_t sockets = descriptors - std::min(kMaxFileDescriptors, descriptors / kFileDivisor);
    connection_shares shares;
    shares.callers = connections(sockets / 2);
    shares.entries = connections(sockets / 16);
    shares.others = connections(sockets / 32);
    return shares;
}

std::shared_ptr<memory_budget> memory_budget::make(const memory_budget_limits &limits)
{
    return std::shared_ptr<memory_budget>(new memory_budget(limits));
}

std::shared_ptr<memory_budget> memory_budget::make(std::size_t limitBytes)
{
    return make(memory_budget_limits{limitBytes, 0, limitBytes});
}

memory_budget::memory_budget(const memory_budget_limits &limits)
    : m_limits(limits)
{ }

std::size_t memory_budget::used() const
{
    const std::lock_guard lock(m_mutex);
    return m_used;
}

std::uint64_t memory_budget::evictions() const
{
    const std::lock_guard lock(m_mutex);
    return m_evictions;
}

std::function<void()> memory_budget::chooseVictim()
{
    const auto now = steady_clock::now();
    if (now < m_nextEviction) {
        return {};
    }
    memory_share *victim = nullptr;
    double worst = 0;
    for (memory_share *share : m_evictable) {
        const std::chrono::nanoseconds stalled = now.time_since_epoch() - std::chrono::nanoseconds(share->m_progressAt.load());
        if (!share->m_isIncomplete.load() || stalled < kProgressTime) {
            continue;
        }
        const double cost = static_cast<double>(share->m_held) * std::chrono::duration<double>(stalled).count();
        if (cost > worst) {
            worst = cost;
            victim = share;
        }
    }
    m_nextEviction = now + kEvictionInterval;
    if (victim == nullptr) {
        return {};
    }
    victim->m_isIncomplete.store(false);
    ++m_evictions;
    return victim->m_onEvicted;
}

bool memory_budget::isTrimDue()
{
    const auto now = steady_clock::now();
    const bool isDue = now >= m_nextTrim;
    if (isDue) {
        m_nextTrim = now + kTrimInterval;
    }
    return isDue;
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget, memory_use use, std::function<void()> onEvicted)
    : m_budget(std::move(budget))
    , m_use(use)
    , m_onEvicted(std::move(onEvicted))
{
    if (m_budget && m_onEvicted) {
        const std::lock_guard lock(m_budget->m_mutex);
        m_budget->m_evictable.insert(this);
    }
}

memory_share::~memory_share()
{
    if (m_budget) {
        const std::lock_guard lock(m_budget->m_mutex);
        change(0);
        m_budget->m_evictable.erase(this);
    }
}

void memory_share::change(std::size_t bytes)
{
    m_budget->m_used += bytes - m_held;
    if (m_use == memory_use::Answer) {
        m_budget->m_answers += bytes - m_held;
    }
    m_held = bytes;
}

bool memory_share::tryResize(std::size_t bytes)
{
    if (!m_budget) {
        return true;
    }
    std::function<void()> evict;
    bool shouldTrim = false;
    {
        const std::lock_guard lock(m_budget->m_mutex);
        const memory_budget_limits &limits = m_budget->m_limits;
        // A request whose response doesn't fit has run in vain, so responses may use the reserve.
        const bool mayUseReserve = bytes <= memory_budget::kSmallBytes || m_use == memory_use::Answer;
        const std::size_t reserve = mayUseReserve ? 0 : limits.smallReserveBytes;
        const bool exceedsAnswers = m_use == memory_use::Answer && m_budget->m_answers + bytes > limits.answerBytes + m_held;
        if (bytes <= m_held || (!exceedsAnswers && m_budget->m_used + bytes + reserve <= limits.limitBytes + m_held)) {
            change(bytes);
            return true;
        }
        if (!exceedsAnswers) {
            evict = m_budget->chooseVictim();
            shouldTrim = m_budget->isTrimDue();
        }
    }
    if (evict) {
        evict();
    }
    if (shouldTrim) {
        // Freed small blocks would otherwise stay resident beside the large ones that are allocated next.
        ::malloc_trim(0);
    }
    return false;
}

void memory_share::resize(std::size_t bytes)
{
    if (m_budget && bytes != m_held) {
        const std::lock_guard lock(m_budget->m_mutex);
        change(bytes);
    }
}

void memory_share::setIncomplete(bool isIncomplete) noexcept
{
    if (isIncomplete) {
        noteProgress();
    }
    m_isIncomplete.store(isIncomplete);
}

void memory_share::noteProgress() noexcept
{
    if (m_budget) {
        m_progressAt.store(std::chrono::nanoseconds(steady_clock::now().time_since_epoch()).count());
    }
}

} // namespace heatherroute::net
