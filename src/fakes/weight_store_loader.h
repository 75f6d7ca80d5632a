#pragma once

#include "fakes/adapter_loader.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lacewing {

/// Loads adapter weights through POST /weights/load of the platform.
class WeightStoreLoader : public AdapterLoader {
public:
    /// @param loop must outlive the loader.
    WeightStoreLoader(EventLoop& loop, SocketAddress weights);

    void load(const std::string& adapter, const std::string& version, Callback done) override;

private:
    EventLoop& m_loop;
    SocketAddress m_weights;
    std::unique_ptr<HttpClient> m_client;
    std::map<uint64_t, std::unique_ptr<HttpClientCall>> m_calls;
    uint64_t m_nextCall = 0;
};

} // namespace lacewing
