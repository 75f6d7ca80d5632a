#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/serving_configuration.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// An adapter that an engine has loaded, with the version of its weights.
struct HeldAdapter {
    AdapterId adapter;
    int64_t version = 0;
};

/// A model that an engine has loaded, with its adapters.
struct HeldModel {
    ModelId model;
    int64_t version = 0;
    std::vector<HeldAdapter> adapters;
    /// Adapters that are being loaded; each already occupies an adapter slot.
    std::vector<HeldAdapter> loading;
};

/// The row that an upstream publishes about itself in the store.
struct UpstreamEntry {
    UpstreamId id;
    ServiceId service;
    SocketAddress address;
    DataCentreId dataCentre;
    int slots = 1;
    /// The upstream is shutting down and must not get new requests.
    bool isDraining = false;
    /// Distinguishes restarts of an upstream that keeps its id.
    int64_t startedAt = 0;
    SoftwareVersion softwareVersion;
    /// Number of load and unload orders that the engine has accepted since its start.
    int64_t orderSequence = 0;
    std::vector<HeldModel> models;
    /// Time for which the upstream is cold from the writing of the row; nothing if the row does not say.
    std::optional<Duration> coldRemaining;
    /// When this host read the row.
    MonotonicTime read;
};

/// State that an engine reports on request.
struct EngineReport {
    int64_t orderSequence = 0;
    /// The engine is loading or unloading a model and accepts no orders.
    bool isBusy = false;
    std::vector<HeldModel> models;
};

} // namespace lacewing::gateway
