#pragma once

#include "base/row_version.h"
#include "base/strong_id.h"
#include "base/strong_number.h"

namespace lacewing {

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using AdapterId = StrongId<struct AdapterIdTag>;
using AdapterVersion = StrongId<struct AdapterVersionTag>;
using ModelId = StrongId<struct ModelIdTag>;
/// Version of an upstream's software. Streams of two versions don't fit together.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using RouteId = StrongId<struct RouteIdTag>;
/// Idempotency key chosen by the caller, unique within a workspace.
using RequestId = StrongId<struct RequestIdTag>;
/// SHA-256 digest of an object's content in lower-case hex.
using ContentHash = StrongId<struct ContentHashTag>;

/// Revision number of a configuration; a higher revision supersedes a lower one.
using Revision = StrongNumber<struct RevisionTag>;
/// Fencing token of a lease; increases each time the lease changes its owner.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// Increases each time the daemon of a host starts.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Number of model tokens.
using Tokens = StrongNumber<struct TokensTag>;
/// Size in bytes.
using ByteCount = StrongNumber<struct ByteCountTag>;
/// Identifies a request on a peer link.
using StreamId = StrongNumber<struct StreamIdTag>;

/// Identifies a version of an adapter.
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
