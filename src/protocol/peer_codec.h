#pragma once

#include "state/peer_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// Why a frame could not be decoded.
enum class PeerCodecReason {
    None,
    /// Not one CBOR item, or beyond the limits of fromCbor().
    InvalidCbor,
    NotAMap,
    /// The type is one that this version does not know.
    UnknownType,
    MissingField,
    /// A field has another kind than expected, or a number is negative.
    WrongKind,
    /// A number is too large, or a name is none of those allowed.
    OutOfRange,
};

/// @return the reason's name in snake_case, for logs and metrics.
const char* toString(PeerCodecReason reason);

/// Why the last decode() failed.
struct PeerCodecError {
    PeerCodecReason reason = PeerCodecReason::None;
    /// Name of the field; empty if the reason concerns the whole frame.
    std::string field;
};

/// Converts messages between daemons to and from CBOR maps.
///
/// Extra fields are ignored, so that daemons of different versions can talk to each other. No number in a
/// message may be negative.
class PeerCodec {
public:
    /// @return the content of one binary frame.
    static std::string encode(const PeerMessage& message);

    /// Never throws, whatever the bytes are.
    ///
    /// @return nothing if the frame is invalid; lastError() tells why.
    std::optional<PeerMessage> decode(std::string_view frame);

    const PeerCodecError& lastError() const { return m_lastError; }

private:
    PeerCodecError m_lastError;
};

} // namespace lacewing
