#include "gateway/peer_message.h"

#include "base/cbor.h"
#include "speed/slowdown_estimate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace lacewing::gateway {

namespace {

using Json = nlohmann::json;

// The first element of each frame, so the order of the values is part of the protocol.
enum class FrameType {
    Heartbeat,
    OperatorRows,
    RunRequest,
    RunGrant,
    RunDenial,
    RunProgress,
    RunEnd,
    UpstreamRows,
    Usage,
    OperatorRequest,
    UpstreamLimit,
    PermitRequest,
    PermitAnswer,
    CrashReports,
    AnswerBegan,
    Quarantines,
    UpstreamLeaving,
    ServiceVersions,
    UpstreamRequest,
    StreamQuery,
    StreamAnswer,
    BrittleRejection
};

Json frame(FrameType type)
{
    return Json::array({ static_cast<int>(type) });
}

/// A longer time would exceed the range of time points.
constexpr Duration longestColdTime = std::chrono::hours(24);

int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Duration duration(const Json& json)
{
    return std::chrono::microseconds(json.get<int64_t>());
}

constexpr int64_t percent = 100;

/// The fill in percent, followed by the fingerprints if they have changed.
Json encode(const affinity::PrefixStatement& statement)
{
    Json json = Json::array({ std::llround(statement.memoryFill * percent) });
    if (statement.digest)
        json.push_back(Json::binary(statement.digest->toBytes()));
    return json;
}

/// @return nothing if the statement is malformed, since a heartbeat must not be lost with it.
std::optional<affinity::PrefixStatement> decodePrefixes(const Json& json)
{
    const bool isReadable
        = json.is_array() && !json.empty() && json.size() <= 2 && json.at(0).is_number_integer();
    if (!isReadable)
        return std::nullopt;
    affinity::PrefixStatement statement;
    const auto fill = std::clamp<int64_t>(json.at(0).get<int64_t>(), 0, percent);
    statement.memoryFill = static_cast<double>(fill) / percent;
    if (json.size() == 1)
        return statement;
    if (json.at(1).is_binary())
        statement.digest = affinity::PrefixDigest::fromBytes(json.at(1).get_binary());
    return statement.digest ? std::make_optional(statement) : std::nullopt;
}

Json encode(const EngineSummary& summary)
{
    // For each model: the adapters that are present, and those that are being loaded.
    std::map<ModelId, std::array<Json, 2>> byModel;
    for (const ModelId& model : summary.models)
        byModel[model] = { Json::array(), Json::array() };
    for (const AdapterSummary& adapter : summary.adapters)
        byModel[adapter.adapter.model][adapter.isLoading ? 1 : 0].push_back(adapter.adapter.adapter.value());
    Json held = Json::array();
    for (auto& [model, adapters] : byModel) {
        const bool isLoaded = std::count(summary.models.begin(), summary.models.end(), model) > 0;
        held.push_back({ model.value(), isLoaded, std::move(adapters[0]), std::move(adapters[1]) });
    }
    Json json = Json::array({ summary.engine.value(), microseconds(summary.prefillBacklog), summary.running,
        summary.waiting, summary.openSlots, summary.isUsable, microseconds(summary.fetchWait),
        std::move(held), summary.promptTokensPerMillisecond, microseconds(summary.limitWait),
        microseconds(summary.startInterval),
        summary.statesSlowdown ? Json::array({ summary.slowdown, summary.meanSlowdown }) : Json() });
    if (summary.prefixes)
        json.push_back(encode(*summary.prefixes));
    return json;
}

/// @return the number at an index, or nothing if it is missing or not a finite number above 0.
std::optional<double> decodeSlowdown(const Json& json, size_t index)
{
    if (!json.is_array() || json.size() <= index || !json.at(index).is_number())
        return std::nullopt;
    const double slowdown = json.at(index).get<double>();
    return std::isfinite(slowdown) && slowdown > 0 ? std::make_optional(slowdown) : std::nullopt;
}

Json encode(const std::optional<double>& slowdown)
{
    return slowdown ? Json(*slowdown) : Json();
}

void decodeSpeed(const Json& json, EngineSummary& summary)
{
    const auto slowdown = decodeSlowdown(json, 0);
    const auto mean = decodeSlowdown(json, 1);
    if (!slowdown || !mean)
        return;
    summary.statesSlowdown = true;
    summary.meanSlowdown = std::clamp(*mean, speed::minimumSlowdown, speed::maximumSlowdown);
    summary.slowdown = std::clamp(*slowdown, speed::minimumSlowdown / summary.meanSlowdown,
        speed::maximumSlowdown / summary.meanSlowdown);
}

EngineSummary decodeSummary(const Json& json)
{
    EngineSummary summary;
    summary.engine = UpstreamId(json.at(0).get<std::string>());
    summary.prefillBacklog = duration(json.at(1));
    summary.running = json.at(2).get<int>();
    summary.waiting = json.at(3).get<int>();
    summary.openSlots = json.at(4).get<int>();
    summary.isUsable = json.at(5).get<bool>();
    summary.fetchWait = duration(json.at(6));
    summary.promptTokensPerMillisecond = json.at(8).get<double>();
    // Hosts of an earlier version don't send the following fields.
    if (json.size() > 10) {
        summary.limitWait = duration(json.at(9));
        summary.startInterval = duration(json.at(10));
    }
    if (json.size() > 11)
        decodeSpeed(json.at(11), summary);
    if (json.size() > 12)
        summary.prefixes = decodePrefixes(json.at(12));
    for (const Json& held : json.at(7)) {
        const ModelId model(held.at(0).get<std::string>());
        if (held.at(1).get<bool>())
            summary.models.push_back(model);
        for (const bool isLoading : { false, true }) {
            for (const Json& adapter : held.at(isLoading ? 3 : 2))
                summary.adapters.push_back({ { model, AdapterId(adapter.get<std::string>()) }, isLoading });
        }
    }
    return summary;
}

Json encode(const std::vector<UsageReport>& reports)
{
    Json json = Json::array();
    for (const UsageReport& report : reports)
        json.push_back({ report.workspace.value(), report.total, report.inWindow });
    return json;
}

std::vector<UsageReport> decodeUsage(const Json& json)
{
    std::vector<UsageReport> reports;
    for (const Json& report : json)
        reports.push_back({ WorkspaceId(report.at(0).get<std::string>()), report.at(1).get<int64_t>(),
            report.at(2).get<int64_t>() });
    return reports;
}

Json encode(const UpstreamLimit& limit)
{
    Json json = Json::array({ limit.upstream.value(), limit.startedAt, limit.revision.value(),
        limit.observer.value(), limit.rate ? Json(limit.rate->perSecond()) : Json() });
    if (limit.coldFor)
        json.push_back(microseconds(*limit.coldFor));
    return json;
}

UpstreamLimit decodeLimit(const Json& json)
{
    UpstreamLimit limit;
    limit.upstream = UpstreamId(json.at(0).get<std::string>());
    limit.startedAt = json.at(1).get<int64_t>();
    limit.revision = LimitRevision(json.at(2).get<int64_t>());
    limit.observer = HostId(json.at(3).get<std::string>());
    if (!json.at(4).is_null())
        limit.rate = RequestRate(std::max(0.0, json.at(4).get<double>()));
    // Hosts of an earlier version don't tell the cold time.
    if (json.size() > 5 && !json.at(5).is_null())
        limit.coldFor = std::chrono::microseconds(
            std::clamp<int64_t>(json.at(5).get<int64_t>(), 0, microseconds(longestColdTime)));
    return limit;
}

Json encode(const std::optional<UpstreamLimit>& limit)
{
    return limit ? encode(*limit) : Json();
}

/// @return the limit at an index of a frame, which hosts of an earlier version don't send.
std::optional<UpstreamLimit> decodeOptionalLimit(const Json& json, size_t index)
{
    if (json.size() <= index || json.at(index).is_null())
        return std::nullopt;
    return decodeLimit(json.at(index));
}

Json encode(const PartSet& parts)
{
    return Json(parts.hashes());
}

PartSet decodeParts(const Json& json)
{
    return PartSet(json.get<std::vector<uint64_t>>());
}

Json encode(const std::vector<Quarantine>& quarantines)
{
    Json json = Json::array();
    for (const Quarantine& quarantine : quarantines)
        json.push_back({ encode(quarantine.parts), quarantine.revision.value(), quarantine.isLifted,
            quarantine.probes, quarantine.untilProbe ? Json(microseconds(*quarantine.untilProbe)) : Json() });
    return json;
}

std::vector<Quarantine> decodeQuarantines(const Json& json)
{
    std::vector<Quarantine> quarantines;
    for (const Json& item : json) {
        Quarantine quarantine;
        quarantine.parts = decodeParts(item.at(0));
        quarantine.revision = QuarantineRevision(item.at(1).get<int64_t>());
        quarantine.isLifted = item.at(2).get<bool>();
        quarantine.probes = item.at(3).get<int>();
        if (!item.at(4).is_null())
            quarantine.untilProbe = duration(item.at(4));
        quarantines.push_back(std::move(quarantine));
    }
    return quarantines;
}

Json encode(const LeavingStatement& statement)
{
    return Json::array({ statement.upstream.value(), statement.startedAt });
}

LeavingStatement decodeLeaving(const Json& json)
{
    return { UpstreamId(json.at(0).get<std::string>()), json.at(1).get<int64_t>() };
}

Json encode(const PeerUpstreamLeaving& message)
{
    Json json = frame(FrameType::UpstreamLeaving);
    json.push_back(encode(message.statement));
    return json;
}

Json encode(const PeerBrittleRejection& message)
{
    Json json = frame(FrameType::BrittleRejection);
    json.push_back(message.rejection.upstream.value());
    json.push_back(message.rejection.startedAt);
    json.push_back(message.rejection.bearable.perSecond());
    return json;
}

/// @return nothing if the number is not finite or negative.
std::optional<PeerMessage> decodeBrittleRejection(const Json& json)
{
    const double bearable = json.at(3).get<double>();
    if (!std::isfinite(bearable) || bearable < 0)
        return std::nullopt;
    return PeerBrittleRejection { { UpstreamId(json.at(1).get<std::string>()), json.at(2).get<int64_t>(),
        RequestRate(bearable) } };
}

Json encode(const PeerQuarantines& message)
{
    Json json = frame(FrameType::Quarantines);
    json.push_back(encode(message.quarantines));
    return json;
}

Json encode(const PeerAnswerBegan& message)
{
    Json json = frame(FrameType::AnswerBegan);
    json.push_back(message.answer.engine.value());
    json.push_back(message.answer.startedAt);
    json.push_back(encode(message.answer.parts));
    return json;
}

Json encode(const PeerCrashReports& message)
{
    Json reports = Json::array();
    for (const CrashReport& report : message.reports)
        reports.push_back({ report.engine.value(), report.startedAt, encode(report.parts) });
    Json json = frame(FrameType::CrashReports);
    json.push_back(std::move(reports));
    return json;
}

PeerCrashReports decodeCrashReports(const Json& json)
{
    PeerCrashReports message;
    for (const Json& item : json)
        message.reports.push_back({ UpstreamId(item.at(0).get<std::string>()), item.at(1).get<int64_t>(),
            decodeParts(item.at(2)) });
    return message;
}

Json encode(const PeerUpstreamLimit& message)
{
    Json json = frame(FrameType::UpstreamLimit);
    json.push_back(encode(message.limit));
    return json;
}

Json encode(const PeerPermitRequest& message)
{
    Json json = frame(FrameType::PermitRequest);
    json.push_back(message.upstream.value());
    json.push_back(message.permit.value());
    json.push_back(microseconds(message.patience));
    json.push_back(encode(message.limit));
    return json;
}

Json encode(const PeerPermitAnswer& message)
{
    Json json = frame(FrameType::PermitAnswer);
    json.push_back(message.permit.value());
    json.push_back(message.isGranted);
    json.push_back(microseconds(message.wait));
    return json;
}

Json encode(const PeerUsage& message)
{
    Json json = frame(FrameType::Usage);
    json.push_back(message.incarnation.value());
    json.push_back(encode(message.usage));
    return json;
}

Json encode(const std::vector<StoredRow>& stored)
{
    Json rows = Json::array();
    for (const StoredRow& row : stored) {
        const std::vector<uint8_t> value(row.value.begin(), row.value.end());
        rows.push_back(Json::array({ row.id.key, Json::binary(value), row.version.number(), row.isDeleted,
            row.version.era().value() }));
    }
    return rows;
}

/// @return the era at an index of a frame, which hosts of an earlier version don't send.
StoreEra eraAt(const Json& json, size_t index)
{
    return json.size() > index ? StoreEra(json.at(index).get<int64_t>()) : StoreEra();
}

std::vector<StoredRow> decodeRows(const Json& json)
{
    std::vector<StoredRow> rows;
    for (const Json& item : json) {
        StoredRow row;
        row.id.key = item.at(0).get<std::string>();
        const auto& value = item.at(1).get_binary();
        row.value.assign(value.begin(), value.end());
        row.version = RowVersion(eraAt(item, 4), item.at(2).get<int64_t>());
        row.isDeleted = item.at(3).get<bool>();
        rows.push_back(std::move(row));
    }
    return rows;
}

Json encode(const std::vector<table_sync::PackedRow>& packed)
{
    Json rows = Json::array();
    for (const table_sync::PackedRow& row : packed) {
        const std::vector<uint8_t> value(row.value.begin(), row.value.end());
        rows.push_back(Json::array({ row.id.key, Json::binary(value), row.version.number(), row.isDeleted,
            row.version.era().value(), row.isCompressed }));
    }
    return rows;
}

std::vector<table_sync::PackedRow> decodePackedRows(const Json& json)
{
    constexpr size_t compressedIndex = 5;
    const std::vector<StoredRow> rows = decodeRows(json);
    std::vector<table_sync::PackedRow> packed;
    for (size_t index = 0; index < rows.size(); ++index) {
        const Json& item = json.at(index);
        // Hosts of an earlier version send rows as they are.
        const bool isCompressed = item.size() > compressedIndex && item.at(compressedIndex).get<bool>();
        const StoredRow& row = rows[index];
        packed.push_back({ row.id, row.value, row.version, row.isDeleted, isCompressed });
    }
    return packed;
}

Json encode(const table_sync::ChangeSpan& span)
{
    return Json::array(
        { span.after.era().value(), span.after.number(), span.upTo.era().value(), span.upTo.number() });
}

table_sync::ChangeSpan decodeSpan(const Json& json)
{
    return { RowVersion(StoreEra(json.at(0).get<int64_t>()), json.at(1).get<int64_t>()),
        RowVersion(StoreEra(json.at(2).get<int64_t>()), json.at(3).get<int64_t>()) };
}

Json encode(const PeerHeartbeat& message)
{
    Json engines = Json::array();
    for (const EngineSummary& engine : message.engines)
        engines.push_back(encode(engine));
    Json json = frame(FrameType::Heartbeat);
    json.push_back(message.incarnation.value());
    json.push_back(message.isReady);
    json.push_back(message.isStopping);
    json.push_back(message.configurationVersion.number());
    json.push_back(microseconds(message.usageKnownFor));
    json.push_back(encode(message.usage));
    json.push_back(std::move(engines));
    json.push_back(message.fetchesInFlight);
    json.push_back(message.callerAddress.text());
    json.push_back(message.configurationAge ? Json(microseconds(*message.configurationAge)) : Json());
    json.push_back(message.reachesStore);
    json.push_back(message.operatorVersion.number());
    Json limits = Json::array();
    for (const UpstreamLimit& limit : message.limits)
        limits.push_back(encode(limit));
    json.push_back(std::move(limits));
    json.push_back(encode(message.quarantines));
    json.push_back(Json::array({ message.storeEra.value(), message.configurationVersion.era().value(),
        message.operatorVersion.era().value(), message.configurationRevision.value() }));
    Json leaving = Json::array();
    for (const LeavingStatement& statement : message.leaving)
        leaving.push_back(encode(statement));
    json.push_back(std::move(leaving));
    json.push_back(encode(message.serviceVersions));
    json.push_back(message.quietUpstreams ? encode(*message.quietUpstreams) : Json());
    json.push_back(Json::array({ message.reachesUpstreams,
        message.upstreamsHeardAge ? Json(microseconds(*message.upstreamsHeardAge)) : Json(),
        message.relayAddress.port == 0 ? "" : message.relayAddress.text() }));
    return json;
}

void decodeReach(const Json& json, PeerHeartbeat& message)
{
    message.reachesUpstreams = json.at(0).get<bool>();
    if (!json.at(1).is_null())
        message.upstreamsHeardAge = duration(json.at(1));
    message.relayAddress = SocketAddress::parse(json.at(2).get<std::string>()).value_or(SocketAddress());
}

PeerHeartbeat decodeHeartbeat(const Json& json)
{
    PeerHeartbeat message;
    message.incarnation = Incarnation(json.at(1).get<int64_t>());
    message.isReady = json.at(2).get<bool>();
    message.isStopping = json.at(3).get<bool>();
    message.configurationVersion = RowVersion(json.at(4).get<int64_t>());
    message.usageKnownFor = duration(json.at(5));
    message.usage = decodeUsage(json.at(6));
    for (const Json& engine : json.at(7))
        message.engines.push_back(decodeSummary(engine));
    message.fetchesInFlight = json.at(8).get<int>();
    message.callerAddress = SocketAddress::parse(json.at(9).get<std::string>()).value_or(SocketAddress());
    if (!json.at(10).is_null())
        message.configurationAge = duration(json.at(10));
    message.reachesStore = json.at(11).get<bool>();
    message.operatorVersion = RowVersion(json.at(12).get<int64_t>());
    // Hosts of an earlier version don't send limits.
    if (json.size() > 13) {
        for (const Json& limit : json.at(13))
            message.limits.push_back(decodeLimit(limit));
    }
    if (json.size() > 14)
        message.quarantines = decodeQuarantines(json.at(14));
    // Nor do they send eras of the store.
    if (json.size() > 15) {
        const Json& eras = json.at(15);
        message.storeEra = StoreEra(eras.at(0).get<int64_t>());
        message.configurationVersion
            = RowVersion(StoreEra(eras.at(1).get<int64_t>()), message.configurationVersion.number());
        message.operatorVersion
            = RowVersion(StoreEra(eras.at(2).get<int64_t>()), message.operatorVersion.number());
        message.configurationRevision = Revision(eras.at(3).get<int64_t>());
    }
    if (json.size() > 16) {
        for (const Json& statement : json.at(16))
            message.leaving.push_back(decodeLeaving(statement));
    }
    if (json.size() > 17)
        message.serviceVersions = decodeRows(json.at(17));
    if (json.size() > 18 && !json.at(18).is_null())
        message.quietUpstreams = decodeSpan(json.at(18));
    if (json.size() > 19)
        decodeReach(json.at(19), message);
    return message;
}

/// A request for rows with a higher version.
Json encodeRequest(FrameType type, RowVersion after)
{
    Json json = frame(type);
    json.push_back(after.number());
    json.push_back(after.era().value());
    return json;
}

RowVersion decodeRequest(const Json& json)
{
    return RowVersion(eraAt(json, 2), json.at(1).get<int64_t>());
}

Json encode(const PeerOperatorRequest& message)
{
    return encodeRequest(FrameType::OperatorRequest, message.after);
}

Json encode(FrameType type, const std::vector<StoredRow>& rows)
{
    Json json = frame(type);
    json.push_back(encode(rows));
    return json;
}

Json encode(const PeerOperatorRows& message)
{
    Json json = frame(FrameType::OperatorRows);
    json.push_back(encode(message.rows));
    return json;
}

Json encode(const PeerUpstreamRows& message)
{
    Json json = encode(FrameType::UpstreamRows, message.changes.rows);
    json.push_back(encode(message.changes.span));
    json.push_back(message.changes.isWholeTable);
    return json;
}

PeerUpstreamRows decodeUpstreamRows(const Json& json)
{
    PeerUpstreamRows message { { decodeRows(json.at(1)), {}, false } };
    // Hosts of an earlier version send the rows only.
    if (json.size() > 3) {
        message.changes.span = decodeSpan(json.at(2));
        message.changes.isWholeTable = json.at(3).get<bool>();
    }
    return message;
}

Json encode(const PeerUpstreamRequest& message)
{
    return encodeRequest(FrameType::UpstreamRequest, message.after);
}

Json encode(const PeerServiceVersions& message)
{
    return encode(FrameType::ServiceVersions, message.rows);
}

Json encode(const PeerStreamQuery& message)
{
    Json json = frame(FrameType::StreamQuery);
    json.push_back(message.query.value());
    json.push_back(message.service.value());
    if (message.name) {
        json.push_back(message.name->workspace.value());
        json.push_back(message.name->requestId);
    }
    return json;
}

PeerStreamQuery decodeStreamQuery(const Json& json)
{
    PeerStreamQuery message { StreamQueryId(json.at(1).get<int64_t>()),
        ServiceId(json.at(2).get<std::string>()), std::nullopt };
    if (json.size() > 3)
        message.name
            = StreamName { WorkspaceId(json.at(3).get<std::string>()), json.at(4).get<std::string>() };
    return message;
}

Json encode(const std::optional<SoftwareVersion>& version)
{
    return version ? Json(version->value()) : Json();
}

std::optional<SoftwareVersion> decodeSoftwareVersion(const Json& json)
{
    return json.is_null() ? std::nullopt : std::make_optional(SoftwareVersion(json.get<std::string>()));
}

Json encode(const PeerStreamAnswer& message)
{
    Json json = frame(FrameType::StreamAnswer);
    json.push_back(message.query.value());
    json.push_back(encode(message.knowledge.begunBy));
    json.push_back(encode(message.knowledge.onlyVersion));
    return json;
}

PeerStreamAnswer decodeStreamAnswer(const Json& json)
{
    return { StreamQueryId(json.at(1).get<int64_t>()),
        { decodeSoftwareVersion(json.at(2)), decodeSoftwareVersion(json.at(3)) } };
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
    json.push_back(microseconds(message.targetPause));
    Json parts = Json::array();
    for (const PromptPart& part : message.parts) {
        parts.push_back(part.id);
        parts.push_back(part.tokens.value());
    }
    json.push_back(std::move(parts));
    json.push_back(encode(message.limit));
    json.push_back(message.workspace.value());
    json.push_back(microseconds(message.returnsWithin));
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
    message.targetPause = duration(json.at(10));
    const Json& parts = json.at(11);
    for (size_t index = 0; index + 1 < parts.size(); index += 2)
        message.parts.push_back(
            { parts.at(index).get<uint64_t>(), Tokens(parts.at(index + 1).get<int64_t>()) });
    message.limit = decodeOptionalLimit(json, 12);
    if (json.size() > 14) {
        message.workspace = WorkspaceId(json.at(13).get<std::string>());
        message.returnsWithin = duration(json.at(14));
    }
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
    json.push_back(message.isPromised);
    return json;
}

Json encode(const PeerRunProgress& message)
{
    Json json = frame(FrameType::RunProgress);
    json.push_back(message.engine.value());
    json.push_back(message.run.value());
    json.push_back(encode(message.slowdown));
    return json;
}

Json encode(const PeerRunEnd& message)
{
    Json json = frame(FrameType::RunEnd);
    json.push_back(message.engine.value());
    json.push_back(message.run.value());
    json.push_back(static_cast<int>(message.ending.outcome));
    json.push_back(microseconds(message.ending.longestPause));
    json.push_back(encode(message.ending.slowdown));
    return json;
}

/// @return the enumerator with this value, or the last one if the value is out of range.
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
    case FrameType::OperatorRequest:
        return PeerOperatorRequest { decodeRequest(json) };
    case FrameType::OperatorRows:
        return PeerOperatorRows { decodePackedRows(json.at(1)) };
    case FrameType::UpstreamRows:
        return decodeUpstreamRows(json);
    case FrameType::UpstreamRequest:
        return PeerUpstreamRequest { decodeRequest(json) };
    case FrameType::ServiceVersions:
        return PeerServiceVersions { decodeRows(json.at(1)) };
    case FrameType::StreamQuery:
        return decodeStreamQuery(json);
    case FrameType::BrittleRejection:
        return decodeBrittleRejection(json);
    case FrameType::StreamAnswer:
        return decodeStreamAnswer(json);
    case FrameType::RunRequest:
        return decodeRunRequest(json);
    case FrameType::RunGrant:
        return decodeRunGrant(json);
    case FrameType::RunDenial:
        return PeerRunDenial { RunId(json.at(1).get<int64_t>()),
            enumerator(json.at(2), RunRefusal::UpstreamLimit), duration(json.at(3)),
            json.size() > 4 && json.at(4).get<bool>() };
    case FrameType::RunProgress:
        return PeerRunProgress { UpstreamId(json.at(1).get<std::string>()), RunId(json.at(2).get<int64_t>()),
            decodeSlowdown(json, 3) };
    case FrameType::RunEnd:
        return PeerRunEnd { UpstreamId(json.at(1).get<std::string>()), RunId(json.at(2).get<int64_t>()),
            { enumerator(json.at(3), RunOutcome::EngineFailed), duration(json.at(4)),
                decodeSlowdown(json, 5) } };
    case FrameType::Usage:
        return PeerUsage { Incarnation(json.at(1).get<int64_t>()), decodeUsage(json.at(2)) };
    case FrameType::UpstreamLimit:
        return PeerUpstreamLimit { decodeLimit(json.at(1)) };
    case FrameType::PermitRequest:
        return PeerPermitRequest { UpstreamId(json.at(1).get<std::string>()),
            PermitId(json.at(2).get<int64_t>()), duration(json.at(3)), decodeOptionalLimit(json, 4) };
    case FrameType::CrashReports:
        return decodeCrashReports(json.at(1));
    case FrameType::AnswerBegan:
        return PeerAnswerBegan { { UpstreamId(json.at(1).get<std::string>()), json.at(2).get<int64_t>(),
            decodeParts(json.at(3)) } };
    case FrameType::Quarantines:
        return PeerQuarantines { decodeQuarantines(json.at(1)) };
    case FrameType::UpstreamLeaving:
        return PeerUpstreamLeaving { decodeLeaving(json.at(1)) };
    case FrameType::PermitAnswer:
        return PeerPermitAnswer { PermitId(json.at(1).get<int64_t>()), json.at(2).get<bool>(),
            duration(json.at(3)) };
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
