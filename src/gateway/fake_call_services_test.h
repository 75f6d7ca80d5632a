#pragma once

#include "base/virtual_scheduler.h"
#include "gateway/call_services.h"
#include "gateway/fake_row_decoder_test.h"
#include "gateway/fake_row_store_test.h"
#include "gateway/stream_inquiry_exchange.h"
#include "gateway/upstream_availability_exchange.h"

#include <chrono>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace lacewing::gateway {

/// The service of all routes.
inline const ServiceId service("plain");

/// One request that the gateway has sent to an upstream.
struct UpstreamCall {
    HttpClientRequest request;
    HttpClientHandlers handlers;
    bool isCancelled = false;
    bool isPaused = false;
    bool isOnReusedConnection = false;

    void head(int status, const std::string& id, bool isStream, bool isSealed = true)
    {
        HttpHeaders headers { { "id", id } };
        if (isStream)
            headers.add("stream", "1");
        if (isSealed)
            headers.add("seal", "1");
        handlers.onHeaders(status, headers);
    }
    void notExecuted(int status)
    {
        handlers.onHeaders(status, { { "id", "r-1" }, { "not-executed", "1" } });
        handlers.onDone({ std::nullopt, true, status });
    }
    void end(std::optional<HttpClientError> error = std::nullopt, bool wasSent = true)
    {
        handlers.onDone({ error, wasSent, 0 });
    }
};

class FakeHttpClient : public HttpClient {
public:
    std::unique_ptr<HttpClientCall> send(HttpClientRequest request, HttpClientHandlers handlers) override
    {
        auto call = std::make_shared<UpstreamCall>();
        call->request = std::move(request);
        call->handlers = std::move(handlers);
        calls.push_back(call);
        return std::make_unique<Handle>(call);
    }
    void closeIdle(const SocketAddress&) override { }
    size_t connectionCount() const override { return calls.size(); }

    std::vector<std::shared_ptr<UpstreamCall>> calls;

private:
    struct Handle : HttpClientCall {
        explicit Handle(std::shared_ptr<UpstreamCall> call)
            : call(std::move(call))
        {
        }
        ~Handle() override { call->isCancelled = true; }
        void cancel() override { call->isCancelled = true; }
        void pauseReading() override { call->isPaused = true; }
        void resumeReading() override { call->isPaused = false; }
        bool isOnReusedConnection() const override { return call->isOnReusedConnection; }

        std::shared_ptr<UpstreamCall> call;
    };
};

/// Translates with short header names in place of the platform's.
class PlainTranslator : public CallTranslator {
public:
    CallAttributes readRequest(const HttpHeaders& headers) const override
    {
        CallAttributes attributes;
        attributes.requestId = headers.find("id").value_or("");
        attributes.key = headers.find("key");
        attributes.deadline = std::chrono::seconds(4);
        attributes.lastEventId = headers.find("last-event");
        attributes.resumedRequestId = headers.find("resumes").value_or("");
        std::istringstream parts(headers.find("parts").value_or(""));
        for (std::string part; std::getline(parts, part, ',');)
            attributes.promptParts.push_back({ std::stoull(part), Tokens(10) });
        return attributes;
    }
    HttpHeaders upstreamHeaders(const HttpHeaders&, const ForwardingFields& fields) const override
    {
        HttpHeaders headers { { "expect", fields.expectedUpstream.value() } };
        if (fields.lastEventId)
            headers.add("last-event", *fields.lastEventId);
        if (fields.deadline)
            headers.add("deadline", std::to_string(toMilliseconds(*fields.deadline)));
        return headers;
    }
    ResponseAttributes readResponse(int status, const HttpHeaders& headers) const override
    {
        ResponseAttributes attributes;
        attributes.status = status;
        attributes.requestId = headers.find("id").value_or("");
        attributes.isSealed = headers.count("seal") > 0;
        attributes.isEventStream = headers.count("stream") > 0;
        if (const auto stated = headers.find("not-executed"))
            attributes.notExecuted = *stated == "1" ? NotExecutedField::Stated : NotExecutedField::Unclear;
        if (const auto upstream = headers.find("upstream"))
            attributes.respondingUpstream = UpstreamId(*upstream);
        attributes.hasContentEncoding = headers.count("encoding") > 0;
        attributes.availability.isLeaving = headers.count("leaving") > 0;
        if (const auto rest = headers.find("rest"))
            attributes.availability.rest = std::chrono::milliseconds(std::stoll(*rest));
        if (const auto slowdown = headers.find("slowdown"))
            attributes.load = ReportedLoad { 1, 0, 8, std::stod(*slowdown) };
        if (const auto limit = headers.find("limit"))
            attributes.requestLimit = RequestRate(std::stod(*limit));
        return attributes;
    }
    const EventFormat& eventFormat() const override { return m_eventFormat; }
    HttpHeaders callerHeaders(const HttpHeaders& headers) const override { return headers; }
    HttpHeaders localReplyHeaders(const std::string&, std::optional<Duration> retryAfter) const override
    {
        HttpHeaders headers;
        if (retryAfter)
            headers.add("retry", std::to_string(toMilliseconds(*retryAfter)));
        return headers;
    }

private:
    EventFormat m_eventFormat;
};

/// Decodes every upstream row as usable, and every configuration as the same built-in one.
class BuiltInRows : public FakeRowDecoder {
public:
    std::shared_ptr<const ServingConfiguration> readConfiguration(
        const std::string&, std::string&) const override
    {
        ServingConfiguration::Builder builder(revision);
        builder.add(route("/once/", RouteKind::AtMostOnce, 1, false));
        if (hasSafeRoute)
            builder.add(route("/safe/", safeRouteKind, 2, false));
        builder.add(route("/stream/", RouteKind::Stream, 1, false));
        builder.add(route("/resume/", RouteKind::Stream, 2, true));
        Route home = route("/home/", RouteKind::Stream, 2, true);
        home.homes = region::HomeRegions({ RegionId("north") });
        builder.add(home);
        ServiceConfiguration plain;
        plain.id = service;
        builder.add(plain);
        ServingWorkspace workspace;
        workspace.id = WorkspaceId("w-1");
        builder.add(workspace, { "key-1" });
        return builder.build();
    }
    std::optional<UpstreamEntry> readUpstream(const StoredRow& row) const override
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(row.id.key);
        entry.service = service;
        entry.address = { "127.0.0.1", 1 };
        entry.startedAt = startedAt;
        // The id s-N stands in data centre z-N.
        entry.dataCentre = DataCentreId("z-" + row.id.key.substr(row.id.key.rfind('-') + 1));
        const auto version = softwareVersions.find(entry.id);
        entry.softwareVersion = version == softwareVersions.end() ? SoftwareVersion("v1") : version->second;
        return entry;
    }

    /// Start of the processes of upstreams whose rows are read from now on.
    int64_t startedAt = 1;
    /// Software versions of upstreams whose rows are read from now on, if they aren't "v1".
    std::map<UpstreamId, SoftwareVersion> softwareVersions;
    // The configuration that is read from now on.
    Revision revision { 1 };
    bool hasSafeRoute = true;
    RouteKind safeRouteKind = RouteKind::Idempotent;

private:
    static Route route(const char* prefix, RouteKind kind, int attempts, bool isResumable)
    {
        Route route;
        route.id = RouteId(prefix);
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.maximumAttempts = attempts;
        route.isResumable = isResumable;
        route.timeout = std::chrono::seconds(3);
        route.targetLatency = std::chrono::milliseconds(200);
        route.services = { { service, 1 } };
        return route;
    }
};

/// The components that calls share, with a virtual clock, two upstreams and a client that keeps the requests.
struct FakeCallServices {
    FakeCallServices()
    {
        store.put({ "op", "config" }, "{}");
        store.put({ "servers", "s-1" }, "ready");
        store.put({ "servers", "s-2" }, "ready");
        serviceVersions.tableRead({ versionsRow("v1", "", 1) });
        configuration.start();
        upstreams.start();
        scheduler.advance(std::chrono::milliseconds(50));
        for (int request = 0; request < 100; ++request)
            retries.countRequest(service, scheduler.now());
    }

    /// @param others further versions, as JSON strings.
    static StoredRow versionsRow(const std::string& base, const std::string& others, int64_t revision)
    {
        return { ServiceVersionTracker::rowKey(service),
            R"({"base":")" + base + R"(","others":[)" + others + R"(],"revision":)" + std::to_string(revision)
                + "}",
            RowVersion(StoreEra(), 1), false };
    }

    VirtualScheduler scheduler;
    EventLoop loop;
    FakeRowStore store { scheduler };
    BuiltInRows rows;
    PlainTranslator translator;
    FakeHttpClient client;
    ConfigurationTracker configuration { scheduler, store, rows, { [] {}, [](const AdapterRelease&) {} } };
    std::set<DataCentreId> evacuated;
    UpstreamDirectory upstreams { scheduler, store, rows,
        { [] {}, [](const table_sync::ChangeSet&) {},
            [this](const DataCentreId& dataCentre) { return evacuated.count(dataCentre) > 0; } },
        region::RegionMap(
            { { DataCentreId("z-1"), RegionId("north") }, { DataCentreId("z-2"), RegionId("south") } }) };
    HostRecord self { HostId("host-1"), Incarnation(1), { "127.0.0.1", 1 }, { "127.0.0.1", 2 },
        DataCentreId("dc-1"), 0 };
    FleetAgent fleet { scheduler, store, self, std::chrono::seconds(3), OwnershipRule::EnginesCheckFencing,
        { [] {}, [](const UpstreamId&, FencingNumber) {}, [](const UpstreamId&) {},
            [] { return std::set<UpstreamId>(); }, [] { return std::set<HostId>(); },
            [] { return ReportedOwners(); } } };
    PeerMesh mesh { loop, self, {} };
    struct NoControl : EngineControl {
        void order(const EngineTarget&, const AdapterOrder&, OrderCallback) override { }
        void report(const EngineTarget&, ReportCallback) override { }
    } control;
    OwnedEngines owners { scheduler, control, upstreams, configuration, self.host, {} };
    UpstreamPicker picker { 1 };
    UpstreamLimits limits { self.host };
    RunBroker broker { scheduler, limits, self.host };
    EngineView view { scheduler, upstreams, fleet, mesh, owners, picker, self.host, self.dataCentre };
    WorkspaceRateLimiter usage { std::chrono::seconds(8), self.host, MonotonicTime() };
    RetryAllowance retries { RetryLimits() };
    MetricsRegistry metrics;
    Random random { 1 };
    std::vector<PeerMessage> quarantineMessages;
    QuarantineExchange quarantine { scheduler, random, metrics,
        { [this](const PeerMessage& message) { quarantineMessages.push_back(message); },
            [](const Quarantine&) {} } };
    std::set<HostId> deciders { self.host };
    UpstreamPermits permits { scheduler, limits, self.host,
        { [](const HostId&, const PeerMessage&) { return true; }, [this] { return deciders; },
            [] { return 1.0; }, [](const UpstreamId&) { return false; } } };
    CallAdmitter admitter { configuration, usage, random };
    PlainUpstreamSelector selector { upstreams, picker, limits, permits, self.dataCentre };
    std::vector<PeerMessage> availabilityMessages;
    UpstreamAvailabilityExchange availabilityExchange { scheduler, upstreams, metrics,
        { [this](const PeerMessage& message) { availabilityMessages.push_back(message); },
            [](const UpstreamId&) {} } };
    MemoryAccount memory;
    ResponseMemory responseMemory { scheduler, memory, { [] {} } };
    bool reachesStore = true;
    /// The other hosts of the fleet.
    stream_inquiry::FleetReach reach;
    ServiceVersionTracker serviceVersions { scheduler, store,
        { [] { return ServiceVersionTracker::UpstreamCounts(); }, [] { return std::chrono::seconds(30); },
            [] { return size_t { 0 }; }, [](const StoredRow&) {} } };
    StreamRecords streamRecords { scheduler, store, metrics, [] { return std::chrono::seconds(30); },
        [](size_t) {} };
    StreamVersions streamVersions { serviceVersions, streamRecords,
        { [this] { return reachesStore; },
            [this](const ServiceId& name) { return upstreams.softwareVersions(name); },
            [this](const ServiceId& service, const std::optional<StreamName>& name,
                const StreamInquiryExchange::Callback& callback) {
                callback(
                    stream_inquiry::StreamInquiry(streamVersions.knowledge(service, name), reach).result());
            } } };
    CallServices services { scheduler, client, translator, configuration, upstreams, view, broker, picker,
        limits, upstreams.availability(), permits, selector, usage, admitter, retries, quarantine,
        responseMemory, streamVersions, metrics, random, [] {},
        [this](const LimitObservation& observation, const std::string&) {
            limits.observe(observation, scheduler.now());
        },
        [this](const AvailabilityObservation& observation, const std::string& requestId) {
            availabilityExchange.observed(observation, requestId);
        } };
};

} // namespace lacewing::gateway
