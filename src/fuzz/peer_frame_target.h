#pragma once

#include "fuzz/fuzz_target.h"
#include "gateway/peer_message.h"

namespace lacewing::fuzz {

/// Frames between hosts. What can be read must mean the same once it was written and read again.
class PeerFrameTarget : public FuzzTarget {
public:
    std::string name() const override { return "peer-frame"; }
    std::optional<std::string> run(std::string_view input) override
    {
        const auto message = gateway::decodePeerMessage(input);
        if (!message)
            return std::nullopt;
        const std::string frame = gateway::encodePeerMessage(*message);
        const auto again = gateway::decodePeerMessage(frame);
        if (!again)
            return "the message can't be read again";
        if (gateway::encodePeerMessage(*again) != frame)
            return "the message changes when it is read again";
        return std::nullopt;
    }
};

} // namespace lacewing::fuzz
