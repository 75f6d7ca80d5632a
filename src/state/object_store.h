#pragma once

#include "base/ids.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewing {

/// Why a call to the object store failed.
enum class ObjectStoreError {
    NotFound,
    Unavailable,
    /// The content does not match its hash.
    Corrupt,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(ObjectStoreError error);

/// Interface to the platform's content-addressed object store. Objects are immutable.
class ObjectStore {
public:
    /// Receives the content, or the error.
    using FetchCallback
        = std::function<void(std::optional<std::string> content, std::optional<ObjectStoreError> error)>;
    /// Receives std::nullopt on success, or the error. Storing the same content again succeeds.
    using StoreCallback = std::function<void(std::optional<ObjectStoreError> error)>;

    virtual ~ObjectStore() = default;

    /// Fetches an object and verifies its hash.
    virtual void fetch(ContentHash hash, FetchCallback callback) = 0;

    /// Stores an object under its content hash.
    virtual void store(ContentHash hash, std::string content, StoreCallback callback) = 0;
};

} // namespace lacewing
