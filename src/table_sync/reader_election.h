#pragma once

#include "base/ids.h"

#include <set>

namespace lacewing::table_sync {

/// Decides whether a host is a reader: it polls the tables of upstreams and operators at short intervals and
/// relays changes to the other hosts. In a small fleet all hosts are readers.
///
/// Load pattern: the store's calls for reads are shared by all hosts, of which there are hundreds. Each host
/// decides by itself, and hosts that are in touch with the same peers decide alike.
///
/// @param peers in touch that reach the store.
bool isReader(const HostId& self, const std::set<HostId>& peers);

} // namespace lacewing::table_sync
