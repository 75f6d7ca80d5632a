#include "gateway/response_flow.h"

#include <utility>

namespace lacewing::gateway {

namespace {

/// Memory of a response whose length isn't known is reserved in parts of this size.
constexpr size_t reservedPartBytes = 64 * 1024;
constexpr Duration slowCallerCheckInterval = std::chrono::milliseconds(100);

} // namespace

ResponseFlow::ResponseFlow(ResponseMemory& memory, Handlers handlers)
    : m_memory(memory)
    , m_handlers(std::move(handlers))
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
    m_memory.scheduler().cancel(std::exchange(m_slowCallerTimer, 0));
}

void ResponseFlow::release()
{
    m_isWaiting = false;
    m_reserved = 0;
    m_memory.scheduler().cancel(std::exchange(m_slowCallerTimer, 0));
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
    m_handlers.onGivenUp();
}

bool ResponseFlow::mustWaitForCaller() const
{
    return m_isCallerBehind && !m_memory.hasRoomForSlowCallers();
}

void ResponseFlow::checkSlowCallerLater()
{
    m_slowCallerTimer = m_memory.scheduler().runAfter(slowCallerCheckInterval, [this] {
        m_slowCallerTimer = 0;
        checkSlowCaller();
    });
}

void ResponseFlow::checkSlowCaller()
{
    if (!mustWaitForCaller()) {
        update();
        return;
    }
    m_memory.reportShortage();
    if (m_memory.scheduler().now() - m_slowCallerSince < longestPause)
        checkSlowCallerLater();
    else
        m_handlers.onCallerTooSlow();
}

void ResponseFlow::update()
{
    const bool isWaitingForCaller = mustWaitForCaller();
    if (m_call && isWaitingForCaller && m_slowCallerTimer == 0) {
        m_slowCallerSince = m_memory.scheduler().now();
        checkSlowCallerLater();
    }
    if (!isWaitingForCaller)
        m_memory.scheduler().cancel(std::exchange(m_slowCallerTimer, 0));
    const bool mustPause = m_isWaiting || isWaitingForCaller || m_isHeld;
    if (!m_call || mustPause == std::exchange(m_isPaused, mustPause))
        return;
    if (mustPause)
        m_call->pauseReading();
    else
        m_call->resumeReading();
}

} // namespace lacewing::gateway
