#include "state/object_store.h"

namespace lacewing {

const char* toString(ObjectStoreError error)
{
    switch (error) {
    case ObjectStoreError::NotFound:
        return "not_found";
    case ObjectStoreError::Unavailable:
        return "unavailable";
    case ObjectStoreError::Corrupt:
        return "corrupt";
    }
    return "invalid";
}

} // namespace lacewing
