#include "coordination/session_row.h"

#include <nlohmann/json.hpp>

#include <tuple>

namespace lacewing {

namespace {

const char* toString(SessionState state)
{
    switch (state) {
    case SessionState::Live:
        return "live";
    case SessionState::Leaving:
        return "leaving";
    case SessionState::Ended:
        return "ended";
    }
    return "invalid";
}

std::optional<SessionState> parseState(const std::string& text)
{
    for (const SessionState state : { SessionState::Live, SessionState::Leaving, SessionState::Ended }) {
        if (text == toString(state))
            return state;
    }
    return std::nullopt;
}

auto fields(const SessionRow& row)
{
    return std::tie(row.host, row.incarnation, row.state, row.guardian, row.guardianIncarnation, row.address,
        row.callerAddress, row.dataCentre, row.region, row.ttl);
}

} // namespace

bool operator==(const SessionRow& a, const SessionRow& b)
{
    return fields(a) == fields(b);
}

std::string sessionKey(const HostId& host)
{
    return sessionPrefix + host.value();
}

std::string encode(const SessionRow& row)
{
    return nlohmann::json {
        { "host", row.host.value() },
        { "incarnation", row.incarnation.value() },
        { "state", toString(row.state) },
        { "guardian", row.guardian.value() },
        { "guardianIncarnation", row.guardianIncarnation.value() },
        { "address", row.address },
        { "callerAddress", row.callerAddress },
        { "dataCentre", row.dataCentre.value() },
        { "region", row.region.value() },
        { "ttlMs", toMilliseconds(row.ttl) },
    }
        .dump();
}

std::optional<SessionRow> decodeSessionRow(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        const auto state = parseState(json.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        SessionRow row;
        row.host = HostId(json.at("host").get<std::string>());
        row.incarnation = Incarnation(json.at("incarnation").get<int64_t>());
        row.state = *state;
        row.guardian = HostId(json.at("guardian").get<std::string>());
        row.guardianIncarnation = Incarnation(json.at("guardianIncarnation").get<int64_t>());
        row.address = json.at("address").get<std::string>();
        row.callerAddress = json.at("callerAddress").get<std::string>();
        row.dataCentre = DataCentreId(json.at("dataCentre").get<std::string>());
        row.region = RegionId(json.at("region").get<std::string>());
        row.ttl = std::chrono::milliseconds(json.at("ttlMs").get<int64_t>());
        return row;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace lacewing
