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
class UpstreamAnswer {
public:
    /// The request is sent. Forgets the answer of an earlier upstream, but not which events have arrived.
    void begin();
    /// @param requestId of the request that was sent; a success must name it.
    void headArrived(AnswerAttributes attributes, HttpHeaders headers, const std::string& requestId);
    /// @return whole events that are to be passed on.
    std::string bodyArrived(std::string_view bytes, MonotonicTime now);
    /// Forgets an event that was cut off.
    void cutOff() { m_events.restart(); }

    /// @return the head, or nothing before it has arrived.
    const std::optional<AnswerAttributes>& attributes() const { return m_attributes; }
    const HttpHeaders& headers() const { return m_headers; }
    /// @return whether a head has arrived that belongs to the request.
    bool isOwn() const { return m_attributes && !m_isForeign; }
    bool isSuccess() const;
    /// @return whether it is a series of events and a success.
    bool isStream() const { return m_attributes && m_attributes->isEventStream && isSuccess(); }
    /// @return whether it is a success that its upstream does not vouch for.
    bool isUnvouched() const;
    /// @return whether more has arrived than any answer holds, so that its end will not come.
    bool isEndless() const { return m_heldBytes > maximumHeldBytes || m_events.isEndless(); }
    /// @return bytes that have not been passed on as events.
    size_t heldBytes() const { return m_heldBytes + m_events.remainder().size(); }
    /// @return what has arrived and was not passed on as whole events.
    const std::string& rest() const;
    const EventRelay& events() const { return m_events; }
    Duration longestPause() const { return m_pauses.longest(); }

private:
    /// Longest answer that is passed on as a whole rather than as a stream.
    static constexpr size_t maximumHeldBytes = 4 * 1024 * 1024;

    std::optional<AnswerAttributes> m_attributes;
    HttpHeaders m_headers;
    std::string m_body;
    /// Bytes of the body that are no events, those of a foreign answer included.
    size_t m_heldBytes = 0;
    EventRelay m_events;
    PauseMeter m_pauses;
    bool m_isForeign = false;
};

} // namespace lacewing::gateway
