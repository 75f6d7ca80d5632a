#include "protocol/http_call_set.h"

namespace lacewing {

void HttpCallSet::send(HttpClientRequest request, Callback callback, HeaderObserver headerObserver)
{
    const uint64_t id = m_nextCall++;
    Call& call = *m_calls.emplace(id, std::make_unique<Call>(m_memory)).first->second;
    HttpClientHandlers handlers;
    std::string callId;
    if (m_callIds) {
        callId = m_callIds->next();
        request.headers.add(callIdField, callId);
    }
    handlers.onHeaders = [&call, callId, headerObserver = std::move(headerObserver)](
                             int status, const HttpHeaders& headers) {
        if (headerObserver)
            headerObserver(status, headers);
        if (!callId.empty() && !isAnswerToCall(headers, callId, *call.call))
            call.call->cancel();
    };
    handlers.onBody = [&call](std::string_view bytes) { bodyArrived(call, bytes); };
    handlers.onDone = [this, id, callback = std::move(callback)](const HttpClientResult& result) {
        const auto node = m_calls.extract(id);
        callback(result, node.mapped()->body);
    };
    call.call = m_client.send(std::move(request), std::move(handlers));
}

void HttpCallSet::bodyArrived(Call& call, std::string_view bytes)
{
    if (!call.charge.fits(bytes.size())) {
        call.call->cancel();
        return;
    }
    call.charge.add(bytes.size());
    call.body += bytes;
}

} // namespace lacewing
