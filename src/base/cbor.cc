#include "base/cbor.h"

#include <array>
#include <cstdint>

namespace lacewing {

namespace {

constexpr size_t maximumDepth = 16;
constexpr size_t maximumItems = 1000000;

enum MajorType : uint8_t {
    UnsignedNumber = 0,
    NegativeNumber = 1,
    ByteString = 2,
    TextString = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    SimpleOrFloat = 7,
};

/// Validates the structure of the input without recursion and without copying.
class CborScanner {
public:
    explicit CborScanner(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    /// @return whether the input is exactly one item within the limits.
    bool scan()
    {
        m_remainingItems[m_depth++] = 1;
        size_t items = 0;
        while (m_depth > 0) {
            if (m_remainingItems[m_depth - 1] == 0) {
                --m_depth;
                continue;
            }
            --m_remainingItems[m_depth - 1];
            if (++items > maximumItems || !scanItem())
                return false;
        }
        return m_bytes.empty();
    }

private:
    bool scanItem()
    {
        if (m_bytes.empty())
            return false;
        const auto first = static_cast<uint8_t>(m_bytes.front());
        m_bytes.remove_prefix(1);
        const auto type = static_cast<MajorType>(first >> 5);
        uint64_t argument = 0;
        if (!readArgument(first & 0x1f, argument))
            return false;
        switch (type) {
        case ByteString:
        case TextString:
            if (argument > m_bytes.size())
                return false;
            m_bytes.remove_prefix(argument);
            return true;
        case Array:
            return enterContainer(argument, 1);
        case Map:
            return enterContainer(argument, 2);
        case Tag:
            return false;
        default:
            return true;
        }
    }

    bool readArgument(uint8_t additionalInformation, uint64_t& argument)
    {
        constexpr uint8_t firstLong = 24;
        constexpr uint8_t lastLong = 27;
        if (additionalInformation < firstLong) {
            argument = additionalInformation;
            return true;
        }
        if (additionalInformation > lastLong)
            return false;
        const size_t size = size_t(1) << (additionalInformation - firstLong);
        if (size > m_bytes.size())
            return false;
        for (const char byte : m_bytes.substr(0, size))
            argument = (argument << 8) | static_cast<uint8_t>(byte);
        m_bytes.remove_prefix(size);
        return true;
    }

    bool enterContainer(uint64_t count, uint64_t itemsEach)
    {
        // Each item takes at least one byte, so a larger count is malformed.
        if (count > m_bytes.size() || m_depth == m_remainingItems.size())
            return false;
        m_remainingItems[m_depth++] = count * itemsEach;
        return true;
    }

    std::string_view m_bytes;
    /// Number of items that remain to be read at each nesting level.
    std::array<uint64_t, maximumDepth + 1> m_remainingItems {};
    size_t m_depth = 0;
};

} // namespace

std::string toCbor(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

std::optional<nlohmann::json> fromCbor(std::string_view bytes)
{
    if (!CborScanner(bytes).scan())
        return std::nullopt;
    try {
        nlohmann::json value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (value.is_discarded())
            return std::nullopt;
        return value;
    } catch (const nlohmann::json::exception&) {
        // The library throws for some limits even if exceptions are disabled by the arguments.
        return std::nullopt;
    }
}

} // namespace lacewing
