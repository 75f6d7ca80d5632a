#include "daemon/entry_service.h"

#include "state/refusal.h"

namespace lacewing {

namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusUnavailable = 503;
constexpr Duration staleRetry = std::chrono::seconds(2);

} // namespace

EntryService::EntryService(EntryContext context, HostId host, const KeyRing& keys, ConfigurationSource source)
    : m_context(std::move(context))
    , m_host(std::move(host))
    , m_keys(keys)
    , m_source(std::move(source))
    , m_validator([this](const std::string& key) -> std::optional<ResolvedKey> {
        const KeyConfig* found = m_keys.find(key);
        if (!found)
            return std::nullopt;
        return ResolvedKey { found->workspace, found->hash };
    })
{
}

EntryService::~EntryService()
{
    m_context.scheduler.cancel(m_cleanupTimer);
}

void EntryService::handle(std::shared_ptr<HttpExchange> exchange)
{
    std::optional<AdmittedRequest> request = m_validator.validate(*exchange, m_source.configuration());
    std::optional<RefusalAnswer> refused;
    if (!request)
        refused = m_validator.refusal();
    const bool isKeyed = exchange->headers().count("Authorization") > 0;
    if (isKeyed && !m_source.keyedRoutesOpen()) {
        // Overrides a rejection by the validator too, because a newer configuration might admit the request.
        refused = RefusalAnswer { statusUnavailable, std::string(refusal::configurationStale),
            "this host can't confirm that its configuration is current", Outcome::RefusedNotRun, staleRetry };
    }
    if (refused) {
        ++m_context.metrics.counter("lacewing_refusals_total", { { "reason", refused->code } });
        ++m_context.metrics.counter("lacewing_requests_total", { { "outcome", toString(refused->outcome) } });
        return sendErrorResponse(*exchange, *refused);
    }
    const uint64_t id = m_nextId++;
    EntryContext context = m_context;
    context.newStream = [this, id] { return newStream(id); };
    context.streamEnded = [this](StreamId stream) { m_streams.erase(stream); };
    auto entry = std::make_unique<EntryRequest>(std::move(context), std::move(exchange), std::move(*request),
        m_host.value() + "-" + std::to_string(id), [this, id] { finished(id); });
    EntryRequest& started = *entry;
    m_requests.emplace(id, std::move(entry));
    started.start();
}

StreamId EntryService::newStream(uint64_t id)
{
    const StreamId stream(m_nextStream++);
    m_streams[stream] = id;
    return stream;
}

EntryRequest* EntryService::find(StreamId stream)
{
    const auto id = m_streams.find(stream);
    if (id == m_streams.end())
        return nullptr;
    const auto request = m_requests.find(id->second);
    return request == m_requests.end() ? nullptr : request->second.get();
}

void EntryService::received(const HostId& owner, const RunChunk& chunk)
{
    if (EntryRequest* request = find(chunk.stream))
        request->received(owner, chunk);
}

void EntryService::received(const HostId& owner, const RunEnd& end)
{
    if (EntryRequest* request = find(end.stream))
        request->received(owner, end);
}

void EntryService::ownerLost(const HostId& owner)
{
    std::vector<EntryRequest*> requests;
    for (const auto& [id, request] : m_requests)
        requests.push_back(request.get());
    // Requests that end in this loop stay alive until the next iteration of the event loop.
    for (EntryRequest* request : requests)
        request->ownerLost(owner);
}

std::vector<EntryRequest*> EntryService::keyedRequests()
{
    std::vector<EntryRequest*> requests;
    for (const auto& [id, request] : m_requests) {
        if (!request->request().keyHash.empty())
            requests.push_back(request.get());
    }
    return requests;
}

void EntryService::stopRequestsWithWithdrawnKeys()
{
    for (EntryRequest* request : keyedRequests()) {
        if (!m_keys.grantsAccess(request->request().keyHash, request->request().workspace))
            request->stop(statusUnauthorized, refusal::keyWithdrawn, "the key was withdrawn");
    }
}

void EntryService::checkConfigurationFreshness()
{
    if (m_source.keyedRoutesOpen())
        return;
    for (EntryRequest* request : keyedRequests()) {
        request->stop(statusUnavailable, refusal::configurationStale,
            "this host can't confirm that its configuration is current");
    }
}

void EntryService::finished(uint64_t id)
{
    auto node = m_requests.extract(id);
    m_finished.push_back(std::move(node.mapped()));
    if (m_cleanupTimer != 0)
        return;
    m_cleanupTimer = m_context.scheduler.runAfter(Duration::zero(), [this] {
        m_cleanupTimer = 0;
        m_finished.clear();
    });
}

} // namespace lacewing
