#include "state/store_era_tracker.h"

#include "base/log.h"

#include <charconv>
#include <utility>

namespace lacewing {

std::optional<StoreEra> StoreEraTracker::parse(const std::optional<std::string>& text)
{
    if (!text)
        return std::nullopt;
    int64_t number = 0;
    const char* end = text->data() + text->size();
    const auto [parsed, error] = std::from_chars(text->data(), end, number);
    const bool isNumber = error == std::errc() && parsed == end;
    return isNumber && number > 0 ? std::make_optional(StoreEra(number)) : std::nullopt;
}

void StoreEraTracker::begin(StoreEra era)
{
    if (m_current != StoreEra())
        LogEvent(LogLevel::Warning, "store_restored").with("era", era).with("previous_era", m_current);
    m_current = era;
}

bool StoreEraTracker::accept(std::optional<StoreEra> stated)
{
    const auto unconfirmed = std::exchange(m_unconfirmed, std::nullopt);
    if (!stated)
        return m_current == StoreEra();
    if (*stated <= m_current)
        return *stated == m_current;
    const bool skipsEras = m_current != StoreEra() && stated->value() > m_current.value() + 1;
    if (skipsEras && unconfirmed != stated) {
        m_unconfirmed = stated;
        return false;
    }
    begin(*stated);
    return true;
}

} // namespace lacewing
