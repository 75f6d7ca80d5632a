#pragma once

#include "base/ids.h"

#include <string>

namespace lacewing::gateway {

/// Names a stream: the caller's try that brought its first event.
struct StreamName {
    /// Empty for an anonymous caller.
    WorkspaceId workspace;
    std::string requestId;

    friend bool operator<(const StreamName& a, const StreamName& b)
    {
        return a.requestId != b.requestId ? a.requestId < b.requestId : a.workspace < b.workspace;
    }
};

} // namespace lacewing::gateway
