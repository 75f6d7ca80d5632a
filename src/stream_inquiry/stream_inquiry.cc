#include "stream_inquiry/stream_inquiry.h"

#include <utility>

namespace lacewing::stream_inquiry {

StreamInquiry::StreamInquiry(StreamKnowledge own, FleetReach fleet)
    : m_unanswered(std::move(fleet.connected))
    , m_ended(fleet.ended)
    , m_unreachable(fleet.unreachable)
    , m_begunBy(std::move(own.begunBy))
    , m_onlyVersion(std::move(own.onlyVersion))
{
}

void StreamInquiry::answered(const HostId& host, const StreamKnowledge& knowledge)
{
    if (m_unanswered.erase(host) == 0)
        return;
    ++m_answered;
    if (knowledge.begunBy)
        m_begunBy = knowledge.begunBy;
    if (knowledge.onlyVersion != m_onlyVersion)
        m_onlyVersion.reset();
}

bool StreamInquiry::reachesMostOfFleet() const
{
    const size_t reached = m_answered + 1;
    const size_t others = m_unanswered.size() + m_ended + m_unreachable;
    return reached > others;
}

std::optional<StreamBegin> StreamInquiry::result() const
{
    if (m_begunBy)
        return StreamBegin { *m_begunBy, true };
    const bool haveAllAnswered = m_unanswered.empty() && m_unreachable == 0;
    if (!m_onlyVersion || !haveAllAnswered || !reachesMostOfFleet())
        return std::nullopt;
    return StreamBegin { *m_onlyVersion, false };
}

} // namespace lacewing::stream_inquiry
