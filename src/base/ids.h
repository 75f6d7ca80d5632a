#pragma once

#include "base/strong_id.h"
#include "base/strong_number.h"

namespace lacewing {

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using AdapterId = StrongId<struct AdapterIdTag>;
using AdapterVersion = StrongId<struct AdapterVersionTag>;
using ModelId = StrongId<struct ModelIdTag>;
using RouteId = StrongId<struct RouteIdTag>;
/// The caller's idempotency key, unique within a workspace.
using RequestId = StrongId<struct RequestIdTag>;
/// SHA-256 of some content in lower-case hex.
using ContentHash = StrongId<struct ContentHashTag>;

/// Number of a configuration; a higher one replaces a lower one.
using Revision = StrongNumber<struct RevisionTag>;
/// Grows each time a lease changes hands.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// Grows each time the daemon of a host starts.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Version of a table row; 0 means that the row does not exist.
using RowVersion = StrongNumber<struct RowVersionTag>;
/// Model tokens.
using Tokens = StrongNumber<struct TokensTag>;
/// Bytes.
using ByteCount = StrongNumber<struct ByteCountTag>;
/// Number of one request on one peer link.
using StreamId = StrongNumber<struct StreamIdTag>;

/// An adapter together with the version that a request is pinned to.
struct AdapterKey {
    AdapterId adapter;
    AdapterVersion version;

    friend bool operator==(const AdapterKey& a, const AdapterKey& b)
    {
        return a.adapter == b.adapter && a.version == b.version;
    }
    friend bool operator!=(const AdapterKey& a, const AdapterKey& b) { return !(a == b); }
    friend bool operator<(const AdapterKey& a, const AdapterKey& b)
    {
        return a.adapter != b.adapter ? a.adapter < b.adapter : a.version < b.version;
    }
};

} // namespace lacewing
