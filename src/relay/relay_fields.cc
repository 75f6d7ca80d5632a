#include "relay/relay_fields.h"

#include "base/digest.h"

namespace lacewing::relay {

std::string relayToken(std::string_view secret, std::string_view relayHost)
{
    return hmacSha256Hex(secret, "relay " + std::string(relayHost));
}

} // namespace lacewing::relay
