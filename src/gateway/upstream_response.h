#pragma once

#include "gateway/call_attributes.h"
#include "gateway/event_relay.h"
#include "gateway/pause_meter.h"
#include "gateway/run_statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing::gateway {

/// What marks the end of a response's body.
enum class BodyFraming {
    /// The response has no body.
    None,
    Length,
    Chunks,
    /// The end of the connection; whatever the upstream sends before it belongs to the body.
    ConnectionClose,
};

/// @return the framing's name in snake_case, for logs.
const char* toString(BodyFraming framing);

/// Receives the responses of upstreams to one request.
///
/// Keeps the head of the latest response and either buffers its body or splits it into events to forward. The
/// events of a resumed stream continue from one upstream to the next.
///
/// Load pattern: a failing upstream sends a response to another request, an earlier refusal again, a response
/// without a seal, or one whose body never ends, breaks off inside an event or goes on with text that is no
/// event.
class UpstreamResponse {
public:
    /// @param format of the events of a stream; must outlive the response.
    explicit UpstreamResponse(const EventFormat& format)
        : m_events(format)
    {
    }

    /// Resets the response before the request is sent, but keeps track of the complete events that have
    /// arrived.
    void begin();
    /// @param request the request that was sent. A response must have its id. Only a failure may lack one,
    /// and only on a connection that no other request has used, since on a reused one it may be an earlier
    /// response that the upstream has written once more. A response with several ids is that of no request.
    void headArrived(ResponseAttributes attributes, HttpHeaders headers, const SentRequest& request);
    /// The response has ended as far as it goes.
    ///
    /// @param hasFieldsOutsideHead whether fields came in an interim response or a trailer.
    void ended(bool hasFieldsOutsideHead);
    /// @return complete events to forward to the caller.
    std::string bodyArrived(std::string_view bytes, MonotonicTime now);

    /// @return the attributes of the head, or nothing before it has arrived.
    const std::optional<ResponseAttributes>& attributes() const { return m_attributes; }
    const HttpHeaders& headers() const { return m_headers; }
    /// @return what marks the end of the body according to the head.
    BodyFraming framing() const { return m_framing; }
    /// @return whether the response, if it ends here without an error, is whole as far as can be seen, but
    /// nothing in it marks its end. The connections of a process that ends are closed in the same way.
    bool hasUnmarkedEnd() const { return matchesRequest() && m_framing == BodyFraming::ConnectionClose; }
    /// @return whether a head has arrived that belongs to another request.
    bool isForeign() const { return m_attributes && m_isMismatched; }
    /// @return whether a head has arrived and belongs to the request that was sent.
    bool matchesRequest() const { return m_attributes && !m_isMismatched; }
    bool isSuccess() const;
    /// @return what the response says of whether its upstream has run the request.
    const StatementReading& reading() const { return m_reading; }
    /// @return whether the response is a successful event stream that can be read.
    bool isStream() const
    {
        return m_expectsEvents && isSuccess() && m_attributes->isEventStream
            && !m_attributes->hasContentEncoding;
    }
    /// @return whether the response is a success that must not be forwarded, since it lacks the upstream's
    /// seal or has a content encoding.
    bool isUnverified() const;
    /// @return whether the body of a stream, if it ends here, is not that of a whole stream: it does not end
    /// with an event, or it has none. An engine that has run a request has made one. Comments may follow the
    /// last event, but where nothing marks the end of the body, a comment without an empty line after it may
    /// be the beginning of an event.
    bool isCutOff() const;
    /// @return whether the body exceeds the maximum size of a response or of an event.
    bool exceedsSizeLimit() const
    {
        return m_unforwardedBytes > maximumBodyBytes || m_events.exceedsSizeLimit();
    }
    /// @return number of bytes that the response takes until it can be forwarded, as far as is known: the
    /// length that it states, or what has arrived and not been returned as events.
    size_t expectedBytes() const;
    /// @return number of bytes that have not been returned as events.
    size_t unforwardedBytes() const { return m_unforwardedBytes + m_events.remainder().size(); }
    /// @return the part of the body that has not been returned as events.
    const std::string& remainingBody() const;
    const EventRelay& events() const { return m_events; }
    /// @return id of the last event that was returned, or nothing if none was.
    std::optional<std::string> lastEventId() const;
    Duration longestPause() const { return m_pauses.longest(); }

private:
    /// @return whether the body is split into events.
    bool carriesEvents() const;
    BodyFraming readFraming(bool isHeadRequest) const;

    /// Maximum size of a response that is not forwarded as a stream.
    static constexpr size_t maximumBodyBytes = 4 * 1024 * 1024;

    std::optional<ResponseAttributes> m_attributes;
    HttpHeaders m_headers;
    StatementReading m_reading;
    std::string m_body;
    size_t m_statedLength = 0;
    /// Bytes of the body that are not events, including those of a response to another request.
    size_t m_unforwardedBytes = 0;
    EventRelay m_events;
    PauseMeter m_pauses;
    BodyFraming m_framing = BodyFraming::None;
    bool m_isMismatched = false;
    bool m_expectsEvents = false;
};

} // namespace lacewing::gateway
