#include "gateway/run_request.h"

namespace lacewing::gateway {

const char* toString(RunRefusal reason)
{
    switch (reason) {
    case RunRefusal::Overloaded:
        return "overloaded";
    case RunRefusal::NotOwner:
        return "not_owner";
    case RunRefusal::EngineLeaving:
        return "engine_leaving";
    case RunRefusal::EngineUnusable:
        return "engine_unusable";
    case RunRefusal::UpstreamLimit:
        return "upstream_limit";
    }
    return "unknown";
}

} // namespace lacewing::gateway
