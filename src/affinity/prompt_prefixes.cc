#include "affinity/prompt_prefixes.h"

#include "base/stable_hash.h"

namespace lacewing::affinity {

namespace {

constexpr uint64_t multiplier = 0x9e3779b97f4a7c15ULL;

} // namespace

PrefixHasher::PrefixHasher(const ModelId& model, const AdapterId& adapter)
    : m_hash(stableHash(model.value() + '/' + adapter.value()))
{
}

void PrefixHasher::append(uint64_t part)
{
    const uint64_t mixed = (m_hash ^ (m_hash >> 29)) * multiplier + part;
    m_hash = mixed ^ (mixed >> 32);
}

PrefixFingerprint PrefixHasher::fingerprintOf(uint64_t hash)
{
    return PrefixFingerprint { static_cast<uint32_t>((hash * multiplier) >> 32) };
}

void PromptPrefixes::append(uint64_t part, Tokens tokens)
{
    m_hasher.append(part);
    const Tokens before = m_prefixes.empty() ? Tokens(0) : m_prefixes.back().tokens;
    m_prefixes.push_back({ PrefixHasher::fingerprintOf(m_hasher.hash()), before + tokens });
}

} // namespace lacewing::affinity
