#include "protocol/peer_codec.h"

#include "base/cbor.h"
#include "protocol/peer_fields.h"

#include <limits>

namespace lacewing {

namespace {

using nlohmann::json;

const char* nameOf(DaemonState state)
{
    return toString(state);
}

const char* nameOf(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Interactive:
        return "interactive";
    case RequestClass::Batch:
        return "batch";
    }
    return "invalid";
}

const char* nameOf(Outcome outcome)
{
    return toString(outcome);
}

/// All values of an enumeration that is sent by name.
template <typename Enum> constexpr Enum allValues[] = {};
template <>
constexpr DaemonState allValues<DaemonState>[]
    = { DaemonState::Starting, DaemonState::Live, DaemonState::Draining };
template <>
constexpr RequestClass allValues<RequestClass>[] = { RequestClass::Interactive, RequestClass::Batch };
template <>
constexpr Outcome allValues<Outcome>[] = { Outcome::Answered, Outcome::RefusedNotRun, Outcome::Unknown };

/// Writes the fields of a message into a map.
class FieldWriter {
public:
    explicit FieldWriter(json& map)
        : m_map(map)
    {
    }

    template <typename T> void operator()(const char* name, const T& value) { m_map[name] = convert(value); }
    void bytes(const char* name, const std::string& value)
    {
        m_map[name] = json::binary(json::binary_t::container_type(value.begin(), value.end()));
    }

private:
    template <typename T> static json convert(const T& value)
    {
        if constexpr (std::is_enum_v<T>)
            return nameOf(value);
        else
            return value;
    }
    template <typename Tag> static json convert(const StrongId<Tag>& id) { return id.value(); }
    template <typename Tag> static json convert(const StrongNumber<Tag>& number) { return number.value(); }
    static json convert(const std::vector<std::string>& texts) { return texts; }
    /// Writes a list of structures that have PeerFields of their own.
    template <typename Item> static json convert(const std::vector<Item>& items)
    {
        json list = json::array();
        for (const Item& item : items) {
            json map = json::object();
            FieldWriter writer(map);
            PeerFields<Item>::visit(writer, item);
            list.push_back(std::move(map));
        }
        return list;
    }

    json& m_map;
};

/// Reads the fields of a message from a map. Reads nothing more after the first error.
class FieldReader {
public:
    FieldReader(json& map, PeerCodecError& error)
        : m_map(map)
        , m_error(error)
    {
    }

    bool failed() const { return m_error.reason != PeerCodecReason::None; }

    template <typename T> void operator()(const char* name, T& value)
    {
        if (json* field = find(name))
            read(name, *field, value);
    }

    void bytes(const char* name, std::string& value)
    {
        json* field = find(name);
        if (!field)
            return;
        if (!field->is_binary()) {
            fail(PeerCodecReason::WrongKind, name);
            return;
        }
        const json::binary_t& binary = field->get_binary();
        value.assign(binary.begin(), binary.end());
    }

private:
    json* find(const char* name)
    {
        if (failed())
            return nullptr;
        const auto found = m_map.find(name);
        if (found != m_map.end())
            return &*found;
        fail(PeerCodecReason::MissingField, name);
        return nullptr;
    }

    void fail(PeerCodecReason reason, const char* name) { m_error = { reason, name }; }

    void read(const char* name, json& field, std::string& value)
    {
        if (field.is_string())
            value = std::move(field.get_ref<std::string&>());
        else
            fail(PeerCodecReason::WrongKind, name);
    }

    void read(const char* name, json& field, bool& value)
    {
        if (field.is_boolean())
            value = field.get<bool>();
        else
            fail(PeerCodecReason::WrongKind, name);
    }

    template <typename Tag> void read(const char* name, json& field, StrongId<Tag>& value)
    {
        std::string text;
        read(name, field, text);
        value = StrongId<Tag>(std::move(text));
    }

    template <typename Tag> void read(const char* name, json& field, StrongNumber<Tag>& value)
    {
        int64_t number = 0;
        read(name, field, number);
        value = StrongNumber<Tag>(number);
    }

    template <typename T> void read(const char* name, json& field, T& value)
    {
        if constexpr (std::is_enum_v<T>)
            readEnum(name, field, value);
        else
            readNumber(name, field, value);
    }

    template <typename T> void readNumber(const char* name, json& field, T& value)
    {
        static_assert(std::is_integral_v<T>);
        // Only non-negative CBOR numbers become unsigned. Signed ones are not looked at, because the library
        // wraps numbers below the range of 64 bits around to positive ones.
        if (!field.is_number_unsigned()) {
            fail(PeerCodecReason::WrongKind, name);
            return;
        }
        const auto number = field.get<uint64_t>();
        if (number > static_cast<uint64_t>(std::numeric_limits<T>::max())) {
            fail(PeerCodecReason::OutOfRange, name);
            return;
        }
        value = static_cast<T>(number);
    }

    template <typename T> void readEnum(const char* name, json& field, T& value)
    {
        std::string text;
        read(name, field, text);
        if (failed())
            return;
        for (const T candidate : allValues<T>) {
            if (text != nameOf(candidate))
                continue;
            value = candidate;
            return;
        }
        fail(PeerCodecReason::OutOfRange, name);
    }

    template <typename Item> void read(const char* name, json& field, std::vector<Item>& items)
    {
        if (!field.is_array()) {
            fail(PeerCodecReason::WrongKind, name);
            return;
        }
        items.reserve(field.size());
        for (json& item : field) {
            readItem(name, item, items.emplace_back());
            if (failed())
                return;
        }
    }

    void readItem(const char* name, json& item, std::string& value) { read(name, item, value); }

    template <typename Item> void readItem(const char* name, json& item, Item& value)
    {
        if (!item.is_object()) {
            fail(PeerCodecReason::WrongKind, name);
            return;
        }
        FieldReader reader(item, m_error);
        PeerFields<Item>::visit(reader, value);
    }

    json& m_map;
    PeerCodecError& m_error;
};

/// Decodes the alternative of PeerMessage that has the given type name.
template <size_t index = 0>
std::optional<PeerMessage> decodeType(const std::string& type, json& map, PeerCodecError& error)
{
    if constexpr (index == std::variant_size_v<PeerMessage>) {
        error = { PeerCodecReason::UnknownType, "type" };
        return std::nullopt;
    } else {
        using Message = std::variant_alternative_t<index, PeerMessage>;
        if (type != PeerFields<Message>::type)
            return decodeType<index + 1>(type, map, error);
        Message message;
        FieldReader reader(map, error);
        PeerFields<Message>::visit(reader, message);
        if (reader.failed())
            return std::nullopt;
        return message;
    }
}

} // namespace

const char* toString(PeerCodecReason reason)
{
    switch (reason) {
    case PeerCodecReason::None:
        return "none";
    case PeerCodecReason::InvalidCbor:
        return "invalid_cbor";
    case PeerCodecReason::NotAMap:
        return "not_a_map";
    case PeerCodecReason::UnknownType:
        return "unknown_type";
    case PeerCodecReason::MissingField:
        return "missing_field";
    case PeerCodecReason::WrongKind:
        return "wrong_kind";
    case PeerCodecReason::OutOfRange:
        return "out_of_range";
    }
    return "invalid";
}

std::string PeerCodec::encode(const PeerMessage& message)
{
    json map = json::object();
    std::visit(
        [&](const auto& alternative) {
            using Fields = PeerFields<std::decay_t<decltype(alternative)>>;
            map["type"] = Fields::type;
            FieldWriter writer(map);
            Fields::visit(writer, alternative);
        },
        message);
    return toCbor(map);
}

std::optional<PeerMessage> PeerCodec::decode(std::string_view frame)
{
    m_lastError = {};
    std::optional<json> map = fromCbor(frame);
    if (!map || !map->is_object()) {
        m_lastError.reason = map ? PeerCodecReason::NotAMap : PeerCodecReason::InvalidCbor;
        return std::nullopt;
    }
    const auto type = map->find("type");
    if (type == map->end() || !type->is_string()) {
        const bool missing = type == map->end();
        m_lastError = { missing ? PeerCodecReason::MissingField : PeerCodecReason::WrongKind, "type" };
        return std::nullopt;
    }
    return decodeType(type->get<std::string>(), *map, m_lastError);
}

} // namespace lacewing
