#pragma once

#include "base/metrics.h"
#include "protocol/http_call_set.h"
#include "state/table_service.h"

namespace lacewing {

/// The platform's table over the HTTP protocol of docs/upstream-protocol.md. Calls are not repeated: the
/// callers of the port decide that, since a repeated commit needs its conditions checked anew.
class HttpTableService : public TableService {
public:
    /// @param client, callIds, metrics must outlive the service.
    /// @param server address of the platform.
    HttpTableService(HttpClient& client, CallIds& callIds, SocketAddress server, MetricsRegistry& metrics);

    void read(std::vector<std::string> keys, RowsCallback callback) override;
    void list(std::string prefix, RowsCallback callback) override;
    void commit(TableTransaction transaction, CommitCallback callback) override;

private:
    /// Receives the status and body, or the error.
    using AnswerCallback
        = std::function<void(int status, const std::string& body, std::optional<TableError> error)>;

    void post(const char* operation, std::string body, AnswerCallback callback);
    void readRows(const char* operation, std::string body, RowsCallback callback);
    void record(const char* operation, const HttpClientResult& result, std::optional<TableError> error);

    HttpCallSet m_calls;
    SocketAddress m_server;
    MetricsRegistry& m_metrics;
};

} // namespace lacewing
