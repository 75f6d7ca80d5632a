#include "gateway/crash_history.h"

#include "gateway/request_identity.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr size_t maximumCrashes = 64;
constexpr size_t maximumPartsPerCrash = 1024;
constexpr size_t maximumSoundParts = 4096;
constexpr Duration crashLifetime = std::chrono::minutes(10);
/// Time after the first report of a process in which others are about the same crash.
constexpr Duration sameCrashTime = std::chrono::seconds(2);

/// A process that is known to live this long after its failure has not ended; reports of peers may overtake
/// each other by less.
constexpr Duration messageSpread = std::chrono::milliseconds(50);

/// Crashes that a part must be in to be taken for their cause.
constexpr int crashesOfLikelyPart = 3;
/// The same for a part of which answers had begun shortly before, or that is in few of the crashes only.
constexpr int crashesOfUnlikelyPart = 4;
constexpr double fewestCrashesShare = 0.3;
constexpr Duration soundRotationTime = std::chrono::seconds(30);
/// More parts than this are never the cause together.
constexpr size_t maximumPartsOfCause = 8;

} // namespace

void CrashHistory::forgetOld(MonotonicTime now)
{
    while (!m_crashes.empty()
        && (m_crashes.size() > maximumCrashes || now - m_crashes.front().time > crashLifetime))
        m_crashes.pop_front();
}

void CrashHistory::add(const CrashReport& report, MonotonicTime now)
{
    if (report.parts.empty())
        return;
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&report](const Crash& crash) {
        return crash.engine == report.engine && crash.startedAt == report.startedAt;
    });
    if (known != m_crashes.end() && now - known->time < sameCrashTime) {
        known->parts.add(report.parts);
        known->parts.truncate(maximumPartsPerCrash);
        return;
    }
    // The process has served on after the failure that was reported first, so that was no crash.
    if (known != m_crashes.end())
        m_crashes.erase(known);
    m_crashes.push_back({ report.engine, report.startedAt, now, report.parts });
    m_crashes.back().parts.truncate(maximumPartsPerCrash);
    forgetOld(now);
}

void CrashHistory::clear(const AnswerBegin& answer, MonotonicTime now)
{
    const auto lives = [&answer, now](const Crash& crash) {
        return crash.engine == answer.engine && crash.startedAt == answer.startedAt
            && now - crash.time > messageSpread;
    };
    m_crashes.erase(std::remove_if(m_crashes.begin(), m_crashes.end(), lives), m_crashes.end());
    const PartSet& parts = answer.parts;
    for (Crash& crash : m_crashes) {
        if (crash.parts.intersects(parts))
            crash.parts.remove(parts);
    }
    rememberSound(parts, now);
}

void CrashHistory::rememberSound(const PartSet& parts, MonotonicTime now)
{
    if (now - m_soundRotation > soundRotationTime || m_soundParts.size() > maximumSoundParts) {
        m_formerSoundParts = std::move(m_soundParts);
        m_soundParts.clear();
        m_soundRotation = now;
    }
    m_soundParts.insert(parts.hashes().begin(), parts.hashes().end());
}

bool CrashHistory::isCleared(const AnswerBegin& answer) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&answer](const Crash& crash) {
        const bool isSameProcess = crash.engine == answer.engine && crash.startedAt == answer.startedAt;
        return isSameProcess || crash.parts.intersects(answer.parts);
    });
}

bool CrashHistory::isSettled(const Crash& crash, MonotonicTime now) const
{
    return now - crash.time >= settlingTime;
}

bool CrashHistory::isUnexplained(
    const Crash& crash, const std::vector<PartSet>& known, MonotonicTime now) const
{
    return isSettled(crash, now) && std::none_of(known.begin(), known.end(), [&crash](const PartSet& cause) {
        return crash.parts.includes(cause);
    });
}

int CrashHistory::countMoments(
    const std::vector<size_t>& crashes, const std::vector<size_t>& unexplained) const
{
    int moments = 0;
    for (auto begin = unexplained.begin(); begin != unexplained.end();) {
        const MonotonicTime time = m_crashes[*begin].time;
        const auto end = std::find_if(begin, unexplained.end(),
            [this, time](size_t index) { return m_crashes[index].time - time >= correlationTime; });
        const auto withPart = std::count_if(begin, end,
            [&crashes](size_t index) { return std::binary_search(crashes.begin(), crashes.end(), index); });
        moments += 2 * withPart > end - begin ? 1 : 0;
        begin = end;
    }
    return moments;
}

bool CrashHistory::wasSound(uint64_t part) const
{
    return m_soundParts.count(part) > 0 || m_formerSoundParts.count(part) > 0;
}

int CrashHistory::countEvidence(
    uint64_t part, const std::vector<size_t>& crashes, const std::vector<size_t>& unexplained) const
{
    return isRequestHash(part) && !wasSound(part) ? static_cast<int>(crashes.size())
                                                  : countMoments(crashes, unexplained);
}

int CrashHistory::requiredCrashes(uint64_t part, double share) const
{
    const bool isRare = share < fewestCrashesShare && !isRequestHash(part);
    return wasSound(part) || isRare ? crashesOfUnlikelyPart : crashesOfLikelyPart;
}

uint64_t CrashHistory::mostOftenAlone(
    const std::vector<uint64_t>& requests, const std::vector<size_t>& crashes) const
{
    std::map<uint64_t, int> alone;
    for (const size_t index : crashes) {
        std::vector<uint64_t> ran;
        for (const uint64_t hash : m_crashes[index].parts.hashes()) {
            if (isRequestHash(hash))
                ran.push_back(hash);
        }
        if (ran.size() == 1)
            ++alone[ran.front()];
    }
    return *std::max_element(
        requests.begin(), requests.end(), [&alone](uint64_t a, uint64_t b) { return alone[a] < alone[b]; });
}

PartSet CrashHistory::causeOf(const CrashesByPart& byPart, const std::vector<size_t>& crashes) const
{
    std::vector<uint64_t> requests;
    std::vector<uint64_t> parts;
    for (const auto& [part, others] : byPart) {
        if (others == crashes)
            (isRequestHash(part) ? requests : parts).push_back(part);
    }
    // No request is two at once, and nothing tells whose parts these are.
    if (requests.size() > 1)
        return { mostOftenAlone(requests, crashes) };
    PartSet cause(std::move(parts));
    cause.truncate(maximumPartsOfCause - requests.size());
    cause.add(PartSet(std::move(requests)));
    return cause;
}

std::optional<PartSet> CrashHistory::findCause(const std::vector<PartSet>& known, MonotonicTime now) const
{
    CrashesByPart byPart;
    std::vector<size_t> unexplained;
    for (size_t index = 0; index < m_crashes.size(); ++index) {
        if (!isUnexplained(m_crashes[index], known, now))
            continue;
        unexplained.push_back(index);
        for (const uint64_t part : m_crashes[index].parts.hashes())
            byPart[part].push_back(index);
    }
    const std::vector<size_t>* best = nullptr;
    for (const auto& [part, crashes] : byPart) {
        if (best && crashes.size() <= best->size())
            continue;
        const auto first = std::lower_bound(unexplained.begin(), unexplained.end(), crashes.front());
        const auto since = static_cast<double>(unexplained.end() - first);
        const double share = static_cast<double>(crashes.size()) / since;
        if (countEvidence(part, crashes, unexplained) >= requiredCrashes(part, share))
            best = &crashes;
    }
    return best ? std::make_optional(causeOf(byPart, *best)) : std::nullopt;
}

PartSet CrashHistory::commonWithUnexplained(
    const PartSet& set, const std::vector<PartSet>& known, MonotonicTime now) const
{
    for (const Crash& crash : m_crashes) {
        if (!isUnexplained(crash, known, now))
            continue;
        const PartSet common = crash.parts.intersection(set);
        if (!common.empty())
            return common;
    }
    return {};
}

} // namespace lacewing::gateway
