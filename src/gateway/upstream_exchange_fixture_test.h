#pragma once

#include "base/metrics.h"
#include "base/virtual_scheduler.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"
#include "gateway/peer_message.h"
#include "gateway/upstream_directory.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// What a host's exchange about one upstream needs, and what the exchange tells.
struct UpstreamExchangeFixture {
    /// Decodes rows of upstreams whose value is the start of the upstream's process; all say ready.
    class Rows : public FakeRowDecoder {
    public:
        std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
        {
            UpstreamEntry entry;
            entry.id = UpstreamId(row.id.key);
            entry.startedAt = std::stoll(row.value);
            return entry;
        }
    };

    void writeRow(const char* startedAt) { store.put({ "servers", upstream.value() }, startedAt); }
    void readRows()
    {
        upstreams.start();
        scheduler.advance(std::chrono::milliseconds(50));
    }

    inline static const UpstreamId upstream { "u-1" };
    inline static const HostId peer { "host-2" };

    VirtualScheduler scheduler;
    FakeRowStore store { scheduler };
    Rows rows;
    UpstreamDirectory upstreams { scheduler, store, rows, { [] {}, [](const table_sync::ChangeSet&) {} } };
    MetricsRegistry metrics;
    std::vector<PeerMessage> sent;
    int changes = 0;
};

} // namespace lacewing::gateway
