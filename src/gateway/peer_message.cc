#include "gateway/peer_message.h"

#include "base/cbor.h"

namespace lacewing::gateway {

namespace {

using Json = nlohmann::json;

// First element of each frame.
enum class FrameType {
    Heartbeat,
    Configuration,
    RunRequest,
    RunGrant,
    RunDenial,
    RunProgress,
    RunEnd,
    UpstreamRows
};

Json frame(FrameType type)
{
    return Json::array({ static_cast<int>(type) });
}

int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Duration duration(const Json& json)
{
    return std::chrono::microseconds(json.get<int64_t>());
}

Json encode(const EngineSummary& summary)
{
    Json adapters = Json::array();
    for (const AdapterSummary& adapter : summary.adapters)
        adapters.push_back(
            { adapter.adapter.model.value(), adapter.adapter.adapter.value(), adapter.isLoading });
    Json models = Json::array();
    for (const ModelId& model : summary.models)
        models.push_back(model.value());
    return Json::array({ summary.engine.value(), microseconds(summary.prefillBacklog), summary.running,
        summary.waiting, summary.openPlaces, std::move(adapters), summary.isUsable, std::move(models),
        microseconds(summary.fetchWait) });
}

EngineSummary decodeSummary(const Json& json)
{
    EngineSummary summary;
    summary.engine = UpstreamId(json.at(0).get<std::string>());
    summary.prefillBacklog = duration(json.at(1));
    summary.running = json.at(2).get<int>();
    summary.waiting = json.at(3).get<int>();
    summary.openPlaces = json.at(4).get<int>();
    for (const Json& adapter : json.at(5)) {
        const AdapterRef ref { ModelId(adapter.at(0).get<std::string>()),
            AdapterId(adapter.at(1).get<std::string>()) };
        summary.adapters.push_back({ ref, adapter.at(2).get<bool>() });
    }
    summary.isUsable = json.at(6).get<bool>();
    for (const Json& model : json.at(7))
        summary.models.emplace_back(model.get<std::string>());
    summary.fetchWait = duration(json.at(8));
    return summary;
}

Json encode(const PeerHeartbeat& message)
{
    Json usage = Json::array();
    for (const UsageReport& report : message.usage)
        usage.push_back({ report.workspace.value(), report.total, report.inWindow });
    Json engines = Json::array();
    for (const EngineSummary& engine : message.engines)
        engines.push_back(encode(engine));
    Json json = frame(FrameType::Heartbeat);
    json.push_back(message.incarnation.value());
    json.push_back(message.isReady);
    json.push_back(message.isStopping);
    json.push_back(message.configurationVersion.value());
    json.push_back(microseconds(message.usageKnownFor));
    json.push_back(std::move(usage));
    json.push_back(std::move(engines));
    json.push_back(message.fetchesInFlight);
    json.push_back(message.callerAddress.text());
    json.push_back(message.configurationAge ? Json(microseconds(*message.configurationAge)) : Json());
    return json;
}

PeerHeartbeat decodeHeartbeat(const Json& json)
{
    PeerHeartbeat message;
    message.incarnation = Incarnation(json.at(1).get<int64_t>());
    message.isReady = json.at(2).get<bool>();
    message.isStopping = json.at(3).get<bool>();
    message.configurationVersion = RowVersion(json.at(4).get<int64_t>());
    message.usageKnownFor = duration(json.at(5));
    for (const Json& report : json.at(6))
        message.usage.push_back({ WorkspaceId(report.at(0).get<std::string>()), report.at(1).get<int64_t>(),
            report.at(2).get<int64_t>() });
    for (const Json& engine : json.at(7))
        message.engines.push_back(decodeSummary(engine));
    message.fetchesInFlight = json.at(8).get<int>();
    message.callerAddress = SocketAddress::parse(json.at(9).get<std::string>()).value_or(SocketAddress());
    if (!json.at(10).is_null())
        message.configurationAge = duration(json.at(10));
    return message;
}

Json encode(const PeerConfiguration& message)
{
    Json json = frame(FrameType::Configuration);
    json.push_back(message.version.value());
    json.push_back(message.value);
    return json;
}

Json encode(const PeerUpstreamRows& message)
{
    Json rows = Json::array();
    for (const StoredRow& row : message.rows) {
        const std::vector<uint8_t> value(row.value.begin(), row.value.end());
        rows.push_back(Json::array({ row.id.key, Json::binary(value), row.version.value(), row.isDeleted }));
    }
    Json json = frame(FrameType::UpstreamRows);
    json.push_back(std::move(rows));
    return json;
}

PeerUpstreamRows decodeUpstreamRows(const Json& json)
{
    PeerUpstreamRows message;
    for (const Json& item : json.at(1)) {
        StoredRow row;
        row.id.key = item.at(0).get<std::string>();
        const auto& value = item.at(1).get_binary();
        row.value.assign(value.begin(), value.end());
        row.version = RowVersion(item.at(2).get<int64_t>());
        row.isDeleted = item.at(3).get<bool>();
        message.rows.push_back(std::move(row));
    }
    return message;
}

Json encode(const PeerRunRequest& message)
{
    Json json = frame(FrameType::RunRequest);
    json.push_back(message.engine.value());
    json.push_back(message.run.value());
    json.push_back(message.adapter.model.value());
    json.push_back(message.adapter.adapter.value());
    json.push_back(message.prompt.value());
    json.push_back(message.output.value());
    json.push_back(message.priority);
    json.push_back(microseconds(message.onTimeWithin));
    json.push_back(microseconds(message.latestWithin));
    return json;
}

PeerRunRequest decodeRunRequest(const Json& json)
{
    PeerRunRequest message;
    message.engine = UpstreamId(json.at(1).get<std::string>());
    message.run = RunId(json.at(2).get<int64_t>());
    message.adapter = { ModelId(json.at(3).get<std::string>()), AdapterId(json.at(4).get<std::string>()) };
    message.prompt = Tokens(json.at(5).get<int64_t>());
    message.output = Tokens(json.at(6).get<int64_t>());
    message.priority = json.at(7).get<int>();
    message.onTimeWithin = duration(json.at(8));
    message.latestWithin = duration(json.at(9));
    return message;
}

Json encode(const PeerRunGrant& message)
{
    Json json = frame(FrameType::RunGrant);
    json.push_back(message.run.value());
    json.push_back(message.urgency);
    json.push_back(message.version ? Json(*message.version) : Json());
    return json;
}

PeerRunGrant decodeRunGrant(const Json& json)
{
    PeerRunGrant message { RunId(json.at(1).get<int64_t>()), json.at(2).get<int>(), std::nullopt };
    if (!json.at(3).is_null())
        message.version = json.at(3).get<int64_t>();
    return message;
}

Json encode(const PeerRunDenial& message)
{
    Json json = frame(FrameType::RunDenial);
    json.push_back(message.run.value());
    json.push_back(static_cast<int>(message.reason));
    json.push_back(microseconds(message.retryAfter));
    return json;
}

Json encode(const PeerRunProgress& message)
{
    Json json = frame(FrameType::RunProgress);
    json.push_back(message.engine.value());
    json.push_back(message.run.value());
    return json;
}

Json encode(const PeerRunEnd& message)
{
    Json json = frame(FrameType::RunEnd);
    json.push_back(message.engine.value());
    json.push_back(message.run.value());
    json.push_back(static_cast<int>(message.outcome));
    return json;
}

/// @return the enumerator with a number, or the last one if there is none.
template <typename Enum> Enum enumerator(const Json& json, Enum last)
{
    const int number = json.get<int>();
    return number < 0 || number > static_cast<int>(last) ? last : static_cast<Enum>(number);
}

std::optional<PeerMessage> decode(const Json& json)
{
    switch (static_cast<FrameType>(json.at(0).get<int>())) {
    case FrameType::Heartbeat:
        return decodeHeartbeat(json);
    case FrameType::Configuration:
        return PeerConfiguration { RowVersion(json.at(1).get<int64_t>()), json.at(2).get<std::string>() };
    case FrameType::UpstreamRows:
        return decodeUpstreamRows(json);
    case FrameType::RunRequest:
        return decodeRunRequest(json);
    case FrameType::RunGrant:
        return decodeRunGrant(json);
    case FrameType::RunDenial:
        return PeerRunDenial { RunId(json.at(1).get<int64_t>()),
            enumerator(json.at(2), RunRefusal::EngineUnusable), duration(json.at(3)) };
    case FrameType::RunProgress:
        return PeerRunProgress { UpstreamId(json.at(1).get<std::string>()),
            RunId(json.at(2).get<int64_t>()) };
    case FrameType::RunEnd:
        return PeerRunEnd { UpstreamId(json.at(1).get<std::string>()), RunId(json.at(2).get<int64_t>()),
            enumerator(json.at(3), RunOutcome::EngineFailed) };
    }
    return std::nullopt;
}

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    return toCbor(std::visit([](const auto& typed) { return encode(typed); }, message));
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    const auto json = fromCbor(bytes);
    if (!json || !json->is_array())
        return std::nullopt;
    try {
        return decode(*json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace lacewing::gateway
