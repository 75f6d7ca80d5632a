#pragma once

#include <algorithm>
#include <optional>

namespace lacewing::overload {

/// Number of route priorities that are told apart within one priority of workspaces.
constexpr int routePriorities = 3;

/// Combines the priorities of a request's workspace and route into its priority in the queue of an engine.
/// The workspace's priority goes first; among requests of workspaces of equal priority the route's one
/// decides.
///
/// @param workspacePriority nothing if the workspace has none.
/// @return the priority; 0 is the most urgent.
inline int queuePriority(std::optional<int> workspacePriority, int routePriority)
{
    if (!workspacePriority)
        return routePriority;
    return *workspacePriority * routePriorities + std::clamp(routePriority, 0, routePriorities - 1);
}

} // namespace lacewing::overload
