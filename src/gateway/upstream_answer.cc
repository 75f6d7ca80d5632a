#include "gateway/upstream_answer.h"

#include <utility>

namespace lacewing::gateway {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;

} // namespace

void UpstreamAnswer::begin()
{
    m_attributes.reset();
    m_headers = HttpHeaders();
    m_body.clear();
    m_heldBytes = 0;
    m_pauses.restart();
    m_isForeign = false;
}

void UpstreamAnswer::headArrived(
    AnswerAttributes attributes, HttpHeaders headers, const std::string& requestId)
{
    m_attributes = std::move(attributes);
    m_headers = std::move(headers);
    const std::string& named = m_attributes->requestId;
    m_isForeign = named != requestId && (isSuccess() || !named.empty());
}

std::string UpstreamAnswer::bodyArrived(std::string_view bytes, MonotonicTime now)
{
    if (!m_attributes)
        return "";
    const bool isRelayed = isStream() && (m_attributes->isSealed || m_events.hasEvents());
    if (!isRelayed || m_isForeign) {
        m_heldBytes += bytes.size();
        if (!m_isForeign && !isEndless())
            m_body += bytes;
        return "";
    }
    std::string events = m_events.accept(bytes);
    if (!events.empty())
        m_pauses.event(now);
    return events;
}

bool UpstreamAnswer::isSuccess() const
{
    return m_attributes && m_attributes->status >= firstSuccess && m_attributes->status < firstRedirection;
}

bool UpstreamAnswer::isUnvouched() const
{
    return isSuccess() && (!m_attributes->isSealed || m_attributes->hasContentEncoding);
}

const std::string& UpstreamAnswer::rest() const
{
    return m_attributes && m_attributes->isEventStream ? m_events.remainder() : m_body;
}

} // namespace lacewing::gateway
