#pragma once

#include "base/stable_hash.h"
#include "fuzz/fuzz_target.h"
#include "gateway/event_relay.h"

namespace lacewing::fuzz {

/// Feeds event streams to the event relay. The relayed output must not depend on how the input is split into
/// chunks.
class EventStreamTarget : public FuzzTarget {
public:
    std::string name() const override { return "event-stream"; }
    std::optional<std::string> run(std::string_view input) override
    {
        gateway::EventRelay unsplit(m_format);
        const std::string expected = unsplit.accept(input);
        gateway::EventRelay chunked(m_format);
        std::string chunkedOutput;
        const size_t step = 1 + stableHash(std::string(input)) % maximumChunkBytes;
        for (size_t at = 0; at < input.size(); at += step)
            chunkedOutput += chunked.accept(input.substr(at, step));
        if (chunkedOutput != expected || chunked.remainder() != unsplit.remainder())
            return "the relayed events depend on the chunk size";
        if (lastNumber(chunked) != lastNumber(unsplit))
            return "the last event id depends on the chunk size";
        if (chunked.fault() != unsplit.fault())
            return "the fault depends on the chunk size";
        return std::nullopt;
    }

private:
    static constexpr size_t maximumChunkBytes = 9;

    static std::optional<uint64_t> lastNumber(const gateway::EventRelay& relay)
    {
        return relay.lastId() ? std::make_optional(relay.lastId()->number) : std::nullopt;
    }

    const gateway::EventFormat m_format;
};

} // namespace lacewing::fuzz
