#pragma once

#include "replay/answer_reader.h"
#include "replay/host_directory.h"
#include "transport/event_loop.h"

#include <memory>
#include <vector>

namespace lacewing {

/// Sends the requests of a trace at their times and collects how each of them ends.
class TracePlayer {
public:
    /// @param speed divides the times of the trace.
    TracePlayer(EventLoop& loop, HttpClient& client, HostDirectory& hosts, double speed);
    ~TracePlayer();

    /// Replays a trace; returns when every request has ended.
    ///
    /// @param requests must outlive the call.
    /// @return one result per request, in the same order.
    std::vector<RequestResult> play(const std::vector<PreparedRequest>& requests);

private:
    class Caller;

    EventLoop& m_loop;
    HttpClient& m_client;
    HostDirectory& m_hosts;
    double m_speed;
    MonotonicTime m_start;
    size_t m_left = 0;
};

} // namespace lacewing
