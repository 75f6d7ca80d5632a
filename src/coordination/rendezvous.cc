#include "coordination/rendezvous.h"

#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace lacewing {

namespace {

/// FNV-1a hash. Every daemon must compute the same value, which std::hash does not guarantee.
uint64_t hashText(std::string_view text, uint64_t hash)
{
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

double score(const Selection& selection, const UpstreamView& view)
{
    uint64_t hash = hashText(view.upstream.value(), 0xcbf29ce484222325ULL);
    if (selection.adapter) {
        hash = hashText(selection.adapter->adapter.value(), hashText("/", hash));
        hash = hashText(selection.adapter->version.value(), hashText("/", hash));
    }
    // FNV-1a mixes the last bytes poorly, so Random mixes the bits once more.
    const double uniform = Random(hash).uniform();
    return view.weight / -std::log(std::max(uniform, 1e-18));
}

} // namespace

std::vector<const UpstreamView*> rankByRendezvous(
    const Selection& selection, const std::vector<UpstreamView>& views)
{
    std::vector<std::pair<double, const UpstreamView*>> scored;
    for (const UpstreamView& view : views) {
        if (isEligible(view, selection))
            scored.emplace_back(score(selection, view), &view);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->upstream < b.second->upstream;
    });
    std::vector<const UpstreamView*> ranked;
    ranked.reserve(scored.size());
    for (const auto& [ignored, view] : scored)
        ranked.push_back(view);
    return ranked;
}

} // namespace lacewing
