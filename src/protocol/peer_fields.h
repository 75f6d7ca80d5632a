#pragma once

#include "state/peer_messages.h"

namespace lacewing {

/// Name of each message type and the list of its fields, used for both directions by PeerCodec. A visitor is
/// called with the name of a field and a reference to it; bytes() is called for fields of arbitrary bytes.
template <typename Message> struct PeerFields;

template <> struct PeerFields<Heartbeat> {
    static constexpr const char* type = "Heartbeat";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("seq", message.seq);
        visitor("incarnation", message.incarnation);
        visitor("state", message.state);
        visitor("revision", message.revision);
        visitor("hash", message.configurationHash);
        visitor("headAgeMs", message.headAgeMs);
        visitor("tableUp", message.tableUp);
        visitor("load", message.load);
    }
};

template <> struct PeerFields<HeartbeatAck> {
    static constexpr const char* type = "HeartbeatAck";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("seq", message.seq);
        visitor("incarnation", message.incarnation);
        visitor("peerIncarnation", message.peerIncarnation);
        visitor("guarding", message.guarding);
        visitor("revision", message.revision);
        visitor("hash", message.configurationHash);
        visitor("headAgeMs", message.headAgeMs);
        visitor("tableUp", message.tableUp);
    }
};

template <> struct PeerFields<RunRequest> {
    static constexpr const char* type = "RunRequest";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("stream", message.stream);
        visitor("requestId", message.requestId);
        visitor("workspace", message.workspace);
        visitor("route", message.route);
        visitor("adapter", message.adapter);
        visitor("version", message.version);
        visitor("model", message.model);
        visitor("upstream", message.upstream);
        visitor("cost", message.cost);
        visitor("class", message.requestClass);
        visitor("deadlineMs", message.deadlineMs);
        visitor("resumeFrom", message.resumeFrom);
        visitor("streaming", message.streaming);
        visitor("repeatable", message.repeatable);
        visitor("method", message.method);
        visitor("path", message.path);
        visitor("contentType", message.contentType);
        visitor.bytes("body", message.body);
    }
};

template <> struct PeerFields<RunChunk> {
    static constexpr const char* type = "RunChunk";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("stream", message.stream);
        visitor("firstToken", message.firstToken);
        visitor("tokens", message.tokens);
        visitor.bytes("bytes", message.bytes);
    }
};

template <> struct PeerFields<RunEnd> {
    static constexpr const char* type = "RunEnd";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("stream", message.stream);
        visitor("outcome", message.outcome);
        visitor("code", message.code);
        visitor("status", message.status);
        visitor("retryAfterMs", message.retryAfterMs);
        visitor("promptTokens", message.promptTokens);
        visitor("generatedTokens", message.generatedTokens);
        visitor("finishReason", message.finishReason);
        visitor("contentType", message.contentType);
    }
};

template <> struct PeerFields<RunCancel> {
    static constexpr const char* type = "RunCancel";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("stream", message.stream);
    }
};

template <> struct PeerFields<RunWindow> {
    static constexpr const char* type = "RunWindow";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("stream", message.stream);
        visitor("bytes", message.bytes);
    }
};

template <> struct PeerFields<TokenAmount> {
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("workspace", message.workspace);
        visitor("tokens", message.tokens);
    }
};

template <> struct PeerFields<QuotaRequest> {
    static constexpr const char* type = "AllotAsk";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("seq", message.seq);
        visitor("wanted", message.wanted);
    }
};

template <> struct PeerFields<QuotaGrant> {
    static constexpr const char* type = "AllotGrant";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("seq", message.seq);
        visitor("granted", message.granted);
        visitor("levels", message.levels);
    }
};

template <> struct PeerFields<QuotaReturn> {
    static constexpr const char* type = "AllotReturn";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("seq", message.seq);
        visitor("spent", message.spent);
        visitor("unused", message.unused);
    }
};

template <> struct PeerFields<UpstreamReport> {
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("upstream", message.upstream);
        visitor("fencingNumber", message.fencingNumber);
        visitor("running", message.running);
        visitor("queued", message.queued);
        visitor("queuedBatch", message.queuedBatch);
        visitor("evictionCost", message.evictionCostPerMegasecond);
        visitor("residents", message.residents);
    }
};

template <> struct PeerFields<UpstreamReports> {
    static constexpr const char* type = "UpstreamReports";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("upstreams", message.upstreams);
    }
};

template <> struct PeerFields<ConfigFetch> {
    static constexpr const char* type = "ConfigFetch";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("hash", message.hash);
    }
};

template <> struct PeerFields<ConfigData> {
    static constexpr const char* type = "ConfigData";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("hash", message.hash);
        visitor.bytes("content", message.content);
    }
};

template <> struct PeerFields<Goodbye> {
    static constexpr const char* type = "Goodbye";
    template <typename Visitor, typename Message> static void visit(Visitor& visitor, Message& message)
    {
        visitor("incarnation", message.incarnation);
    }
};

} // namespace lacewing
