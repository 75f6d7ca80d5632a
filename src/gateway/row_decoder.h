#pragma once

#include "gateway/serving_configuration.h"
#include "gateway/upstream_entry.h"
#include "state/row_store.h"

#include <memory>

namespace lacewing::gateway {

/// A version of an adapter's weights that operators have released.
struct AdapterRelease {
    ModelId model;
    AdapterId adapter;
    int64_t version = 0;
};

/// Decodes the rows that operators and upstreams write to the store. Each platform has its own
/// implementation.
class RowDecoder {
public:
    virtual ~RowDecoder() = default;

    virtual std::string operatorTable() const = 0;
    virtual std::string upstreamTable() const = 0;
    /// @return key of the row that holds the configuration.
    virtual std::string configurationKey() const = 0;
    /// @param reason receives why the row can't be used.
    /// @return null if the row can't be used.
    virtual std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string& value, std::string& reason) const = 0;
    /// @return nothing if the row is not a valid adapter release.
    virtual std::optional<AdapterRelease> readRelease(const StoredRow& row) const = 0;
    /// @return the data centre whose evacuation the row requests or, if it is deleted, ends; nothing if the
    /// row
    ///     is not an evacuation. Only the key counts.
    virtual std::optional<DataCentreId> readEvacuation(const RowKey& id) const = 0;
    /// @return nothing if the row does not describe a usable upstream.
    virtual std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const = 0;
};

} // namespace lacewing::gateway
