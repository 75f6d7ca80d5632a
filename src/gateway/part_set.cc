#include "gateway/part_set.h"

#include "gateway/request_identity.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace lacewing::gateway {

PartSet::PartSet(std::vector<uint64_t> hashes)
    : m_hashes(std::move(hashes))
{
    std::sort(m_hashes.begin(), m_hashes.end());
    m_hashes.erase(std::unique(m_hashes.begin(), m_hashes.end()), m_hashes.end());
}

PartSet::PartSet(std::initializer_list<uint64_t> hashes)
    : PartSet(std::vector<uint64_t>(hashes))
{
}

PartSet PartSet::of(const std::vector<PromptPart>& prompt)
{
    std::vector<uint64_t> hashes;
    hashes.reserve(prompt.size());
    for (const PromptPart& part : prompt)
        hashes.push_back(part.id & ~requestHashBit);
    return PartSet(std::move(hashes));
}

bool PartSet::includes(uint64_t hash) const
{
    return std::binary_search(m_hashes.begin(), m_hashes.end(), hash);
}

bool PartSet::includes(const PartSet& other) const
{
    return std::includes(m_hashes.begin(), m_hashes.end(), other.m_hashes.begin(), other.m_hashes.end());
}

bool PartSet::intersects(const PartSet& other) const
{
    return std::any_of(
        other.m_hashes.begin(), other.m_hashes.end(), [this](uint64_t hash) { return includes(hash); });
}

PartSet PartSet::intersection(const PartSet& other) const
{
    PartSet result;
    std::set_intersection(m_hashes.begin(), m_hashes.end(), other.m_hashes.begin(), other.m_hashes.end(),
        std::back_inserter(result.m_hashes));
    return result;
}

PartSet PartSet::difference(const PartSet& other) const
{
    PartSet result;
    std::set_difference(m_hashes.begin(), m_hashes.end(), other.m_hashes.begin(), other.m_hashes.end(),
        std::back_inserter(result.m_hashes));
    return result;
}

void PartSet::add(const PartSet& other)
{
    std::vector<uint64_t> merged;
    merged.reserve(size() + other.size());
    std::set_union(m_hashes.begin(), m_hashes.end(), other.m_hashes.begin(), other.m_hashes.end(),
        std::back_inserter(merged));
    m_hashes = std::move(merged);
}

std::string PartSet::text(char separator) const
{
    std::ostringstream text;
    text << std::hex;
    for (const uint64_t hash : m_hashes) {
        if (hash != m_hashes.front())
            text << separator;
        text << hash;
    }
    return text.str();
}

void PartSet::truncate(size_t size)
{
    if (m_hashes.size() > size)
        m_hashes.resize(size);
}

} // namespace lacewing::gateway
