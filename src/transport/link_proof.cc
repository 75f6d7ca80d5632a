#include "transport/link_proof.h"

#include "base/cbor.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace lacewing {

namespace {

using nlohmann::json;

constexpr size_t nonceBytes = 32;
constexpr const char* helloType = "Hello";
constexpr const char* proofType = "HelloProof";
/// Separates these proofs from other uses of the secret.
constexpr const char* proofContext = "lacewing-link-1";

json binary(std::string_view bytes)
{
    return json::binary(json::binary_t::container_type(bytes.begin(), bytes.end()));
}

/// @return a map with the given type, or nothing.
std::optional<json> decodeMap(std::string_view frame, const char* type)
{
    if (frame.size() > maximumHelloBytes)
        return std::nullopt;
    std::optional<json> map = fromCbor(frame);
    if (!map || !map->is_object())
        return std::nullopt;
    const auto found = map->find("type");
    if (found == map->end() || !found->is_string() || found->get_ref<const std::string&>() != type)
        return std::nullopt;
    return map;
}

std::optional<std::string> textField(const json& map, const char* name)
{
    const auto found = map.find(name);
    if (found == map.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::optional<std::string> binaryField(const json& map, const char* name)
{
    const auto found = map.find(name);
    if (found == map.end() || !found->is_binary())
        return std::nullopt;
    const json::binary_t& bytes = found->get_binary();
    return std::string(bytes.begin(), bytes.end());
}

/// Appends a part with its length, so that different parts never give the same text.
void appendPart(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

void appendHello(std::string& text, const LinkHello& hello)
{
    appendPart(text, hello.host.value());
    appendPart(text, std::to_string(hello.incarnation.value()));
    appendPart(text, hello.dataCentre.value());
    appendPart(text, hello.nonce);
}

} // namespace

std::optional<std::string> makeLinkNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return std::nullopt;
    return std::string(bytes.begin(), bytes.end());
}

std::string encodeLinkHello(const LinkHello& hello)
{
    return toCbor(
        { { "type", helloType }, { "host", hello.host.value() }, { "incarnation", hello.incarnation.value() },
            { "dataCentre", hello.dataCentre.value() }, { "nonce", binary(hello.nonce) } });
}

std::optional<LinkHello> decodeLinkHello(std::string_view frame)
{
    const std::optional<json> map = decodeMap(frame, helloType);
    if (!map)
        return std::nullopt;
    const auto host = textField(*map, "host");
    const auto dataCentre = textField(*map, "dataCentre");
    const auto nonce = binaryField(*map, "nonce");
    const auto incarnation = map->find("incarnation");
    if (!host || host->empty() || !dataCentre || !nonce || nonce->size() != nonceBytes
        || incarnation == map->end() || !incarnation->is_number_unsigned())
        return std::nullopt;
    const auto number = incarnation->get<uint64_t>();
    if (number > static_cast<uint64_t>(INT64_MAX))
        return std::nullopt;
    return LinkHello { HostId(*host), Incarnation(static_cast<int64_t>(number)), DataCentreId(*dataCentre),
        *nonce };
}

std::string linkProof(
    std::string_view secret, LinkRole role, const LinkHello& prover, const LinkHello& verifier)
{
    std::string text;
    appendPart(text, proofContext);
    appendPart(text, role == LinkRole::Connector ? "connector" : "acceptor");
    appendHello(text, prover);
    appendHello(text, verifier);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return std::string(reinterpret_cast<const char*>(digest.data()), size);
}

std::string encodeLinkProof(std::string_view proof)
{
    return toCbor({ { "type", proofType }, { "mac", binary(proof) } });
}

bool matchesLinkProof(std::string_view frame, std::string_view proof)
{
    const std::optional<json> map = decodeMap(frame, proofType);
    if (!map)
        return false;
    const auto mac = binaryField(*map, "mac");
    return mac && !proof.empty() && mac->size() == proof.size()
        && CRYPTO_memcmp(mac->data(), proof.data(), proof.size()) == 0;
}

} // namespace lacewing
