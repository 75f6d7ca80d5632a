#pragma once

#include <cstddef>
#include <limits>
#include <utility>

namespace lacewing {

/// Counts the bytes of messages that a process holds, whoever holds them, against one limit.
///
/// Load pattern: each message is bounded, but many large ones at the same time exceed the memory of the
/// process, which is then killed with all that it has in hand.
///
/// The account refuses nothing by itself. Who is about to hold more asks fits() and decides what to do
/// instead.
class MemoryAccount {
public:
    /// @param limit in bytes.
    explicit MemoryAccount(size_t limit = std::numeric_limits<size_t>::max())
        : m_limit(limit)
    {
    }
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    void setLimit(size_t limit) { m_limit = limit; }
    size_t limit() const { return m_limit; }
    size_t held() const { return m_held; }
    /// @return whether that many bytes more are within the limit.
    bool fits(size_t bytes) const { return m_held <= m_limit && bytes <= m_limit - m_held; }

private:
    friend class MemoryCharge;

    size_t m_limit;
    size_t m_held = 0;
};

/// The bytes that one holder has in an account. They are returned when the charge is destroyed.
class MemoryCharge {
public:
    /// @param account must outlive the charge; null if nobody counts.
    explicit MemoryCharge(MemoryAccount* account)
        : m_account(account)
    {
    }
    ~MemoryCharge() { set(0); }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    size_t bytes() const { return m_bytes; }
    void set(size_t bytes)
    {
        const size_t before = std::exchange(m_bytes, bytes);
        if (m_account)
            m_account->m_held += bytes - before;
    }
    void add(size_t bytes) { set(m_bytes + bytes); }
    /// @return whether that many bytes more are within the account's limit.
    bool fits(size_t bytes) const { return !m_account || m_account->fits(bytes); }

private:
    MemoryAccount* m_account;
    size_t m_bytes = 0;
};

} // namespace lacewing
