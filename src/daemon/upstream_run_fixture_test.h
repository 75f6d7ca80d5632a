#pragma once

#include "daemon/upstream_run.h"
#include "protocol/call_ids.h"
#include "transport/http_test_support.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// Runs requests on an upstream whose answers the test writes byte by byte.
struct UpstreamRunFixture {
    using MakeRun = std::unique_ptr<UpstreamRun> (*)(
        HttpClient&, const UpstreamTarget&, const RunRequest&, UpstreamRun::Listener);

    /// Starts a run, and drops the run before it.
    void start(MakeRun makeRun, int64_t resumeFrom = 0)
    {
        bytes.clear();
        end.reset();
        UpstreamTarget target;
        target.address = server.address();
        callId = "call-" + std::to_string(++m_calls);
        target.callId = callId;
        RunRequest request;
        request.stream = StreamId(1);
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = R"({"prompt":"x"})";
        request.resumeFrom = resumeFrom;
        run = makeRun(*client, target, request,
            { [this](const RunChunk& chunk) { bytes += chunk.bytes; },
                [this](const RunEnd& ended) { end = ended; } });
        run->start();
    }

    /// Waits for a number of requests on one connection.
    ///
    /// @return the upstream's end of the connection.
    RawPeer& accept(size_t connection = 0, size_t requests = 1)
    {
        runUntil(loop, [&] {
            return server.peers.size() > connection
                && requestsIn(server.peers[connection]->all()) == requests;
        });
        return *server.peers[connection];
    }

    /// @return the answer with a header field that names a call.
    static std::string named(const std::string& answer, const std::string& call)
    {
        const size_t headersStart = answer.find("\r\n") + 2;
        return answer.substr(0, headersStart) + callIdField + ": " + call + "\r\n"
            + answer.substr(headersStart);
    }

    void finish()
    {
        runUntil(loop, [this] { return end.has_value(); });
    }

    EventLoop loop;
    RawServer server { loop };
    std::unique_ptr<HttpClient> client = HttpClient::create(loop);
    /// Id of the run.
    std::string callId;
    /// What the run has passed on.
    std::string bytes;
    std::optional<RunEnd> end;
    std::unique_ptr<UpstreamRun> run;

private:
    static size_t requestsIn(const std::string& text)
    {
        constexpr std::string_view bodyEnd = "}";
        size_t count = 0;
        for (size_t at = text.find(bodyEnd); at != std::string::npos; at = text.find(bodyEnd, at + 1))
            ++count;
        return count;
    }

    int m_calls = 0;
};

} // namespace lacewing
