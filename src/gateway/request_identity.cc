#include "gateway/request_identity.h"

#include "base/digest.h"

#include <charconv>
#include <string>

namespace lacewing::gateway {

namespace {

constexpr size_t hexDigitsPerHash = 16;

} // namespace

uint64_t requestHash(const RequestIdentity& request)
{
    std::string text;
    text.reserve(request.body.size() + 256);
    for (const std::string_view field :
        { request.method, request.authority, request.path, request.query, request.caller, request.body }) {
        // The length keeps fields apart, whatever bytes they have.
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }
    const std::string digest = sha256Hex(text);
    uint64_t hash = 0;
    std::from_chars(digest.data(), digest.data() + hexDigitsPerHash, hash, 16);
    return hash | requestHashBit;
}

bool isRequestHash(uint64_t hash)
{
    return (hash & requestHashBit) != 0;
}

} // namespace lacewing::gateway
