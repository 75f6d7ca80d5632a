#include "coordination/adapter_name.h"

#include <charconv>

namespace lacewing {

std::string AdapterName::toString() const
{
    std::string text = adapter.adapter.value() + "@" + adapter.version.value();
    if (fence)
        text += "#" + std::to_string(fence->value());
    return text;
}

std::optional<AdapterName> AdapterName::parse(const std::string& text)
{
    AdapterName name;
    std::string plain = text;
    const size_t hash = text.rfind('#');
    if (hash != std::string::npos) {
        int64_t number = 0;
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data() + hash + 1, end, number);
        if (result.ec != std::errc() || result.ptr != end)
            return std::nullopt;
        name.fence = FencingNumber(number);
        plain.resize(hash);
    }
    const size_t at = plain.rfind('@');
    if (at == std::string::npos || at == 0 || at + 1 == plain.size())
        return std::nullopt;
    name.adapter = { AdapterId(plain.substr(0, at)), AdapterVersion(plain.substr(at + 1)) };
    return name;
}

} // namespace lacewing
