#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace heatherroute::net
{

/// The sizes of a memory_budget, in bytes.
struct memory_budget_limits
{
    std::size_t limitBytes = 0; ///< Of everything that is counted.
    std::size_t smallReserveBytes = 0; ///< Part of the limit that only small holders and responses may use.
    std::size_t answerBytes = 0; ///< Of all collected responses together.
    bool operator==(const memory_budget_limits &) const = default;
};

/// The budget of a process on a VM with @p memoryBytes. Resident memory stays under three quarters of the VM's; the part of it that is not counted
/// is left for code, stacks, tables and fragmentation. Thread safe.
memory_budget_limits budgetLimitsFor(std::uint64_t memoryBytes) noexcept;

/// The physical memory that the system reports, in bytes. Thread safe.
std::uint64_t systemMemoryBytes() noexcept;

/// The number of descriptors that the process may open. Thread safe.
std::uint64_t processDescriptorLimit() noexcept;

/// Maximum numbers of connections by listener. The remaining descriptors are left for upstreams, peers, the store and files.
struct connection_shares
{
    std::size_t callers = 0;
    std::size_t entries = 0; ///< Requests that other entries forward.
    std::size_t others = 0; ///< Each of the listeners for the directory, readiness checks and operators.
    bool operator==(const connection_shares &) const = default;
};

/// Divides @p descriptors among the listeners of a process. Thread safe.
connection_shares connectionSharesOf(std::uint64_t descriptors) noexcept;

class memory_share;

/**
 * The memory that connections, requests and responses of a process may hold together.
 *
 * Answers the load pattern of many callers that each stay within the limits of a request but exceed the memory of the process together. When a
 * reservation doesn't fit, the holder with an incomplete request that holds the most and has made the least progress is asked to give up. Thread safe.
 */
class memory_budget
{
public:
    /// A holder of at most this size may use the reserve for small requests.
    static constexpr std::size_t kSmallBytes = std::size_t{64} * 1024;

    static std::shared_ptr<memory_budget> make(const memory_budget_limits &limits);
    /// A budget without a reserve in which responses may use everything.
    static std::shared_ptr<memory_budget> make(std::size_t limitBytes);
    memory_budget(const memory_budget &) = delete;
    memory_budget &operator=(const memory_budget &) = delete;

    /// The bytes that are reserved.
    std::size_t used() const;
    /// The number of holders that were asked to give up.
    std::uint64_t evictions() const;
    const memory_budget_limits &limits() const noexcept
    {
        return m_limits;
    }

private:
    friend class memory_share;
    explicit memory_budget(const memory_budget_limits &limits);

    /// Asks one holder to give up. Returns its hook, to be called without the lock; empty for none.
    std::function<void()> chooseVictim();
    /// Whether freed blocks should be returned to the system now.
    bool isTrimDue();

    const memory_budget_limits m_limits;
    mutable std::mutex m_mutex;
    std::size_t m_used = 0;
    std::size_t m_answers = 0;
    std::uint64_t m_evictions = 0;
    std::set<memory_share *> m_evictable; ///< Shares with a hook.
    std::chrono::steady_clock::time_point m_nextEviction{};
    std::chrono::steady_clock::time_point m_nextTrim{};
};

/// What a share of the budget is held for.
enum class memory_use : std::uint8_t {
    Request, ///< A connection and its request.
    Answer, ///< A collected response.
};

/**
 * The part of a budget that one connection or response holds. The destructor returns it.
 *
 * One thread at a time may use a share; its hook may be called on any thread.
 */
class memory_share
{
public:
    /// @p budget may be null: everything fits then. @p onEvicted is called when an incomplete request should give up; it must not block or throw,
    /// and may be called after the destruction of this share. It may be empty.
    memory_share(std::shared_ptr<memory_budget> budget, memory_use use, std::function<void()> onEvicted = {});
    ~memory_share();
    memory_share(const memory_share &) = delete;
    memory_share &operator=(const memory_share &) = delete;

    /// Changes what is held to @p bytes in total. Returns false, without a change, when that does not fit.
    bool tryResize(std::size_t bytes);
    /// As above, for memory that is held already: always succeeds.
    void resize(std::size_t bytes);
    /// Whether the request is incomplete, so that this holder may be asked to give up.
    void setIncomplete(bool isIncomplete) noexcept;
    /// Records that the incomplete request has made progress.
    void noteProgress() noexcept;

    /// The bytes held in total.
    std::size_t held() const noexcept
    {
        return m_held;
    }

private:
    friend class memory_budget;

    void change(std::size_t bytes);

    std::shared_ptr<memory_budget> m_budget;
    memory_use m_use;
    std::function<void()> m_onEvicted;
    std::size_t m_held = 0; ///< Written under the lock of the budget.
    std::atomic<bool> m_isIncomplete{false};
    std::atomic<std::int64_t> m_progressAt{0}; ///< Nanoseconds of the steady clock.
};

} // namespace heatherroute::net
