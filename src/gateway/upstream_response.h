#pragma once

#include "gateway/call_attributes.h"
#include "gateway/event_relay.h"
#include "gateway/pause_meter.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing::gateway {

/// What upstreams have answered to one request so far: the head of the latest, and its body, which is held as
/// a whole or cut into events. The events of a stream go on from one upstream to the next.
class UpstreamResponse {
public:
    /// The request is sent. Forgets the answer of an earlier upstream, but not which events have arrived.
    void begin();
    /// @param requestId of the request that was sent; a success must name it.
    void headArrived(ResponseAttributes attributes, HttpHeaders headers, const std::string& requestId);
    /// @return whole events that are to be passed on.
    std::string bodyArrived(std::string_view bytes, MonotonicTime now);
    /// Forgets an event that was cut off.
    void discardIncompleteEvent() { m_events.discardPartialEvent(); }

    /// @return the head, or nothing before it has arrived.
    const std::optional<ResponseAttributes>& attributes() const { return m_attributes; }
    const HttpHeaders& headers() const { return m_headers; }
    /// @return whether a head has arrived that belongs to the request.
    bool matchesRequest() const { return m_attributes && !m_isMismatched; }
    bool isSuccess() const;
    /// @return whether it is a series of events and a success.
    bool isStream() const { return m_attributes && m_attributes->isEventStream && isSuccess(); }
    /// @return whether it is a success that its upstream does not vouch for.
    bool isUnverified() const;
    /// @return whether more has arrived than any answer holds, so that its end will not come.
    bool exceedsSizeLimit() const
    {
        return m_unforwardedBytes > maximumBodyBytes || m_events.exceedsSizeLimit();
    }
    /// @return bytes that have not been passed on as events.
    size_t unforwardedBytes() const { return m_unforwardedBytes + m_events.remainder().size(); }
    /// @return what has arrived and was not passed on as whole events.
    const std::string& remainingBody() const;
    const EventRelay& events() const { return m_events; }
    Duration longestPause() const { return m_pauses.longest(); }

private:
    /// Longest answer that is passed on as a whole rather than as a stream.
    static constexpr size_t maximumBodyBytes = 4 * 1024 * 1024;

    std::optional<ResponseAttributes> m_attributes;
    HttpHeaders m_headers;
    std::string m_body;
    /// Bytes of the body that are no events, those of a foreign answer included.
    size_t m_unforwardedBytes = 0;
    EventRelay m_events;
    PauseMeter m_pauses;
    bool m_isMismatched = false;
};

} // namespace lacewing::gateway
