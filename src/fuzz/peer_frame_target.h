#pragma once

#include "fuzz/fuzz_target.h"
#include "gateway/peer_message.h"

namespace lacewing::fuzz {

/// Feeds frames to the decoder of messages between hosts. A decoded message must survive encoding and
/// decoding unchanged.
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
            return "the re-encoded message can't be decoded";
        if (gateway::encodePeerMessage(*again) != frame)
            return "the message changes when it is re-encoded";
        return std::nullopt;
    }
};

} // namespace lacewing::fuzz
