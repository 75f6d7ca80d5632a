#include "state/table_service.h"

namespace lacewing {

const char* toString(TableError error)
{
    switch (error) {
    case TableError::Conflict:
        return "conflict";
    case TableError::Unavailable:
        return "unavailable";
    case TableError::Unknown:
        return "unknown";
    case TableError::Throttled:
        return "throttled";
    }
    return "invalid";
}

} // namespace lacewing
