#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/serving_configuration.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// An adapter that an engine holds, with the version of its weights.
struct HeldAdapter {
    AdapterId adapter;
    int64_t version = 0;
};

/// A model that an engine holds, with its adapters.
struct HeldModel {
    ModelId model;
    int64_t version = 0;
    std::vector<HeldAdapter> adapters;
    /// Adapters that are being loaded; their places are taken.
    std::vector<HeldAdapter> loading;
};

/// What an upstream says about itself in the store.
struct UpstreamEntry {
    UpstreamId id;
    ServiceId service;
    SocketAddress address;
    DataCentreId dataCentre;
    int slots = 1;
    /// It is leaving and must get no new work.
    bool isDraining = false;
    /// Distinguishes the starts of an upstream that keeps its id.
    int64_t startedAt = 0;
    /// Orders that the engine has accepted since its start.
    int64_t orderSequence = 0;
    std::vector<HeldModel> models;
};

/// What an engine reports when asked.
struct EngineReport {
    int64_t orderSequence = 0;
    /// It is loading or dropping a model and takes no orders.
    bool isBusy = false;
    std::vector<HeldModel> models;
};

} // namespace lacewing::gateway
