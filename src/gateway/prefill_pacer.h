#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/prefill_rate.h"

#include <algorithm>
#include <optional>

namespace lacewing::gateway {

/// Bounds the prompt tokens that an engine has to read at once, so that its running streams keep their pace.
///
/// Load pattern: long prompts arrive while streams run. An engine reads a piece of a prompt in each step, and
/// one event takes several steps, so prompts that wait one behind the other stretch every pause of the
/// streams until the last of them is read. When streams report longer pauses than their route allows, prompts
/// are admitted in portions that the engine reads within a part of such a pause, each after the one before
/// has been read. The part shrinks while pauses are too long and grows while they are not, until nothing is
/// held back.
class PrefillPacer {
public:
    /// A stream has ended.
    ///
    /// @param longestPause between two of its events.
    /// @param targetPause the longest one that is on time; zero if the stream has none.
    void streamEnded(Duration longestPause, Duration targetPause)
    {
        if (targetPause == Duration::zero())
            return;
        if (longestPause > targetPause)
            m_share = std::max(minimumShare, std::min(m_share, initialShare) * decrease);
        else
            m_share = std::min(unboundedShare, m_share + increase);
    }

    /// The engine is given a prompt.
    ///
    /// @param isIdle it had nothing to read.
    void admitted(Tokens prompt, bool isIdle, const PrefillRate& rate, MonotonicTime now)
    {
        if (isPortionComplete(isIdle, rate, now)) {
            m_portion = Tokens(0);
            m_portionStart = now;
        }
        m_portion += prompt;
    }

    /// @param prompt tokens of a further prompt.
    /// @param isIdle the engine has nothing to read.
    /// @param targetPause shortest one of the streams that run at the engine; zero if there is none.
    /// @return whether the engine may be given the prompt now.
    bool admits(
        Tokens prompt, bool isIdle, Duration targetPause, const PrefillRate& rate, MonotonicTime now) const
    {
        const bool isBounded = m_share < unboundedShare && targetPause > Duration::zero();
        if (!isBounded || isPortionComplete(isIdle, rate, now))
            return true;
        return rate.timeFor(m_portion + prompt)
            <= std::chrono::duration_cast<Duration>(m_share * targetPause);
    }

    /// @return the part of a pause that reading may take.
    double share() const { return m_share; }

private:
    /// A run that never begins must not hold the others back.
    bool isPortionComplete(bool isIdle, const PrefillRate& rate, MonotonicTime now) const
    {
        return isIdle || now - m_portionStart > lostRunFactor * rate.timeFor(m_portion) + lostRunSlack;
    }

    static constexpr double unboundedShare = 1.6;
    /// The part with which a bound begins; the rest of a pause is for the steps themselves.
    static constexpr double initialShare = 0.8;
    static constexpr double minimumShare = 0.3;
    static constexpr double decrease = 0.93;
    static constexpr double increase = 0.002;

    /// A portion that takes this many times as long as expected, and a little more, has lost a run.
    static constexpr int lostRunFactor = 2;
    static constexpr Duration lostRunSlack = std::chrono::milliseconds(200);

    double m_share = initialShare;
    /// What the engine has been given since it last had nothing to read, and since when.
    Tokens m_portion;
    MonotonicTime m_portionStart;
};

} // namespace lacewing::gateway
