#include "replay/caller_trace_generator.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lacewing {

namespace {

constexpr double fridayFactor = 3;
constexpr double overloadFactor = 5;
constexpr double versionedShare = 0.15;
constexpr double streamShare = 0.7;
constexpr double cancelledShare = 0.05;
constexpr double repeatShare = 0.5;
constexpr double serviceShareOfMix = 0.3;
/// Tokens that a request of the overloading workspace costs at most.
constexpr int64_t overloadPromptTokens = 256;
constexpr int64_t overloadMaximumTokens = 256;
constexpr uint64_t seedRange = uint64_t(1) << 30;

/// @return an index below count; index i is drawn in proportion to 1/(i+1).
size_t skewed(Random& random, size_t count)
{
    double total = 0;
    for (size_t i = 0; i < count; ++i)
        total += 1.0 / static_cast<double>(i + 1);
    double left = random.uniform() * total;
    for (size_t i = 0; i < count; ++i) {
        left -= 1.0 / static_cast<double>(i + 1);
        if (left < 0)
            return i;
    }
    return count - 1;
}

} // namespace

CallerTraceGenerator::CallerTraceGenerator(const Configuration& configuration, CallerTraceOptions options)
    : m_configuration(configuration)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
    collectWorkspaces();
    std::set<std::string> dataCentres;
    for (const auto& [id, upstream] : configuration.upstreams)
        dataCentres.insert(upstream.dataCentre.value());
    m_dataCentres.assign(dataCentres.begin(), dataCentres.end());
    for (const RouteConfig& route : configuration.routes) {
        if (route.service.empty())
            m_completionRoutes.push_back(&route);
    }
}

const std::vector<std::string>& CallerTraceGenerator::kinds()
{
    static const std::vector<std::string> names { "steady", "friday", "overload", "bookings", "mix" };
    return names;
}

void CallerTraceGenerator::collectWorkspaces()
{
    for (const auto& [id, config] : m_configuration.workspaces) {
        Workspace workspace { id, static_cast<double>(config.rate.value()), {}, {} };
        for (const KeyConfig& key : m_configuration.keys) {
            if (key.workspace == id)
                workspace.keys.push_back(key.id);
        }
        for (const auto& [name, adapter] : m_configuration.adapters) {
            if (adapter.workspace == id)
                workspace.adapters.push_back(&adapter);
        }
        if (!workspace.keys.empty() && !workspace.adapters.empty())
            m_workspaces.push_back(std::move(workspace));
    }
}

bool CallerTraceGenerator::check()
{
    const auto& names = kinds();
    if (std::find(names.begin(), names.end(), m_options.kind) == names.end())
        m_lastError = "there is no kind \"" + m_options.kind + "\"";
    else if (m_workspaces.empty() || m_dataCentres.empty() || m_completionRoutes.empty())
        m_lastError = "the configuration needs a workspace with a key and an adapter, an upstream, and a "
                      "route for completions";
    else if ((m_options.kind == "bookings" || m_options.kind == "mix")
        && (!serviceRoute(false) || !serviceRoute(true)))
        m_lastError = "the configuration needs a keyed service route with repeatable: false and one without";
    return m_lastError.empty();
}

std::optional<std::vector<CallerRequest>> CallerTraceGenerator::generate()
{
    if (!check())
        return std::nullopt;
    const double serviceShare = m_options.kind == "bookings" ? 1
        : m_options.kind == "mix"                            ? serviceShareOfMix
                                                             : 0;
    double second = 0;
    while (true) {
        second -= std::log(1 - m_random.uniform()) / (m_options.requestsPerSecond * loadAt(second));
        if (second >= m_options.seconds)
            break;
        const auto atMs = static_cast<int64_t>(second * 1000);
        if (m_random.chance(serviceShare))
            addServiceCalls(atMs);
        else
            m_requests.push_back(completion(anyWorkspace(), atMs));
    }
    if (m_options.kind == "overload")
        addOverload();
    std::stable_sort(m_requests.begin(), m_requests.end(),
        [](const CallerRequest& a, const CallerRequest& b) { return a.atMs < b.atMs; });
    return m_requests;
}

double CallerTraceGenerator::loadAt(double second) const
{
    const double part = second / m_options.seconds;
    return m_options.kind == "friday" && part > 1.0 / 3 && part < 2.0 / 3 ? fridayFactor : 1;
}

const CallerTraceGenerator::Workspace& CallerTraceGenerator::anyWorkspace()
{
    double total = 0;
    for (const Workspace& workspace : m_workspaces)
        total += workspace.rate;
    double left = m_random.uniform() * total;
    for (const Workspace& workspace : m_workspaces) {
        left -= workspace.rate;
        if (left < 0)
            return workspace;
    }
    return m_workspaces.back();
}

std::string CallerTraceGenerator::anyDataCentre()
{
    return m_dataCentres[m_random.below(m_dataCentres.size())];
}

std::string CallerTraceGenerator::anyModel(const Workspace& workspace, int64_t atMs)
{
    size_t index = skewed(m_random, workspace.adapters.size());
    // The wave makes other adapters popular, so that many loads come at once.
    if (loadAt(static_cast<double>(atMs) / 1000) > 1)
        index = workspace.adapters.size() - 1 - index;
    const AdapterConfig& adapter = *workspace.adapters[index];
    if (!m_random.chance(versionedShare))
        return adapter.id.value();
    return adapter.id.value() + "@" + adapter.versions[m_random.below(adapter.versions.size())].value();
}

CallerRequest CallerTraceGenerator::completion(const Workspace& workspace, int64_t atMs)
{
    CallerRequest request;
    request.atMs = atMs;
    request.key = workspace.keys[m_random.below(workspace.keys.size())];
    request.route = m_completionRoutes[skewed(m_random, m_completionRoutes.size())]->id.value();
    request.model = anyModel(workspace, atMs);
    request.promptTokens = static_cast<int64_t>(20 + m_random.below(180));
    request.seed = m_random.below(seedRange);
    request.maximumTokens = static_cast<int64_t>(16 + m_random.below(80));
    request.stream = m_random.chance(streamShare);
    request.dataCentre = anyDataCentre();
    if (request.stream && m_random.chance(cancelledShare))
        request.cancelAfterTokens = static_cast<int64_t>(1 + m_random.below(8));
    return request;
}

const RouteConfig* CallerTraceGenerator::serviceRoute(bool repeatable) const
{
    for (const RouteConfig& route : m_configuration.routes) {
        if (!route.service.empty() && !route.open && route.repeatable == repeatable)
            return &route;
    }
    return nullptr;
}

void CallerTraceGenerator::addServiceCalls(int64_t atMs)
{
    const bool isBooking = m_random.chance(0.5);
    const Workspace& workspace = anyWorkspace();
    CallerRequest request;
    request.atMs = atMs;
    request.key = workspace.keys[m_random.below(workspace.keys.size())];
    request.route = serviceRoute(!isBooking)->id.value();
    request.promptTokens = static_cast<int64_t>(5 + m_random.below(20));
    request.seed = m_random.below(seedRange);
    request.dataCentre = anyDataCentre();
    if (isBooking)
        request.requestId
            = "call-" + std::to_string(m_options.seed) + "-" + std::to_string(m_requests.size());
    m_requests.push_back(request);
    if (!isBooking || !m_random.chance(repeatShare))
        return;
    // Some repeats come while the first call may still be running.
    request.atMs += m_random.chance(0.2) ? 5 : static_cast<int64_t>(500 + m_random.below(2000));
    request.hostRank = 1;
    m_requests.push_back(request);
}

void CallerTraceGenerator::addOverload()
{
    const auto smallest = std::min_element(m_workspaces.begin(), m_workspaces.end(),
        [](const Workspace& a, const Workspace& b) { return a.rate < b.rate; });
    const double perSecond = overloadFactor * smallest->rate / (overloadPromptTokens + overloadMaximumTokens);
    const auto count = static_cast<int64_t>(perSecond * m_options.seconds);
    for (int64_t i = 0; i < count; ++i) {
        const auto atMs = static_cast<int64_t>(1000.0 * static_cast<double>(i) / perSecond);
        CallerRequest request = completion(*smallest, atMs);
        request.promptTokens = overloadPromptTokens;
        request.maximumTokens = overloadMaximumTokens;
        request.cancelAfterTokens = 0;
        m_requests.push_back(std::move(request));
    }
}

} // namespace lacewing
