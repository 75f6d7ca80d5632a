#pragma once

#include "gateway/row_decoder.h"

namespace lacewing::gateway {

/// A decoder with fixed table and key names that rejects every row. Tests override what they need.
class FakeRowDecoder : public RowDecoder {
public:
    std::string operatorTable() const override { return "op"; }
    std::string upstreamTable() const override { return "servers"; }
    std::string configurationKey() const override { return "config"; }
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string&, std::string&) const override
    {
        return nullptr;
    }
    std::optional<AdapterRelease> readRelease(const StoredRow&) const override { return std::nullopt; }
    std::optional<DataCentreId> readEvacuation(const RowKey& id) const override
    {
        constexpr std::string_view prefix = "evacuated:";
        if (id.key.rfind(prefix, 0) != 0)
            return std::nullopt;
        return DataCentreId(id.key.substr(prefix.size()));
    }
    std::optional<UpstreamEntry> readUpstream(const StoredRow&) const override { return std::nullopt; }
};

} // namespace lacewing::gateway
