#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/prefill_rate.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// Limits the prompt tokens that an engine prefills at once, so that the running streams keep their pace.
///
/// Load pattern: long prompts arrive while streams run. An engine prefills a chunk of a prompt in each step,
/// and one event takes several steps, so queued prompts lengthen every pause of the streams until the last of
/// them is prefilled. When streams report longer pauses than their route allows, prompts are admitted in
/// portions that the engine prefills within a share of such a pause, each portion after the previous one has
/// been prefilled. The share shrinks while pauses are too long and grows while they are not, until the limit
/// is lifted.
class PrefillPacer {
public:
    /// Adjusts the share after a stream has ended.
    ///
    /// @param longestPause longest pause between two of its events.
    /// @param targetPause longest pause that is on time; zero if the stream has no target.
    void streamEnded(Duration longestPause, Duration targetPause)
    {
        if (targetPause == Duration::zero())
            return;
        if (longestPause > targetPause)
            m_share = std::max(minimumShare, std::min(m_share, initialShare) * decrease);
        else
            m_share = std::min(unboundedShare, m_share + increase);
    }

    /// Records that a prompt was sent to the engine.
    ///
    /// @param isIdle whether the engine had nothing to prefill.
    void admitted(Tokens prompt, bool isIdle, const PrefillRate& rate, MonotonicTime now)
    {
        if (isPortionComplete(isIdle, rate, now)) {
            m_portion = Tokens(0);
            m_portionStart = now;
        }
        m_portion += prompt;
    }

    /// @param prompt tokens of a further prompt.
    /// @param isIdle whether the engine has nothing to prefill.
    /// @param targetPause shortest target of the engine's running streams; zero if none has one.
    /// @return whether the prompt may be sent to the engine now.
    bool admits(
        Tokens prompt, bool isIdle, Duration targetPause, const PrefillRate& rate, MonotonicTime now) const
    {
        const bool isBounded = m_share < unboundedShare && targetPause > Duration::zero();
        if (!isBounded || isPortionComplete(isIdle, rate, now))
            return true;
        return rate.timeFor(m_portion + prompt)
            <= std::chrono::duration_cast<Duration>(m_share * targetPause);
    }

    /// @return the share of a pause that prefill may take.
    double share() const { return m_share; }

private:
    /// A lost run must not block the others, so a portion also completes after a timeout.
    bool isPortionComplete(bool isIdle, const PrefillRate& rate, MonotonicTime now) const
    {
        return isIdle || now - m_portionStart > lostRunFactor * rate.timeFor(m_portion) + lostRunSlack;
    }

    static constexpr double unboundedShare = 1.6;
    /// Share at which limiting starts; the rest of a pause is left for the decoding steps.
    static constexpr double initialShare = 0.8;
    static constexpr double minimumShare = 0.3;
    static constexpr double decrease = 0.93;
    static constexpr double increase = 0.002;

    /// A portion contains a lost run if it takes this multiple of the expected time plus the slack.
    static constexpr int lostRunFactor = 2;
    static constexpr Duration lostRunSlack = std::chrono::milliseconds(200);

    double m_share = initialShare;
    /// Prompt tokens sent to the engine in the current portion, and when it started.
    Tokens m_portion;
    MonotonicTime m_portionStart;
};

} // namespace lacewing::gateway
