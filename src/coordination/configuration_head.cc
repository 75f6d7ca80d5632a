#include "coordination/configuration_head.h"

#include <algorithm>
#include <sstream>

namespace lacewing {

namespace {

constexpr size_t maximumWriteIds = 16;

} // namespace

ConfigurationHead ConfigurationHead::next(const ContentHash& nextHash, const std::string& writeId) const
{
    ConfigurationHead result { revision + Revision(1), nextHash, { writeId } };
    const size_t kept = std::min(writeIds.size(), maximumWriteIds - 1);
    result.writeIds.insert(result.writeIds.end(), writeIds.begin(), writeIds.begin() + kept);
    return result;
}

std::optional<std::string> ConfigurationHead::writeIdOf(Revision wanted) const
{
    const int64_t distance = (revision - wanted).value();
    if (distance < 0 || distance >= static_cast<int64_t>(writeIds.size()))
        return std::nullopt;
    return writeIds[static_cast<size_t>(distance)];
}

std::string ConfigurationHead::text() const
{
    std::ostringstream result;
    result << revision << ' ' << hash;
    for (const std::string& writeId : writeIds)
        result << ' ' << writeId;
    return result.str();
}

std::optional<ConfigurationHead> ConfigurationHead::parse(const std::string& text)
{
    std::istringstream input(text);
    int64_t revision = 0;
    std::string hash;
    if (!(input >> revision >> hash) || revision <= 0)
        return std::nullopt;
    ConfigurationHead head { Revision(revision), ContentHash(hash), {} };
    for (std::string writeId; input >> writeId;)
        head.writeIds.push_back(writeId);
    return head;
}

} // namespace lacewing
