// The part of HttpServerConnection that libevhtp calls while it parses a request.

#include "transport/http_server_connection.h"

#include <event2/buffer.h>
#include <evhtp/evhtp.h>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;

/// A body up to this size is taken also if memory is short.
constexpr size_t smallBodyBytes = 16 * 1024;

HttpFault parserFault(htpparse_error error)
{
    switch (error) {
    case htparse_error_too_big:
        // Longer lines do not reach the parser, which reports a length that isn't a number in this way.
        return { statusBadRequest, "malformed_content_length" };
    case htparse_error_inval_method:
        return { statusBadRequest, "unsupported_method" };
    case htparse_error_inval_hdr:
        return { statusBadRequest, "malformed_header" };
    case htparse_error_inval_chunk_sz:
    case htparse_error_inval_chunk:
        return { statusBadRequest, "malformed_chunk" };
    default:
        return { statusBadRequest, "malformed_start_line" };
    }
}

int copyField(evhtp_header_t* field, void* headers)
{
    static_cast<HttpHeaders*>(headers)->add(
        std::string(field->key, field->klen), std::string(trimmedField({ field->val, field->vlen })));
    return 0;
}

} // namespace

struct HttpServerConnection::Hooks {
    static HttpServerConnection& from(void* self) { return *static_cast<HttpServerConnection*>(self); }
    static evhtp_res result(bool accepted)
    {
        return static_cast<evhtp_res>(accepted ? EVHTP_RES_OK : EVHTP_RES_ERROR);
    }

    static evhtp_res headers(evhtp_request_t* request, evhtp_headers_t*, void* self)
    {
        return result(from(self).acceptHeaders(*request));
    }

    static evhtp_res body(evhtp_request_t* request, evbuffer* buffer, void* self)
    {
        const size_t length = evbuffer_get_length(buffer);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1));
        const bool accepted = from(self).acceptBody(*request, { bytes, length });
        // What is left would be collected in the request too.
        evbuffer_drain(buffer, length);
        return result(accepted);
    }

    // The parser takes the first line of a trailer for the end of the message and the second one for another
    // request. So it is stopped before the trailer, which is then checked and skipped.
    static evhtp_res chunksEnd(evhtp_request_t*, void* self)
    {
        if (!from(self).endChunkedBody())
            return EVHTP_RES_ERROR;
        return EVHTP_RES_PAUSE;
    }

    static evhtp_res connectionEnd(evhtp_connection_t*, void* self)
    {
        if (from(self).m_phase != Phase::Closed)
            from(self).parserGaveUp();
        return EVHTP_RES_OK;
    }
};

void HttpServerConnection::setHooks()
{
    const auto set = [this](evhtp_hook_type type, auto hook) {
        // libevhtp calls each hook with the arguments of its type. The step over void (*)() tells the
        // compiler that the change of type is meant.
        evhtp_connection_set_hook(
            m_connection, type, reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook)), this);
    };
    set(evhtp_hook_on_headers, &Hooks::headers);
    set(evhtp_hook_on_read, &Hooks::body);
    set(evhtp_hook_on_chunks_complete, &Hooks::chunksEnd);
    set(evhtp_hook_on_connection_fini, &Hooks::connectionEnd);
}

void HttpServerConnection::onRequest(evhtp_request* request, void*)
{
    evhtp_request_pause(request);
    // Requests don't reach this function before the connection has set its hooks.
    void* self = request->conn->hooks->on_headers_arg;
    static_cast<HttpServerConnection*>(self)->m_part = Part::Complete;
}

bool HttpServerConnection::refuse(int status, const char* reason)
{
    m_fault = { status, reason };
    return false;
}

bool HttpServerConnection::acceptHeaders(evhtp_request& request)
{
    const char* method = htparser_get_methodstr(m_connection->parser);
    if (!method || !request.uri || !request.uri->path || !request.uri->path->full)
        return refuse(statusBadRequest, "malformed_start_line");
    m_chunkCheck.reset();
    m_head = { method, request.uri->path->full, "", {} };
    // Taken here because libevhtp replaces it by the body of a form.
    if (request.uri->query_raw)
        m_head.query = reinterpret_cast<const char*>(request.uri->query_raw);
    evhtp_headers_for_each(request.headers_in, copyField, &m_head.headers);
    m_body = std::make_shared<HttpBody>(m_context.options.memory);
    m_fault = {};
    return acceptFraming(request, htparser_get_minor(m_connection->parser));
}

bool HttpServerConnection::acceptFraming(evhtp_request& request, int minorVersion)
{
    const auto framing = interpretFraming(m_head.headers, minorVersion, m_fault);
    if (!framing)
        return false;
    const size_t hosts = m_head.headers.count("Host");
    if (hosts > 1 || (hosts == 0 && minorVersion > 0))
        return refuse(statusBadRequest, "host_not_given_once");
    const uint64_t length = framing->contentLength.value_or(0);
    if (length > m_context.options.maximumBodyBytes)
        return refuse(statusTooLarge, "body_too_large");
    if (length > smallBodyBytes && !hasMemoryFor(length))
        return refuse(statusUnavailable, "no_memory");
    m_body->expect(length);
    if (length != htparser_get_content_length(m_connection->parser))
        return refuse(statusBadRequest, "malformed_content_length");
    m_isHeadRequest = m_head.method == "HEAD";
    m_chunked = minorVersion > 0;
    m_closeAfterAnswer = framing->closes;
    if (framing->chunked && !startChunkedBody())
        return false;
    // After this hook libevhtp answers any Expect field if the flag is set. It is not needed for a body that
    // has arrived already.
    const bool isBodyAwaited = (framing->chunked || length > 0)
        && evbuffer_get_length(bufferevent_get_input(m_stream)) == m_check.length();
    if (framing->expectsContinue && isBodyAwaited)
        evhtp_enable_flag(request.htp, EVHTP_FLAG_ENABLE_100_CONT);
    else
        evhtp_disable_flag(request.htp, EVHTP_FLAG_ENABLE_100_CONT);
    return true;
}

bool HttpServerConnection::acceptBody(evhtp_request&, std::string_view bytes)
{
    if (m_body->bytes().size() + bytes.size() > m_context.options.maximumBodyBytes)
        return refuse(statusTooLarge, "body_too_large");
    // The memory for a body of a stated length has been reserved.
    const bool isSmall = m_body->bytes().size() + bytes.size() <= smallBodyBytes;
    if (m_chunkCheck && !isSmall && !hasMemoryFor(bytes.size()))
        return refuse(statusUnavailable, "no_memory");
    m_body->append(bytes);
    return true;
}

// Runs inside the parser, which keeps the head and what follows it in the input until it returns.
bool HttpServerConnection::startChunkedBody()
{
    m_chunkCheck.emplace().reset(m_context.options.maximumBodyBytes);
    if (checkChunks(m_check.length()))
        return true;
    return refuse(m_chunkCheck->fault().status, m_chunkCheck->fault().reason);
}

bool HttpServerConnection::endChunkedBody()
{
    // The parser's end of the body must be that of the check.
    if (!m_chunkCheck || !m_chunkCheck->isDone())
        return refuse(statusBadRequest, "malformed_chunk");
    m_part = Part::Trailer;
    m_check.reset(HttpHeadCheck::Section::Trailer);
    return true;
}

// libevhtp frees a connection after a fault without an answer. This sends one, and keeps the bufferevent to
// write it.
void HttpServerConnection::parserGaveUp()
{
    sendRejection(m_fault.status != 0 ? m_fault : parserFault(htparser_get_error(m_connection->parser)));
    evhtp_connection_take_ownership(m_connection);
    m_connection = nullptr;
    takeOver();
}

} // namespace lacewing
