#pragma once

#include "transport/http_client.h"

#include <cstdint>
#include <memory>

namespace lacewing {

/// Bytes of an answer that may be on their way to the entry without its credit.
constexpr int64_t initialWindowBytes = 256 * 1024;

/// Stops reading from an upstream while the entry has not given credit for what was sent to it.
class FlowWindow {
public:
    /// Takes bytes out of the window.
    void consume(size_t bytes, HttpClientCall& call)
    {
        m_bytes -= static_cast<int64_t>(bytes);
        if (m_bytes <= 0)
            call.pauseReading();
    }

    /// Adds the entry's credit.
    ///
    /// @param call null if the call has not been sent yet.
    void add(int64_t bytes, HttpClientCall* call)
    {
        const bool wasClosed = m_bytes <= 0;
        m_bytes += bytes;
        if (wasClosed && m_bytes > 0 && call)
            call->resumeReading();
    }

private:
    int64_t m_bytes = initialWindowBytes;
};

} // namespace lacewing
