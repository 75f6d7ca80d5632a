#include "gateway/response_flow.h"

#include <utility>

namespace lacewing::gateway {

namespace {

/// Memory of a response whose length isn't known is reserved in parts of this size.
constexpr size_t reservedPartBytes = 64 * 1024;

} // namespace

ResponseFlow::ResponseFlow(ResponseMemory& memory, std::function<void()> givenUp)
    : m_memory(memory)
    , m_givenUp(std::move(givenUp))
{
}

ResponseFlow::~ResponseFlow()
{
    release();
}

void ResponseFlow::begin(HttpClientCall& call)
{
    release();
    m_call = &call;
    m_isCallerBehind = false;
    m_isHeld = false;
    m_isPaused = false;
}

void ResponseFlow::end()
{
    m_call = nullptr;
}

void ResponseFlow::release()
{
    m_isWaiting = false;
    m_reserved = 0;
    m_memory.release(*this);
}

void ResponseFlow::needs(size_t bytes)
{
    constexpr size_t small = ResponseMemory::smallResponseBytes;
    // The events of a stream need a look at its memory only if one of them is large.
    if (bytes <= small && m_reserved == small)
        return;
    const size_t parts = (bytes + reservedPartBytes - 1) / reservedPartBytes;
    m_reserved = bytes <= small ? small : parts * reservedPartBytes;
    m_isWaiting = !m_memory.reserve(*this, m_reserved);
    update();
}

void ResponseFlow::setCallerBehind(bool isBehind)
{
    m_isCallerBehind = isBehind;
    update();
}

void ResponseFlow::setHeld(bool isHeld)
{
    m_isHeld = isHeld;
    update();
}

void ResponseFlow::memoryGranted()
{
    m_isWaiting = false;
    update();
}

void ResponseFlow::memoryRevoked()
{
    m_givenUp();
}

void ResponseFlow::update()
{
    const bool mustPause = m_isWaiting || m_isCallerBehind || m_isHeld;
    if (!m_call || mustPause == std::exchange(m_isPaused, mustPause))
        return;
    if (mustPause)
        m_call->pauseReading();
    else
        m_call->resumeReading();
}

} // namespace lacewing::gateway
