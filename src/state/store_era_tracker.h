#pragma once

#include "base/row_version.h"

#include <optional>
#include <string>

namespace lacewing {

/// Learns from the store's answers that it has come back from a copy.
///
/// Load pattern: answers of before a loss arrive after those of after it, and the field that states the era
/// is missing, unreadable or too low in some of them. Rows of such an answer can't be placed, so it counts as
/// lost. An era that skips others holds only once the next answer states it too, since one damaged answer
/// must not make all later ones look old.
class StoreEraTracker {
public:
    /// @param text value of the field that states the era; nothing if the answer has none.
    /// @return the era, or nothing if the text is not a positive decimal number.
    static std::optional<StoreEra> parse(const std::optional<std::string>& text);

    /// @param stated era that an answer states; nothing if it states none that is valid.
    /// @return whether the answer is of the current era, which may have begun with it.
    bool accept(std::optional<StoreEra> stated);
    /// @return the newest era; 0 before the first answer, and for a store that does not state its era.
    StoreEra current() const { return m_current; }

private:
    void begin(StoreEra era);

    StoreEra m_current;
    /// An era above the next one, stated by the latest answer.
    std::optional<StoreEra> m_unconfirmed;
};

} // namespace lacewing
