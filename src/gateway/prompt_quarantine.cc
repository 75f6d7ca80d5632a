#include "gateway/prompt_quarantine.h"

#include <algorithm>
#include <iterator>

namespace lacewing::gateway {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Time before each probe, from the quarantine or from the probe before it.
constexpr Duration probeDelays[] = { seconds(3), seconds(30), minutes(10) };
constexpr int maximumProbes = static_cast<int>(std::size(probeDelays));
constexpr Duration quarantineLifetime = minutes(60);
/// Time for which a lifted quarantine is remembered, so that an older message does not impose it again.
constexpr Duration liftedLifetime = minutes(10);
constexpr size_t maximumEntries = 64;
/// Bound of what peers and the store can add until some are dropped.
constexpr size_t maximumMergedEntries = 2 * maximumEntries;

constexpr Duration shortestHoldTime = seconds(1);
constexpr Duration longestHoldTime = seconds(60);

} // namespace

std::optional<Duration> PromptQuarantine::probeDelay(int probes)
{
    const bool hasProbe = probes >= 0 && probes < maximumProbes;
    return hasProbe ? std::make_optional(probeDelays[probes]) : std::nullopt;
}

std::vector<PartSet> PromptQuarantine::activeCauses() const
{
    std::vector<PartSet> causes;
    for (const auto& [parts, entry] : m_entries) {
        if (!entry.isLifted)
            causes.push_back(parts);
    }
    return causes;
}

size_t PromptQuarantine::activeCount() const
{
    return static_cast<size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto& item) { return !item.second.isLifted; }));
}

Quarantine PromptQuarantine::toMessage(const PartSet& parts, const Entry& entry, MonotonicTime now) const
{
    Quarantine message { parts, entry.revision, entry.isLifted, entry.probes, std::nullopt };
    if (entry.nextProbe)
        message.untilProbe = std::max<Duration>(*entry.nextProbe - now, Duration::zero());
    return message;
}

std::vector<Quarantine> PromptQuarantine::all(MonotonicTime now) const
{
    std::vector<Quarantine> all;
    for (const auto& [parts, entry] : m_entries)
        all.push_back(toMessage(parts, entry, now));
    return all;
}

PromptQuarantine::Entry& PromptQuarantine::impose(const PartSet& parts, MonotonicTime now)
{
    Entry& entry = m_entries[parts];
    entry.revision = QuarantineRevision(entry.revision.value() + 1);
    entry.isLifted = false;
    entry.probes = 0;
    entry.nextProbe = now + *probeDelay(0);
    entry.changed = now;
    return entry;
}

void PromptQuarantine::lift(const PartSet& parts, MonotonicTime now, Changes& changes)
{
    Entry& entry = m_entries[parts];
    entry.revision = QuarantineRevision(entry.revision.value() + 1);
    entry.isLifted = true;
    entry.nextProbe.reset();
    entry.changed = now;
    changes.push_back(toMessage(parts, entry, now));
}

void PromptQuarantine::narrow(const PartSet& from, const PartSet& to, MonotonicTime now, Changes& changes)
{
    const Entry before = m_entries[from];
    lift(from, now, changes);
    const auto known = m_entries.find(to);
    if (known != m_entries.end() && !known->second.isLifted)
        return;
    Entry& entry = impose(to, now);
    // Fewer parts are no reason for further probes.
    entry.probes = before.probes;
    entry.nextProbe = before.nextProbe;
    changes.push_back(toMessage(to, entry, now));
}

Quarantine PromptQuarantine::endOf(const PartSet& parts, const Entry& entry) const
{
    return { parts, QuarantineRevision(entry.revision.value() + 1), true, entry.probes, std::nullopt };
}

PromptQuarantine::Changes PromptQuarantine::expire(MonotonicTime now)
{
    Changes changes;
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto& [parts, entry] = *item;
        if (!entry.isLifted && now - entry.changed > quarantineLifetime) {
            changes.push_back(endOf(parts, entry));
            entry.revision = changes.back().revision;
            entry.isLifted = true;
            entry.nextProbe.reset();
            entry.changed += quarantineLifetime;
        }
        const bool isForgotten = entry.isLifted && now - entry.changed > liftedLifetime;
        item = isForgotten ? m_entries.erase(item) : std::next(item);
    }
    while (m_entries.size() > maximumEntries) {
        // Lifted ones go first, then those that changed longest ago.
        const auto oldest
            = std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
                  return std::pair(!a.second.isLifted, a.second.changed)
                      < std::pair(!b.second.isLifted, b.second.changed);
              });
        if (!oldest->second.isLifted)
            changes.push_back(endOf(oldest->first, oldest->second));
        m_entries.erase(oldest);
    }
    return changes;
}

PromptQuarantine::Changes PromptQuarantine::decide(MonotonicTime now)
{
    Changes changes;
    for (const PartSet& cause : activeCauses()) {
        if (cause.size() < 2)
            continue;
        // A crash without some of the parts shows that these are not needed for it.
        const PartSet common = m_history.commonWithUnexplained(cause, activeCauses(), now);
        if (!common.empty())
            narrow(cause, common, now, changes);
    }
    // Each cause explains at least one more crash, so this ends.
    while (const auto cause = m_history.findCause(activeCauses(), now))
        changes.push_back(toMessage(*cause, impose(*cause, now), now));
    const Changes expired = expire(now);
    changes.insert(changes.end(), expired.begin(), expired.end());
    return changes;
}

bool PromptQuarantine::isInformative(const AnswerBegin& answer) const
{
    if (m_history.isCleared(answer))
        return true;
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&answer](const auto& item) { return !item.second.isLifted && item.first.intersects(answer.parts); });
}

PromptQuarantine::Changes PromptQuarantine::answerBegan(const AnswerBegin& answer, MonotonicTime now)
{
    Changes changes;
    const PartSet& parts = answer.parts;
    m_history.clear(answer, now);
    for (const PartSet& cause : activeCauses()) {
        if (!cause.intersects(parts))
            continue;
        const PartSet rest = cause.difference(parts);
        if (rest.empty())
            lift(cause, now, changes);
        else
            narrow(cause, rest, now, changes);
    }
    return changes;
}

bool PromptQuarantine::merge(const Quarantine& quarantine, MonotonicTime now)
{
    if (quarantine.parts.empty())
        return false;
    const auto known = m_entries.find(quarantine.parts);
    if (known != m_entries.end() && quarantine.revision <= known->second.revision)
        return false;
    if (known == m_entries.end() && m_entries.size() >= maximumMergedEntries)
        return false;
    Entry& entry = m_entries[quarantine.parts];
    entry.revision = quarantine.revision;
    entry.isLifted = quarantine.isLifted;
    entry.probes = quarantine.probes;
    entry.nextProbe = quarantine.untilProbe ? std::make_optional(now + *quarantine.untilProbe) : std::nullopt;
    entry.changed = now;
    return true;
}

std::optional<Duration> PromptQuarantine::holdTime(const PartSet& prompt, MonotonicTime now) const
{
    std::optional<Duration> hold;
    for (const auto& [parts, entry] : m_entries) {
        if (entry.isLifted || !prompt.includes(parts))
            continue;
        const Duration untilProbe = entry.nextProbe ? *entry.nextProbe - now : longestHoldTime;
        if (untilProbe > Duration::zero())
            hold = std::max(hold.value_or(shortestHoldTime), std::min(untilProbe, longestHoldTime));
    }
    return hold;
}

PromptQuarantine::Changes PromptQuarantine::beginProbe(const PartSet& prompt, MonotonicTime now)
{
    Changes changes;
    for (auto& [parts, entry] : m_entries) {
        if (entry.isLifted || !entry.nextProbe || !prompt.includes(parts))
            continue;
        ++entry.probes;
        entry.revision = QuarantineRevision(entry.revision.value() + 1);
        const auto delay = probeDelay(entry.probes);
        entry.nextProbe = delay ? std::make_optional(now + *delay) : std::nullopt;
        entry.changed = now;
        changes.push_back(toMessage(parts, entry, now));
    }
    return changes;
}

void PromptQuarantine::enginesReplaced(MonotonicTime now)
{
    for (auto& [parts, entry] : m_entries) {
        if (entry.nextProbe)
            entry.nextProbe = std::min(*entry.nextProbe, now);
    }
}

} // namespace lacewing::gateway
