#pragma once

#include "gateway/serving_configuration.h"
#include "gateway/upstream_entry.h"
#include "state/row_store.h"

#include <memory>

namespace lacewing::gateway {

/// A new version of an adapter's weights that operators have named.
struct AdapterRelease {
    ModelId model;
    AdapterId adapter;
    int64_t version = 0;
};

/// Decodes rows that others write. Implemented for each platform.
class RowDecoder {
public:
    virtual ~RowDecoder() = default;

    virtual std::string operatorTable() const = 0;
    virtual std::string upstreamTable() const = 0;
    /// @return key of the row with the configuration in force.
    virtual std::string configurationKey() const = 0;
    /// @param reason receives why the row can't be used.
    /// @return null if the row can't be used.
    virtual std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string& value, std::string& reason) const = 0;
    /// @return nothing if the row is not a readable release of an adapter.
    virtual std::optional<AdapterRelease> readRelease(const StoredRow& row) const = 0;
    /// @return nothing if the row does not describe an upstream that can be used.
    virtual std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const = 0;
};

} // namespace lacewing::gateway
