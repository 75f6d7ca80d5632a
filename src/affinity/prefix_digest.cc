#include "affinity/prefix_digest.h"

#include <algorithm>

namespace lacewing::affinity {

namespace {

constexpr size_t bytesPerFingerprint = sizeof(uint32_t);
constexpr unsigned bitsPerByte = 8;

} // namespace

PrefixDigest::PrefixDigest(std::vector<PrefixFingerprint> fingerprints)
    : m_fingerprints(std::move(fingerprints))
{
    if (m_fingerprints.size() > maximumSize)
        m_fingerprints.resize(maximumSize);
}

std::optional<PrefixDigest> PrefixDigest::fromBytes(const std::vector<uint8_t>& bytes)
{
    if (bytes.size() % bytesPerFingerprint != 0 || bytes.size() > maximumSize * bytesPerFingerprint)
        return std::nullopt;
    std::vector<PrefixFingerprint> fingerprints;
    for (size_t start = 0; start < bytes.size(); start += bytesPerFingerprint) {
        uint32_t value = 0;
        for (size_t index = start; index < start + bytesPerFingerprint; ++index)
            value = (value << bitsPerByte) | bytes[index];
        fingerprints.push_back(PrefixFingerprint { value });
    }
    return PrefixDigest(std::move(fingerprints));
}

std::vector<uint8_t> PrefixDigest::toBytes() const
{
    std::vector<uint8_t> bytes;
    bytes.reserve(m_fingerprints.size() * bytesPerFingerprint);
    for (const PrefixFingerprint fingerprint : m_fingerprints) {
        const auto value = static_cast<uint32_t>(fingerprint);
        for (size_t index = bytesPerFingerprint; index-- > 0;)
            bytes.push_back(static_cast<uint8_t>(value >> (index * bitsPerByte)));
    }
    return bytes;
}

bool PrefixDigest::contains(PrefixFingerprint fingerprint) const
{
    return std::find(m_fingerprints.begin(), m_fingerprints.end(), fingerprint) != m_fingerprints.end();
}

bool PrefixDigest::hasSamePrefixes(const PrefixDigest& other) const
{
    return size() == other.size()
        && std::all_of(m_fingerprints.begin(), m_fingerprints.end(),
            [&other](PrefixFingerprint fingerprint) { return other.contains(fingerprint); });
}

Tokens PrefixDigest::longestMatch(const PromptPrefixes& prompt) const
{
    const auto longest = std::find_if(prompt.all().rbegin(), prompt.all().rend(),
        [this](const PromptPrefix& prefix) { return contains(prefix.fingerprint); });
    return longest == prompt.all().rend() ? Tokens(0) : longest->tokens;
}

} // namespace lacewing::affinity
