#pragma once

#include "base/memory_account.h"

#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/// The body of a request, which all who need it share. It is charged to an account until the last of them
/// lets it go.
class HttpBody {
public:
    /// @param account must outlive the body; null if nobody counts.
    explicit HttpBody(MemoryAccount* account)
        : m_charge(account)
    {
    }

    const std::string& bytes() const { return m_bytes; }
    /// Charges the whole body before it arrives.
    void expect(size_t bytes)
    {
        m_charge.set(bytes);
        m_bytes.reserve(bytes);
    }
    void append(std::string_view bytes)
    {
        m_bytes += bytes;
        if (m_bytes.size() > m_charge.bytes())
            m_charge.set(m_bytes.size());
    }

    /// @return the bytes of a body, which keep it alive.
    static std::shared_ptr<const std::string> share(const std::shared_ptr<HttpBody>& body)
    {
        return { body, &body->m_bytes };
    }

private:
    MemoryCharge m_charge;
    std::string m_bytes;
};

} // namespace lacewing
