#include "gateway/plain_upstream_selector.h"

#include <algorithm>
#include <vector>

namespace lacewing::gateway {

PlainUpstreamSelector::PlainUpstreamSelector(const UpstreamDirectory& upstreams, UpstreamPicker& picker,
    const UpstreamLimits& limits, const UpstreamPermits& permits, DataCentreId dataCentre)
    : m_upstreams(upstreams)
    , m_picker(picker)
    , m_limits(limits)
    , m_permits(permits)
    , m_dataCentre(std::move(dataCentre))
{
}

PlainUpstreamSelector::Selection PlainUpstreamSelector::select(const ServiceId& service,
    const std::set<UpstreamId>& tried, const UpstreamFilter& filter, Duration longestWait, MonotonicTime now)
{
    const auto usable = m_upstreams.usable(service, filter);
    const bool hasUnlimited
        = std::any_of(usable.begin(), usable.end(), [this, &tried](const UpstreamEntry* entry) {
              return tried.count(entry->id) == 0 && !m_limits.rate(entry->id)
                  && m_upstreams.restLeft(*entry) == Duration::zero();
          });
    Selection selection;
    selection.hasUpstreams = !usable.empty();
    selection.patience = hasUnlimited ? Duration::zero() : longestWait;
    std::vector<PickCandidate> candidates;
    for (const UpstreamEntry* entry : usable) {
        const Duration rest = m_upstreams.restLeft(*entry);
        if (rest > Duration::zero()) {
            selection.restingFor = std::min(selection.restingFor.value_or(rest), rest);
            continue;
        }
        if (tried.count(entry->id) > 0)
            continue;
        const Duration wait = m_permits.expectedWait(entry->id);
        if (wait <= selection.patience) {
            candidates.push_back({ entry->id, entry->slots, entry->dataCentre == m_dataCentre });
            continue;
        }
        const Duration tooLongBy = wait - selection.patience;
        selection.limitedFor = std::min(selection.limitedFor.value_or(tooLongBy), tooLongBy);
    }
    selection.upstream = m_picker.pick(candidates, {}, now);
    return selection;
}

} // namespace lacewing::gateway
