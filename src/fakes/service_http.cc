#include "fakes/service_http.h"

#include "fakes/content_hash.h"
#include "fakes/json_fields.h"
#include "fakes/named_exchange.h"

#include <utility>

namespace lacewing {

namespace {

constexpr double longestSlowness = 600'000;

const HttpHeaders& jsonHeaders()
{
    static const HttpHeaders headers { { "Content-Type", "application/json" } };
    return headers;
}

} // namespace

ServiceHttp::ServiceHttp(Scheduler& scheduler, const ServiceOptions& options, FaultSettings& faults)
    : m_scheduler(scheduler)
    , m_options(options)
    , m_random(options.seed)
    , m_forbidden(options.forbiddenTexts)
    , m_held(scheduler)
{
    faults.addProbability("silent_before_run", m_silentBefore);
    faults.addProbability("silent_after_run", m_silentAfter);
    faults.addProbability("close_before_run", m_closeBefore);
    faults.addProbability("close_after_run", m_closeAfter);
    faults.addProbability("refuse_not_run", m_refuse);
    faults.addNumber("slow_ms", m_slowMilliseconds, 0, longestSlowness);
    m_metrics.counter("forbidden_text_seen") = 0;
}

ServiceHttp::Fate ServiceHttp::drawFate()
{
    // Each fault has its own draw, so that one set to 1 always strikes unless an earlier one does.
    if (m_random.chance(m_silentBefore))
        return Fate::SilentBefore;
    if (m_random.chance(m_closeBefore))
        return Fate::CloseBefore;
    if (m_random.chance(m_refuse))
        return Fate::Refused;
    if (m_random.chance(m_silentAfter))
        return Fate::SilentAfter;
    return m_random.chance(m_closeAfter) ? Fate::CloseAfter : Fate::Answered;
}

void ServiceHttp::handle(const std::shared_ptr<HttpExchange>& unnamed)
{
    const auto exchange = std::make_shared<NamedExchange>(unnamed);
    m_metrics.counter("forbidden_text_seen") += m_forbidden.countIn(*exchange);
    if (exchange->method() == "GET" && exchange->path() == "/runs")
        return exchange->reply(200, jsonHeaders(), toText(m_runs.show()));
    if (exchange->method() == "GET" && exchange->path() == "/admin/status")
        return exchange->reply(200, jsonHeaders(),
            toText({ { "boot_id", m_options.bootId }, { "load", { { "running", m_running } } } }));
    ++m_metrics.counter("requests");
    const Fate fate = drawFate();
    switch (fate) {
    case Fate::SilentBefore:
        return m_held.hold(exchange);
    case Fate::CloseBefore:
        return exchange->abort();
    case Fate::Refused:
        ++m_metrics.counter("refused_not_run");
        return exchange->reply(503, { { "Content-Type", "application/json" }, { "Lacewing-Not-Run", "1" } },
            errorBody("not_run", "the call was not run"));
    case Fate::SilentAfter:
    case Fate::CloseAfter:
    case Fate::Answered:
        break;
    }
    ++m_running;
    const auto slowness = Duration(static_cast<int64_t>(m_slowMilliseconds * 1e6));
    m_scheduler.runAfter(
        m_options.serviceTime + slowness, [this, exchange, fate] { finish(exchange, fate); });
}

void ServiceHttp::finish(const std::shared_ptr<HttpExchange>& exchange, Fate fate)
{
    --m_running;
    const auto idempotencyKey = exchange->headers().find("Idempotency-Key");
    const std::string workspace = exchange->headers().find("Lacewing-Workspace").value_or("");
    const uint64_t hash
        = hashBytes(exchange->body(), hashBytes(exchange->method() + " " + exchange->path() + "\n"));
    // Idempotency keys are unique within a workspace only.
    const std::string key = workspace + "/" + (idempotencyKey ? *idempotencyKey : "body-" + hexOf(hash));
    const int64_t run = m_runs.run(key, idempotencyKey.has_value());
    ++m_metrics.counter("runs");
    if (fate == Fate::SilentAfter)
        return m_held.hold(exchange);
    if (fate == Fate::CloseAfter)
        return exchange->abort();
    exchange->reply(200, jsonHeaders(), toText({ { "run", run }, { "key", key } }));
}

std::string ServiceHttp::metricsText()
{
    return m_metrics.text();
}

} // namespace lacewing
