#include "daemon/owner_service.h"

#include "base/log.h"
#include "daemon/engine_owner.h"
#include "daemon/service_owner.h"
#include "state/refusal.h"

namespace lacewing {

namespace {

constexpr int statusUnavailable = 503;
constexpr Duration retryDelay = std::chrono::milliseconds(500);

} // namespace

OwnerService::OwnerService(OwnerContext context, AdapterLoadLimiter& loadLimiter, LeaseCallbacks leases)
    : m_context(context)
    , m_loadLimiter(loadLimiter)
    , m_leases(std::move(leases))
{
    m_loadLimiter.onPermitAvailable([this] {
        for (const auto& [upstream, owned] : m_owned) {
            if (owned.owner)
                owned.owner->loadPermitAvailable();
        }
    });
}

void OwnerService::setConfiguration(const Configuration& configuration)
{
    m_configs = configuration.upstreams;
    for (auto& [upstream, owned] : m_owned) {
        const auto config = m_configs.find(upstream);
        if (config == m_configs.end())
            continue;
        const bool isMoved = owned.owner && owned.owner->config().address != config->second.address;
        if (isMoved) {
            owned.owner->abandon();
            destroyLater(std::move(owned.owner));
        }
        if (owned.owner)
            owned.owner->setConfig(config->second);
        else
            create(upstream, owned);
    }
}

void OwnerService::leaseAcquired(const UpstreamId& upstream, FencingNumber fencingNumber)
{
    LogEvent(LogLevel::Info, "upstream_owned")
        .with("upstream", upstream)
        .with("fencing_number", fencingNumber);
    OwnedUpstream& owned = m_owned[upstream];
    owned.fencingNumber = fencingNumber;
    owned.isHandingOver = false;
    create(upstream, owned);
}

void OwnerService::create(const UpstreamId& upstream, OwnedUpstream& owned)
{
    const auto config = m_configs.find(upstream);
    if (config == m_configs.end())
        return;
    const auto address = SocketAddress::parse(config->second.address);
    if (!address) {
        LogEvent(LogLevel::Error, "upstream_address_invalid").with("upstream", upstream);
        return;
    }
    const auto mayAct = [this, upstream](Duration margin) { return m_leases.mayAct(upstream, margin); };
    if (config->second.kind == UpstreamKind::PlainService) {
        owned.owner = std::make_unique<ServiceOwner>(m_context, config->second, *address, mayAct);
        return;
    }
    owned.owner = std::make_unique<EngineOwner>(
        m_context, config->second, *address, owned.fencingNumber, mayAct, m_loadLimiter, [this, upstream] {
            LogEvent(LogLevel::Warning, "upstream_superseded").with("upstream", upstream);
            m_leases.release(upstream);
        });
}

void OwnerService::leaseLost(const UpstreamId& upstream)
{
    LogEvent(LogLevel::Info, "upstream_given_up").with("upstream", upstream);
    auto node = m_owned.extract(upstream);
    if (node.empty() || !node.mapped().owner)
        return;
    node.mapped().owner->abandon();
    destroyLater(std::move(node.mapped().owner));
}

void OwnerService::handOver(const UpstreamId& upstream)
{
    const auto owned = m_owned.find(upstream);
    if (owned == m_owned.end() || !owned->second.owner)
        return m_leases.release(upstream);
    if (owned->second.isHandingOver)
        return;
    owned->second.isHandingOver = true;
    owned->second.owner->drain([this, upstream] { m_leases.release(upstream); });
}

void OwnerService::received(const HostId& entry, const RunRequest& request)
{
    UpstreamOwner* owner = find(request.upstream);
    if (!owner) {
        m_context.peers.send(
            entry, refusedRun(request.stream, refusal::notOwner, statusUnavailable, retryDelay));
        return;
    }
    owner->submit(entry, request);
}

void OwnerService::received(const HostId& entry, const RunCancel& cancel)
{
    for (const auto& [upstream, owned] : m_owned) {
        if (owned.owner)
            owned.owner->cancel(entry, cancel.stream);
    }
}

void OwnerService::received(const HostId& entry, const RunWindow& window)
{
    for (const auto& [upstream, owned] : m_owned) {
        if (owned.owner)
            owned.owner->addWindow(entry, window);
    }
}

void OwnerService::entryLost(const HostId& entry)
{
    for (const auto& [upstream, owned] : m_owned) {
        if (owned.owner)
            owned.owner->entryLost(entry);
    }
}

UpstreamReports OwnerService::reports() const
{
    UpstreamReports reports;
    for (const auto& [upstream, owned] : m_owned) {
        if (!owned.owner || owned.isHandingOver)
            continue;
        UpstreamReport report = owned.owner->report();
        report.fencingNumber = owned.fencingNumber;
        reports.upstreams.push_back(std::move(report));
    }
    return reports;
}

size_t OwnerService::requestCount() const
{
    size_t count = 0;
    for (const auto& [upstream, owned] : m_owned)
        count += owned.owner ? owned.owner->requestCount() : 0;
    return count;
}

UpstreamOwner* OwnerService::find(const UpstreamId& upstream)
{
    const auto owned = m_owned.find(upstream);
    return owned == m_owned.end() ? nullptr : owned->second.owner.get();
}

void OwnerService::destroyLater(std::unique_ptr<UpstreamOwner> owner)
{
    m_context.scheduler.runAfter(
        Duration::zero(), [owner = std::shared_ptr<UpstreamOwner>(std::move(owner))] { (void)owner; });
}

} // namespace lacewing
