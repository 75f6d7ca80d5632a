#pragma once

#include "transport/http_chunk_decoder.h"
#include "transport/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace lacewing {

/// Start line and header fields of a request or an answer, and what they say about the body.
struct HttpHead {
    std::string method;
    std::string path;
    /// Raw query without the question mark.
    std::string query;
    int status = 0;
    /// 0 for HTTP/1.0, otherwise 1.
    int minorVersion = 1;
    HttpHeaders headers;
    std::optional<uint64_t> contentLength;
    bool chunked = false;
    /// True if the connection cannot be used after this message.
    bool closes = false;
    bool expectsContinue = false;
};

/// Why a message is refused.
struct HttpFault {
    /// Status for the answer to a refused request.
    int status = 0;
    /// In snake_case.
    const char* reason = "";
};

/// Strict incremental parser of HTTP/1.x messages. Any ambiguity that would let two parsers disagree about
/// the end of a message is a fault.
class HttpParser {
public:
    enum class Kind { Request, Answer };
    enum class Result {
        /// All input was used; more is needed.
        NeedMore,
        /// The head is complete. Call parse() again for the body.
        HeadDone,
        /// The message is complete. Further input belongs to the next message.
        MessageDone,
        /// See fault(). The connection is unusable.
        Failed,
    };

    HttpParser(Kind kind, size_t maximumHeaderBytes);

    /// Gets ready for the next message.
    void reset();
    /// Says that the answer has no body whatever its head says, because the request was HEAD.
    void expectNoBody() { m_noBody = true; }

    /// Removes bytes from the input.
    ///
    /// @param body decoded body bytes are appended to it.
    Result parse(evbuffer* input, std::string& body);
    /// Tells that the sender has closed the connection.
    Result finishInput();

    const HttpHead& head() const { return m_head; }
    /// Moves the head out; call it when the message is done.
    HttpHead takeHead() { return std::move(m_head); }
    HttpFault fault() const { return m_fault; }
    /// @return true if some, but not all, bytes of a head have been seen.
    bool isInsideHead() const { return m_phase == Phase::Head && m_lineStart + m_scanned > 0; }
    bool isBeforeMessage() const { return m_phase == Phase::Head && m_lineStart + m_scanned == 0; }

private:
    enum class Phase { Head, Length, Chunked, UntilClose, Done, Failed };

    Result fail(int status, const char* reason);
    Result parseHead(evbuffer* input);
    bool acceptLine(std::string_view line);
    bool acceptRequestLine(std::string_view line);
    bool acceptStatusLine(std::string_view line);
    bool acceptVersion(std::string_view version);
    bool acceptTarget(std::string_view target);
    bool acceptField(std::string_view line);
    Result finishHead();
    bool interpretFields();
    bool interpretLength();
    bool interpretTransferEncoding();
    Phase bodyPhase() const;
    Result parseLength(evbuffer* input, std::string& body);
    Result parseChunked(evbuffer* input, std::string& body);

    Kind m_kind;
    size_t m_maximumHeaderBytes;
    Phase m_phase = Phase::Head;
    HttpHead m_head;
    HttpFault m_fault;
    bool m_noBody = false;
    bool m_hasStartLine = false;
    // Offset in the input of the first line that is not yet complete, and bytes of it known to have no end.
    size_t m_lineStart = 0;
    size_t m_scanned = 0;
    uint64_t m_remaining = 0;
    HttpChunkDecoder m_chunkDecoder;
};

} // namespace lacewing
