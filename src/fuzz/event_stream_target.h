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
        gateway::EventRelay whole;
        const std::string expected = whole.accept(input);
        gateway::EventRelay inParts;
        std::string passedOn;
        const size_t step = 1 + stableHash(std::string(input)) % longestPart;
        for (size_t at = 0; at < input.size(); at += step)
            passedOn += inParts.accept(input.substr(at, step));
        if (passedOn != expected || inParts.remainder() != whole.remainder())
            return "the events depend on the sizes of the parts";
        if (inParts.lastId() != whole.lastId())
            return "the last id depends on the sizes of the parts";
        return std::nullopt;
    }

private:
    static constexpr size_t longestPart = 9;
};

} // namespace lacewing::fuzz
