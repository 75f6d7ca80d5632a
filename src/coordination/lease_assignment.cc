#include "coordination/lease_assignment.h"

#include "base/random.h"
#include "base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace lacewing {

namespace {

constexpr double loadBound = 1.25;

uint64_t score(uint64_t lease, uint64_t host)
{
    return Random(lease ^ (host * 0x9e3779b97f4a7c15ULL)).next();
}

struct Slot {
    const LeaseHost* host = nullptr;
    uint64_t hash = 0;
    size_t load = 0;
};

std::vector<Slot> slotsFor(const std::vector<LeaseHost>& hosts)
{
    std::vector<Slot> slots;
    slots.reserve(hosts.size());
    for (const LeaseHost& host : hosts)
        slots.push_back({ &host, fnv1a(host.host.value()), 0 });
    std::sort(
        slots.begin(), slots.end(), [](const Slot& a, const Slot& b) { return a.host->host < b.host->host; });
    return slots;
}

Slot& choose(std::vector<Slot>& slots, const LeaseName& lease, size_t capacity)
{
    const uint64_t leaseHash = fnv1a(lease.name);
    Slot* best = nullptr;
    std::tuple<bool, bool, uint64_t> bestRank;
    for (Slot& slot : slots) {
        const std::tuple<bool, bool, uint64_t> rank(slot.load < capacity,
            lease.dataCentre.empty() || slot.host->dataCentre == lease.dataCentre,
            score(leaseHash, slot.hash));
        if (best && rank <= bestRank)
            continue;
        best = &slot;
        bestRank = rank;
    }
    return *best;
}

} // namespace

std::map<std::string, HostId> BoundedLoadAssignment::assign(
    const std::vector<LeaseName>& names, const std::vector<LeaseHost>& hosts) const
{
    std::map<std::string, HostId> preferred;
    if (hosts.empty())
        return preferred;
    std::map<std::string, std::vector<const LeaseName*>> kinds;
    for (const LeaseName& name : names)
        kinds[name.kind()].push_back(&name);
    for (auto& [kind, leases] : kinds) {
        std::sort(leases.begin(), leases.end(),
            [](const LeaseName* a, const LeaseName* b) { return a->name < b->name; });
        const double mean = static_cast<double>(leases.size()) / static_cast<double>(hosts.size());
        const auto capacity = static_cast<size_t>(std::ceil(mean * loadBound));
        std::vector<Slot> slots = slotsFor(hosts);
        for (const LeaseName* lease : leases) {
            Slot& slot = choose(slots, *lease, capacity);
            ++slot.load;
            preferred[lease->name] = slot.host->host;
        }
    }
    return preferred;
}

} // namespace lacewing
