#pragma once

#include "state/configuration.h"

#include <array>
#include <utility>

namespace lacewing {

/// Unit of a numeric field in a configuration.
enum class FieldUnit {
    None,
    Tokens,
    TokensPerSecond,
    LoadsPerSecond,
    Milliseconds,
};

/// Whether a field must be present in the input.
enum class FieldPresence {
    Required,
    /// Keeps the default of the struct if absent.
    Optional,
};

/// Names of an enumeration's values in settings and JSON, in the order of the values.
template <typename Enum> struct EnumNames;

template <> struct EnumNames<UpstreamKind> {
    static constexpr std::array<std::pair<UpstreamKind, const char*>, 2> names { {
        { UpstreamKind::ModelEngine, "engine" },
        { UpstreamKind::PlainService, "service" },
    } };
};

template <> struct EnumNames<UpstreamState> {
    static constexpr std::array<std::pair<UpstreamState, const char*>, 2> names { {
        { UpstreamState::Live, "live" },
        { UpstreamState::Draining, "leaving" },
    } };
};

template <> struct EnumNames<RequestClass> {
    static constexpr std::array<std::pair<RequestClass, const char*>, 2> names { {
        { RequestClass::Interactive, "interactive" },
        { RequestClass::Batch, "batch" },
    } };
};

/// @return the name of an enumeration's value, or "invalid" if it has none.
template <typename Enum> const char* enumName(Enum value)
{
    for (const auto& [candidate, name] : EnumNames<Enum>::names) {
        if (candidate == value)
            return name;
    }
    return "invalid";
}

/// Calls visitor.field(name, member, unit, presence) for each member of an entry except its id. The YAML
/// parser, the JSON codec and diffConfigurations() all use these functions, so a new member is added only
/// here.
template <typename Visitor> void visitFields(WorkspaceConfig& entry, Visitor& visitor)
{
    visitor.field("rate", entry.rate, FieldUnit::TokensPerSecond, FieldPresence::Required);
    visitor.field("burst", entry.burst, FieldUnit::Tokens, FieldPresence::Required);
}

template <typename Visitor> void visitFields(KeyConfig& entry, Visitor& visitor)
{
    visitor.field("workspace", entry.workspace, FieldUnit::None, FieldPresence::Required);
    visitor.field("hash", entry.hash, FieldUnit::None, FieldPresence::Required);
}

template <typename Visitor> void visitFields(AdapterConfig& entry, Visitor& visitor)
{
    visitor.field("workspace", entry.workspace, FieldUnit::None, FieldPresence::Required);
    visitor.field("baseModel", entry.baseModel, FieldUnit::None, FieldPresence::Required);
    visitor.field("versions", entry.versions, FieldUnit::None, FieldPresence::Required);
    visitor.field("defaultVersion", entry.defaultVersion, FieldUnit::None, FieldPresence::Required);
}

template <typename Visitor> void visitFields(UpstreamConfig& entry, Visitor& visitor)
{
    visitor.field("kind", entry.kind, FieldUnit::None, FieldPresence::Required);
    visitor.field("state", entry.state, FieldUnit::None, FieldPresence::Optional);
    visitor.field("dataCentre", entry.dataCentre, FieldUnit::None, FieldPresence::Required);
    visitor.field("address", entry.address, FieldUnit::None, FieldPresence::Required);
    visitor.field("baseModel", entry.baseModel, FieldUnit::None, FieldPresence::Optional);
    visitor.field("adapterSlots", entry.adapterSlots, FieldUnit::None, FieldPresence::Optional);
    visitor.field("maximumConcurrency", entry.maximumConcurrency, FieldUnit::None, FieldPresence::Required);
    visitor.field("checksFencing", entry.checksFencing, FieldUnit::None, FieldPresence::Optional);
    visitor.field("resumesStreams", entry.resumesStreams, FieldUnit::None, FieldPresence::Optional);
    visitor.field("cancelsStreams", entry.cancelsStreams, FieldUnit::None, FieldPresence::Optional);
    visitor.field("reportsLoad", entry.reportsLoad, FieldUnit::None, FieldPresence::Optional);
    visitor.field("service", entry.service, FieldUnit::None, FieldPresence::Optional);
}

template <typename Visitor> void visitFields(RouteConfig& entry, Visitor& visitor)
{
    visitor.field("path", entry.path, FieldUnit::None, FieldPresence::Required);
    visitor.field("service", entry.service, FieldUnit::None, FieldPresence::Optional);
    visitor.field("open", entry.open, FieldUnit::None, FieldPresence::Optional);
    visitor.field("repeatable", entry.repeatable, FieldUnit::None, FieldPresence::Optional);
    visitor.field("requestClass", entry.requestClass, FieldUnit::None, FieldPresence::Optional);
    visitor.field("startDeadline", entry.startDeadlineMs, FieldUnit::Milliseconds, FieldPresence::Required);
    visitor.field("cost", entry.cost, FieldUnit::Tokens, FieldPresence::Optional);
}

template <typename Visitor> void visitFields(LoadLimits& entry, Visitor& visitor)
{
    visitor.field("loadsPerSecond", entry.loadsPerSecond, FieldUnit::LoadsPerSecond, FieldPresence::Required);
    visitor.field("maximumInFlight", entry.maximumInFlight, FieldUnit::None, FieldPresence::Required);
}

} // namespace lacewing
