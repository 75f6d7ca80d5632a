#include "daemon/service_owner.h"

#include "coordination/fair_request_queue.h"

namespace lacewing {

ServiceOwner::ServiceOwner(
    OwnerContext context, const UpstreamConfig& config, SocketAddress address, LeaseCheck mayAct)
    : UpstreamOwner(
        context, config, std::make_unique<FairRequestQueue>(FairRequestQueue::Options()), std::move(mayAct))
    , m_address(std::move(address))
{
}

std::unique_ptr<UpstreamRun> ServiceOwner::makeRun(const RunRequest& request, UpstreamRun::Listener listener)
{
    const UpstreamTarget target { config().id, m_address, "", upstreamProgressTimeout,
        context().callIds.next() };
    return makeServiceRun(context().client, target, request, std::move(listener));
}

} // namespace lacewing
