#include "gateway/response_memory.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(100);
constexpr Duration shortageInterval = std::chrono::milliseconds(500);
/// A response that makes no progress for this time while others wait is given up.
constexpr Duration longestStall = std::chrono::seconds(1);

} // namespace

ResponseMemory::ResponseMemory(Scheduler& scheduler, MemoryAccount& account, Handlers handlers)
    : m_scheduler(scheduler)
    , m_account(account)
    , m_handlers(std::move(handlers))
{
}

ResponseMemory::~ResponseMemory()
{
    m_scheduler.cancel(m_timer);
}

ResponseMemory::Entries::iterator ResponseMemory::find(const Holder& holder)
{
    return std::find_if(m_entries.begin(), m_entries.end(),
        [&holder](const Entry& entry) { return entry.holder == &holder; });
}

ResponseMemory::Entries::iterator ResponseMemory::firstWaiting()
{
    return std::find_if(
        m_entries.begin(), m_entries.end(), [](const Entry& entry) { return entry.wanted > 0; });
}

size_t ResponseMemory::waitingCount() const
{
    return static_cast<size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const Entry& entry) { return entry.wanted > 0; }));
}

bool ResponseMemory::reserve(Holder& holder, size_t bytes)
{
    auto entry = find(holder);
    if (entry == m_entries.end())
        entry = m_entries.emplace(m_entries.begin(), holder, m_account, m_scheduler.now());
    entry->progressed = m_scheduler.now();
    const size_t reserved = entry->charge.bytes();
    if (bytes <= reserved)
        return entry->wanted == 0;
    const bool isNext = firstWaiting() == m_entries.end();
    if (bytes <= smallResponseBytes || (isNext && m_account.fits(bytes - reserved))) {
        entry->charge.set(bytes);
        return true;
    }
    const bool isWaiting = entry->wanted > 0;
    entry->wanted = bytes;
    if (!isWaiting)
        m_entries.splice(m_entries.end(), m_entries, entry);
    checkAfter(checkInterval);
    return false;
}

void ResponseMemory::release(Holder& holder)
{
    const auto entry = find(holder);
    if (entry == m_entries.end())
        return;
    m_entries.erase(entry);
    if (firstWaiting() == m_entries.end())
        return;
    // Later, since the holder may be inside a callback of its connection.
    m_scheduler.cancel(std::exchange(m_timer, 0));
    checkAfter(Duration::zero());
}

void ResponseMemory::grantWaiting()
{
    for (auto entry = firstWaiting(); entry != m_entries.end(); entry = firstWaiting()) {
        if (!m_account.fits(entry->wanted - entry->charge.bytes()))
            return;
        entry->charge.set(std::exchange(entry->wanted, 0));
        entry->progressed = m_scheduler.now();
        m_entries.splice(m_entries.begin(), m_entries, entry);
        entry->holder->memoryGranted();
    }
}

ResponseMemory::Entries::iterator ResponseMemory::stalled()
{
    auto longest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (entry->charge.bytes() <= smallResponseBytes)
            continue;
        // Those that wait aren't read, so their lack of progress counts only if all have memory and wait.
        const bool isFirst = longest == m_entries.end();
        if (!isFirst && entry->wanted > 0 && longest->wanted == 0)
            break;
        if (isFirst || entry->progressed < longest->progressed)
            longest = entry;
    }
    const bool isStalled
        = longest != m_entries.end() && m_scheduler.now() - longest->progressed >= longestStall;
    return isStalled ? longest : m_entries.end();
}

void ResponseMemory::checkAfter(Duration delay)
{
    if (m_timer != 0)
        return;
    m_timer = m_scheduler.runAfter(delay, [this] {
        m_timer = 0;
        check();
    });
}

void ResponseMemory::check()
{
    grantWaiting();
    if (firstWaiting() == m_entries.end())
        return;
    const MonotonicTime now = m_scheduler.now();
    if (now >= m_nextShortage) {
        m_nextShortage = now + shortageInterval;
        m_handlers.onShortage();
    }
    const auto longest = stalled();
    if (longest != m_entries.end()) {
        // It is the next one to be given up only if it makes no progress again.
        longest->progressed = now;
        longest->holder->memoryRevoked();
    }
    checkAfter(checkInterval);
}

} // namespace lacewing::gateway
