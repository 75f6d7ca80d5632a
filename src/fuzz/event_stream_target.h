#pragma once

#include "base/stable_hash.h"
#include "fuzz/fuzz_target.h"
#include "gateway/event_relay.h"

namespace lacewing::fuzz {

/// Streams of upstreams. What is passed on must not depend on how the bytes arrive.
class EventStreamTarget : public FuzzTarget {
public:
    std::string name() const override { return "event-stream"; }
    std::optional<std::string> run(std::string_view input) override
    {
        gateway::EventRelay unsplit;
        const std::string expected = unsplit.accept(input);
        gateway::EventRelay chunked;
        std::string chunkedOutput;
        const size_t step = 1 + stableHash(std::string(input)) % maximumChunkBytes;
        for (size_t at = 0; at < input.size(); at += step)
            chunkedOutput += chunked.accept(input.substr(at, step));
        if (chunkedOutput != expected || chunked.remainder() != unsplit.remainder())
            return "the events depend on the sizes of the parts";
        if (chunked.lastId() != unsplit.lastId())
            return "the last id depends on the sizes of the parts";
        return std::nullopt;
    }

private:
    static constexpr size_t maximumChunkBytes = 9;
};

} // namespace lacewing::fuzz
