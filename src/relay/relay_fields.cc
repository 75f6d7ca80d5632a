#include "relay/relay_fields.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace lacewing::relay {

std::string relayToken(std::string_view secret, std::string_view relayHost)
{
    const std::string text = "relay " + std::string(relayHost);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

bool matchesToken(std::string_view token, std::string_view expected)
{
    return token.size() == expected.size()
        && CRYPTO_memcmp(token.data(), expected.data(), expected.size()) == 0;
}

} // namespace lacewing::relay
