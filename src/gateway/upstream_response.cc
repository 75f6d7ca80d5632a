#include "gateway/upstream_response.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lacewing::gateway {

namespace {

constexpr int firstSuccess = 200;
constexpr int statusNoContent = 204;
constexpr int firstRedirection = 300;
constexpr int statusNotModified = 304;

/// @return the length that the head states; 0 if it states none.
size_t statedLength(const HttpHeaders& headers)
{
    const std::string text = headers.find("Content-Length").value_or("");
    size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

} // namespace

const char* toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::ConnectionClose:
        return "connection_close";
    }
    return "unknown";
}

void UpstreamResponse::begin()
{
    m_attributes.reset();
    m_headers = HttpHeaders();
    m_reading = {};
    m_body.clear();
    m_unforwardedBytes = 0;
    // An event is never joined from the responses of two upstreams.
    m_events.beginResponse();
    m_pauses.restart();
    m_framing = BodyFraming::None;
    m_isMismatched = false;
}

void UpstreamResponse::headArrived(
    ResponseAttributes attributes, HttpHeaders headers, const SentRequest& request)
{
    m_attributes = std::move(attributes);
    m_headers = std::move(headers);
    m_expectsEvents = request.expectsEvents && !request.isHead;
    m_framing = readFraming(request.isHead);
    m_statedLength = statedLength(m_headers);
    const std::string& id = m_attributes->requestId;
    const bool needsId = isSuccess() || request.isOnReusedConnection;
    const bool isOther = id != request.id && (needsId || !id.empty());
    // Without ids an earlier response on the connection can't be told from this one.
    const bool isUnnamed = id.empty() && request.isOnReusedConnection;
    m_isMismatched = m_attributes->hasConflictingIds || isOther || isUnnamed;
    m_reading = readStatement(*m_attributes, request);
}

void UpstreamResponse::ended(bool hasFieldsOutsideHead)
{
    // They may say anything of the run, and no rejection has them.
    if (hasFieldsOutsideHead && m_reading.statement == RunStatement::NotExecuted)
        m_reading = { RunStatement::Contradictory, StatementConflict::FieldsOutsideHead };
}

std::string UpstreamResponse::bodyArrived(std::string_view bytes, MonotonicTime now)
{
    if (!m_attributes)
        return "";
    if (!carriesEvents() || m_isMismatched) {
        m_unforwardedBytes += bytes.size();
        if (!m_isMismatched && !exceedsSizeLimit())
            m_body += bytes;
        return "";
    }
    std::string events = m_events.accept(bytes);
    if (!events.empty())
        m_pauses.event(now);
    return events;
}

bool UpstreamResponse::carriesEvents() const
{
    return isStream() && (m_attributes->isSealed || m_events.hasEvents());
}

size_t UpstreamResponse::expectedBytes() const
{
    if (isForeign())
        return 0;
    const bool isKnown = m_framing == BodyFraming::Length && !carriesEvents();
    return std::max(unforwardedBytes(), isKnown ? std::min(m_statedLength, maximumBodyBytes) : 0);
}

BodyFraming UpstreamResponse::readFraming(bool isHeadRequest) const
{
    const int status = m_attributes->status;
    if (isHeadRequest || status == statusNoContent || status == statusNotModified)
        return BodyFraming::None;
    if (m_headers.count("Transfer-Encoding") > 0)
        return BodyFraming::Chunks;
    return m_headers.count("Content-Length") > 0 ? BodyFraming::Length : BodyFraming::ConnectionClose;
}

bool UpstreamResponse::isSuccess() const
{
    return m_attributes && m_attributes->status >= firstSuccess && m_attributes->status < firstRedirection;
}

bool UpstreamResponse::isUnverified() const
{
    return isSuccess() && (!m_attributes->isSealed || m_attributes->hasContentEncoding);
}

std::optional<std::string> UpstreamResponse::lastEventId() const
{
    const auto& id = m_events.lastId();
    return id ? std::make_optional(id->text) : std::nullopt;
}

bool UpstreamResponse::isCutOff() const
{
    if (!carriesEvents())
        return false;
    if (hasUnmarkedEnd() && !m_events.endsWithEmptyLine())
        return true;
    return m_events.endsInsideEvent() || !m_events.hasResponseEvents();
}

const std::string& UpstreamResponse::remainingBody() const
{
    return carriesEvents() ? m_events.remainder() : m_body;
}

} // namespace lacewing::gateway
