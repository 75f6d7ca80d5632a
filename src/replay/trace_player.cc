#include "replay/trace_player.h"

#include <chrono>

namespace lacewing {

namespace {

/// Longer than the longest start deadline of a route, so that the system's own bounds strike first.
constexpr Duration answerTimeout = std::chrono::seconds(120);

} // namespace

/// One caller: finds a host, sends its request, and takes the next host only if nothing was sent.
class TracePlayer::Caller {
public:
    Caller(TracePlayer& player, const PreparedRequest& request, RequestResult& result)
        : m_player(player)
        , m_request(request)
        , m_result(result)
        , m_reader(request, result)
    {
    }

    void start()
    {
        m_result.sentAt = sinceStart();
        m_player.m_hosts.hosts(m_request.trace.dataCentre, [this](const HostDirectory::Addresses& hosts) {
            m_hosts = hosts;
            send();
        });
    }

private:
    Duration sinceStart() const { return m_player.m_loop.now() - m_player.m_start; }

    void send()
    {
        if (static_cast<size_t>(m_result.connectFailures) >= m_hosts.size())
            return giveUp();
        const auto index = static_cast<size_t>(m_request.trace.hostRank + m_result.connectFailures);
        HttpClientRequest request;
        request.server = m_hosts[index % m_hosts.size()];
        request.method = "POST";
        request.target = m_request.target;
        request.body = m_request.body;
        request.progressTimeout = answerTimeout;
        // A pooled connection may be closed by its host just now, which would leave the outcome unknown.
        request.maximumIdleAge = Duration::zero();
        request.headers.add("Content-Type", m_request.isCompletion() ? "application/json" : "text/plain");
        if (!m_request.keyText.empty())
            request.headers.add("Authorization", "Bearer " + m_request.keyText);
        if (!m_request.trace.requestId.empty())
            request.headers.add("Idempotency-Key", m_request.trace.requestId);
        HttpClientHandlers handlers;
        handlers.onHeaders
            = [this](int status, const HttpHeaders& headers) { m_reader.receiveHeaders(status, headers); };
        handlers.onBody = [this](std::string_view bytes) { receive(bytes); };
        handlers.onDone = [this](const HttpClientResult& result) { finish(result); };
        m_call = m_player.m_client.send(std::move(request), std::move(handlers));
    }

    void receive(std::string_view bytes)
    {
        if (m_isLeaving)
            return;
        m_reader.receive(bytes, sinceStart());
        if (!m_reader.shouldCancel())
            return;
        m_isLeaving = true;
        m_call->cancel();
    }

    void finish(const HttpClientResult& result)
    {
        if (result.error && !result.requestSent) {
            ++m_result.connectFailures;
            // Not from within the callback of the call that is replaced.
            m_player.m_loop.runAfter(Duration::zero(), [this] { send(); });
            return;
        }
        m_reader.finish(result.error, m_isLeaving, sinceStart());
        ended();
    }

    void giveUp()
    {
        m_result.ending = RequestEnding::RefusedNotRun;
        m_result.code = "no_host";
        m_result.endedAt = m_result.firstTokenAt = sinceStart();
        ended();
    }

    void ended()
    {
        if (--m_player.m_left == 0)
            m_player.m_loop.stop();
    }

    TracePlayer& m_player;
    const PreparedRequest& m_request;
    RequestResult& m_result;
    AnswerReader m_reader;
    HostDirectory::Addresses m_hosts;
    bool m_isLeaving = false;
    std::unique_ptr<HttpClientCall> m_call;
};

TracePlayer::TracePlayer(EventLoop& loop, HttpClient& client, HostDirectory& hosts, double speed)
    : m_loop(loop)
    , m_client(client)
    , m_hosts(hosts)
    , m_speed(speed)
{
}

TracePlayer::~TracePlayer() = default;

std::vector<RequestResult> TracePlayer::play(const std::vector<PreparedRequest>& requests)
{
    std::vector<RequestResult> results(requests.size());
    std::vector<std::unique_ptr<Caller>> callers;
    m_start = m_loop.now();
    m_left = requests.size();
    for (size_t i = 0; i < requests.size(); ++i) {
        callers.push_back(std::make_unique<Caller>(*this, requests[i], results[i]));
        const auto at = static_cast<double>(requests[i].trace.atMs) / m_speed;
        m_loop.runAfter(
            Duration(static_cast<int64_t>(at * 1e6)), [caller = callers.back().get()] { caller->start(); });
    }
    if (m_left > 0)
        m_loop.run();
    return results;
}

} // namespace lacewing
