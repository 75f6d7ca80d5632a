#include "state/row_store.h"

namespace lacewing {

const char* toString(RowStoreError error)
{
    switch (error) {
    case RowStoreError::Conflict:
        return "conflict";
    case RowStoreError::Refused:
        return "refused";
    case RowStoreError::HistoryLost:
        return "history_lost";
    case RowStoreError::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lacewing
