#include "daemon/upstream_router.h"

#include "coordination/adapter_name.h"
#include "coordination/baseline_selectors.h"
#include "coordination/bounded_load_selector.h"

namespace lacewing {

namespace {

constexpr double secondsPerMegasecond = 1e6;

} // namespace

UpstreamRouter::UpstreamRouter(const Clock& clock, DataCentreId dataCentre, LeaseLookup leases, uint64_t seed)
    : m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
    , m_leases(std::move(leases))
    , m_engineSelector(std::make_unique<BoundedLoadSelector>(BoundedLoadSelector::Options()))
    , m_serviceSelector(std::make_unique<TwoChoiceSelector>(seed))
{
}

void UpstreamRouter::setConfiguration(const Configuration& configuration)
{
    std::map<UpstreamId, UpstreamView> earlier;
    for (UpstreamView& view : m_views) {
        const UpstreamId id = view.upstream;
        earlier.emplace(id, std::move(view));
    }
    m_views.clear();
    m_groups.clear();
    for (const auto& [id, config] : configuration.upstreams) {
        UpstreamView view = earlier.count(id) ? std::move(earlier[id]) : UpstreamView();
        view.upstream = id;
        view.dataCentre = config.dataCentre;
        view.baseModel = config.baseModel;
        view.service = config.service;
        view.state = config.state;
        view.maximumConcurrency = config.maximumConcurrency;
        m_groups[id] = groupOf(config);
        m_views.push_back(std::move(view));
    }
    rebuildHealth();
}

std::string UpstreamRouter::groupOf(const UpstreamConfig& config) const
{
    return config.kind == UpstreamKind::ModelEngine ? "model/" + config.baseModel.value()
                                                    : "service/" + config.service;
}

void UpstreamRouter::rebuildHealth()
{
    std::map<std::string, std::set<UpstreamId>> members;
    for (const auto& [id, group] : m_groups)
        members[group].insert(id);
    for (const auto& [group, upstreams] : members)
        health(group).setMembers(upstreams, m_clock.now());
}

UpstreamHealth& UpstreamRouter::health(const std::string& group)
{
    return m_health.try_emplace(group, UpstreamHealth::Options()).first->second;
}

void UpstreamRouter::reported(const HostId& owner, const UpstreamReports& reports)
{
    m_lostHosts.erase(owner);
    std::set<UpstreamId> named;
    for (const UpstreamReport& report : reports.upstreams)
        named.insert(report.upstream);
    for (auto known = m_owners.begin(); known != m_owners.end();) {
        const bool isGivenUp = known->second.host == owner && named.count(known->first) == 0;
        known = isGivenUp ? m_owners.erase(known) : std::next(known);
    }
    std::map<UpstreamId, const UpstreamReport*> accepted;
    for (const UpstreamReport& report : reports.upstreams) {
        Owner& known = m_owners[report.upstream];
        // A report from a previous owner may arrive after one from its successor; the fencing number tells.
        if (report.fencingNumber < known.fencingNumber)
            continue;
        known = { owner, report.fencingNumber };
        accepted[report.upstream] = &report;
    }
    for (UpstreamView& view : m_views) {
        const auto report = accepted.find(view.upstream);
        if (report == accepted.end())
            continue;
        view.running = static_cast<int>(report->second->running);
        view.queued = static_cast<int>(report->second->queued);
        view.queuedBatch = static_cast<int>(report->second->queuedBatch);
        view.evictionCost
            = static_cast<double>(report->second->evictionCostPerMegasecond) / secondsPerMegasecond;
        view.reportedAt = m_clock.now();
        view.resident.clear();
        for (const std::string& name : report->second->residents) {
            if (const auto adapter = AdapterName::parse(name))
                view.resident.insert(adapter->adapter);
        }
    }
}

void UpstreamRouter::ownerLost(const HostId& owner)
{
    m_lostHosts.insert(owner);
    for (auto known = m_owners.begin(); known != m_owners.end();)
        known = known->second.host == owner ? m_owners.erase(known) : std::next(known);
}

const std::vector<UpstreamView>& UpstreamRouter::views()
{
    for (UpstreamView& view : m_views)
        refresh(view);
    return m_views;
}

FencingNumber UpstreamRouter::fencingNumber(const UpstreamId& upstream) const
{
    const auto known = m_owners.find(upstream);
    return known == m_owners.end() ? FencingNumber(0) : known->second.fencingNumber;
}

std::optional<RoutedTarget> UpstreamRouter::choose(
    const AdmittedRequest& request, const std::set<UpstreamId>& excluded)
{
    views();
    Selection selection;
    if (request.completion)
        selection.adapter = request.adapter;
    selection.baseModel = request.baseModel;
    if (request.service)
        selection.service = request.service->service;
    selection.dataCentre = m_dataCentre;
    selection.requestClass = request.route.requestClass;
    selection.excluded = excluded;
    const auto upstream = selectorFor(request).select(selection, m_views, m_clock.now());
    if (!upstream)
        return std::nullopt;
    for (const UpstreamView& view : m_views) {
        if (view.upstream == *upstream)
            return RoutedTarget { *upstream, view.owner };
    }
    return std::nullopt;
}

void UpstreamRouter::refresh(UpstreamView& view)
{
    const auto known = m_owners.find(view.upstream);
    HostId owner;
    if (known != m_owners.end())
        owner = known->second.host;
    else if (const auto lease = m_leases(view.upstream))
        owner = lease->host;
    view.owner = m_lostHosts.count(owner) ? HostId() : owner;
    view.weight = health(m_groups[view.upstream]).weight(view.upstream, m_clock.now());
}

UpstreamSelector& UpstreamRouter::selectorFor(const AdmittedRequest& request)
{
    return request.completion ? *m_engineSelector : *m_serviceSelector;
}

void UpstreamRouter::started(const RoutedTarget& target, const AdmittedRequest& request)
{
    const auto adapter = request.completion ? std::optional(request.adapter) : std::nullopt;
    selectorFor(request).started(target.upstream, adapter, m_clock.now());
}

void UpstreamRouter::finished(const RoutedTarget& target, const AdmittedRequest& request, RunResult result)
{
    selectorFor(request).finished(target.upstream, m_clock.now());
    const auto group = m_groups.find(target.upstream);
    if (group == m_groups.end() || result == RunResult::Neutral)
        return;
    if (result == RunResult::Succeeded)
        health(group->second).recordSuccess(target.upstream, m_clock.now());
    else
        health(group->second).recordFailure(target.upstream, m_clock.now());
}

} // namespace lacewing
