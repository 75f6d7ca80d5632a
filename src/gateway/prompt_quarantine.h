#pragma once

#include "base/strong_number.h"
#include "gateway/crash_history.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Orders what hosts know of one quarantine.
using QuarantineRevision = StrongNumber<struct QuarantineRevisionTag>;

/// A set of prompt parts that is taken for the cause of crashes, as hosts tell it each other: prompts that
/// have all of these parts are refused.
struct Quarantine {
    PartSet parts;
    QuarantineRevision revision;
    bool isLifted = false;
    /// Number of prompts that have been sent to see whether the cause has gone.
    int probes = 0;
    /// Time from the sending of this until the next probe; nothing if there is none left.
    std::optional<Duration> untilProbe;
};

/// Decides which prompts are kept from engines because engines end on them.
///
/// Load pattern: one part of a prompt crashes each engine that begins an answer on it. Such prompts come at
/// any host, no two alike, beside many sound ones that share their other parts, so that engines end one after
/// the other faster than they start. Hosts tell each other of crashes and of answers that have begun, and
/// each decides by the same rule. What one host decides holds for all, also for one that has just started.
///
/// A wrong suspicion ends with the first answer that begins: of a prompt that was on its way, of one that has
/// some of the parts, or of a probe. Probes are few, since each may crash an engine.
///
/// Has no clock and does no I/O. Its size is bounded.
class PromptQuarantine {
public:
    /// Changes that peers must be told of.
    using Changes = std::vector<Quarantine>;

    void crashed(const CrashReport& report, MonotonicTime now) { m_history.add(report, now); }
    /// Looks for causes; to be called when the reports of a crash have arrived (CrashHistory::settlingTime).
    Changes decide(MonotonicTime now);
    /// @return whether peers must be told that an answer has begun.
    bool isInformative(const AnswerBegin& answer) const;
    /// An answer has begun, at this host or another one.
    Changes answerBegan(const AnswerBegin& answer, MonotonicTime now);
    /// Ends quarantines by their age, and those that changed longest ago if there are too many. To be called
    /// from time to time, and after merge().
    Changes expire(MonotonicTime now);
    /// Takes over what a peer or the store tells.
    ///
    /// @return whether it is newer than what is known, and has been taken over.
    bool merge(const Quarantine& quarantine, MonotonicTime now);

    /// @return the time after which to come back, if the prompt must not be sent now. Nothing for a prompt
    /// that may be sent, as a probe or because it is not in quarantine.
    std::optional<Duration> holdTime(const PartSet& prompt, MonotonicTime now) const;
    /// Reserves the probe that is due for a prompt, if one is; to be called right before the prompt is sent.
    Changes beginProbe(const PartSet& prompt, MonotonicTime now);
    /// Engines of another version have appeared, which may have mended the cause: the next probe is due. All
    /// hosts notice it by themselves, so peers need not be told.
    void enginesReplaced(MonotonicTime now);

    /// @param probes number of probes that have been sent.
    /// @return the time before the next one, or nothing if there is none left.
    static std::optional<Duration> probeDelay(int probes);

    /// @return all quarantines, including those that were lifted.
    std::vector<Quarantine> all(MonotonicTime now) const;
    /// @return number of quarantines in force.
    size_t activeCount() const;

private:
    struct Entry {
        QuarantineRevision revision;
        bool isLifted = false;
        int probes = 0;
        std::optional<MonotonicTime> nextProbe;
        MonotonicTime changed;
    };
    using Entries = std::map<PartSet, Entry>;

    std::vector<PartSet> activeCauses() const;
    Quarantine toMessage(const PartSet& parts, const Entry& entry, MonotonicTime now) const;
    Entry& impose(const PartSet& parts, MonotonicTime now);
    void lift(const PartSet& parts, MonotonicTime now, Changes& changes);
    /// Replaces a quarantine by one of fewer parts.
    void narrow(const PartSet& from, const PartSet& to, MonotonicTime now, Changes& changes);
    /// @return the message that the quarantine has ended.
    Quarantine endOf(const PartSet& parts, const Entry& entry) const;

    CrashHistory m_history;
    Entries m_entries;
};

} // namespace lacewing::gateway
