#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/part_set.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace lacewing::gateway {

/// An upstream's process broke off runs before their answers had begun, as one host saw it.
struct CrashReport {
    UpstreamId engine;
    /// Start of the upstream's process, which can end only once.
    int64_t startedAt = 0;
    /// Hashes of these requests, and of the parts of their prompts.
    PartSet parts;
};

/// An upstream's process has begun an answer to a request.
struct AnswerBegin {
    UpstreamId engine;
    /// Start of the upstream's process.
    int64_t startedAt = 0;
    PartSet parts;
};

/// The crashes of upstreams, and which requests or parts of prompts they have in common.
///
/// Load pattern: an engine ends when it begins an answer, and all that it runs breaks off together; each host
/// sees only its own requests among them. A part of which an answer has begun since is not the cause, which
/// soon clears the parts that many sound requests share. Parts that were sound shortly before, or that are in
/// few of the crashes only, need more evidence. Engines that end at the same moment, as in a rack
/// that loses power, count as one crash of the parts that most of them ran. A process that begins another
/// answer has not ended: its connections were broken for another reason.
///
/// A request is one more part of what an upstream ran. It may come again after each crash, within
/// milliseconds if it may run more than once, so each process that ended under it counts, unless it was sound
/// shortly before. Of several requests that were in the same crashes, the one that was most often alone is
/// the cause.
///
/// Has no clock and does no I/O. Its size is bounded.
class CrashHistory {
public:
    /// Crashes that are closer to each other than this count as one.
    static constexpr Duration correlationTime = std::chrono::milliseconds(200);
    /// Time after a crash in which the reports of all hosts arrive.
    static constexpr Duration settlingTime = std::chrono::milliseconds(100);

    void add(const CrashReport& report, MonotonicTime now);
    /// Clears the parts of the prompt, and the engine's process.
    void clear(const AnswerBegin& answer, MonotonicTime now);
    /// @return whether an answer clears a part or a process.
    bool isCleared(const AnswerBegin& answer) const;

    /// Finds the parts that are in most crashes, and in the same ones.
    ///
    /// @param known causes that explain a crash by themselves.
    /// @return nothing if no part is in enough crashes.
    std::optional<PartSet> findCause(const std::vector<PartSet>& known, MonotonicTime now) const;
    /// @return the parts of a set that are in a settled crash which no known cause explains; empty if there
    /// is none.
    PartSet commonWithUnexplained(
        const PartSet& set, const std::vector<PartSet>& known, MonotonicTime now) const;
    /// @return number of crashes that are kept.
    size_t size() const { return m_crashes.size(); }

private:
    struct Crash {
        UpstreamId engine;
        int64_t startedAt = 0;
        MonotonicTime time;
        PartSet parts;
    };
    /// What is known of a part: the crashes that it is in, by index.
    using CrashesByPart = std::map<uint64_t, std::vector<size_t>>;

    bool isSettled(const Crash& crash, MonotonicTime now) const;
    bool isUnexplained(const Crash& crash, const std::vector<PartSet>& known, MonotonicTime now) const;
    /// Counts the moments at which most of the engines that ended had run a part.
    ///
    /// @param crashes indexes of the crashes that the part is in.
    /// @param unexplained indexes of all crashes that count.
    int countMoments(const std::vector<size_t>& crashes, const std::vector<size_t>& unexplained) const;
    bool wasSound(uint64_t part) const;
    /// @return the crashes of a part that count as evidence against it.
    int countEvidence(
        uint64_t part, const std::vector<size_t>& crashes, const std::vector<size_t>& unexplained) const;
    /// @param share of the unexplained crashes since the part's first one that it is in.
    int requiredCrashes(uint64_t part, double share) const;
    /// @return the parts of a cause that are in these crashes and in no others.
    PartSet causeOf(const CrashesByPart& byPart, const std::vector<size_t>& crashes) const;
    /// @return the request that most of the crashes have as their only one.
    uint64_t mostOftenAlone(const std::vector<uint64_t>& requests, const std::vector<size_t>& crashes) const;
    void rememberSound(const PartSet& parts, MonotonicTime now);
    void forgetOld(MonotonicTime now);

    std::deque<Crash> m_crashes;
    /// Parts with which answers began since the last rotation, and in the time before it.
    std::unordered_set<uint64_t> m_soundParts;
    std::unordered_set<uint64_t> m_formerSoundParts;
    MonotonicTime m_soundRotation;
};

} // namespace lacewing::gateway
