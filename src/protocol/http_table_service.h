#pragma once

#include "base/metrics.h"
#include "state/table_service.h"
#include "transport/http_client.h"

#include <map>

namespace lacewing {

/// The platform's table over the HTTP protocol of docs/upstream-protocol.md. Calls are not repeated: the
/// callers of the port decide that, since a repeated commit needs its conditions checked anew.
class HttpTableService : public TableService {
public:
    /// @param client, metrics must outlive the service.
    /// @param server address of the platform.
    HttpTableService(HttpClient& client, SocketAddress server, MetricsRegistry& metrics);
    ~HttpTableService() override;

    void read(std::vector<std::string> keys, RowsCallback callback) override;
    void list(std::string prefix, RowsCallback callback) override;
    void commit(TableTransaction transaction, CommitCallback callback) override;

    /// @return whether the last call that ended was answered by the table.
    bool isUp() const { return m_up; }

private:
    /// Receives the status and body, or the error.
    using AnswerCallback
        = std::function<void(int status, const std::string& body, std::optional<TableError> error)>;

    struct Call;

    void post(const char* operation, std::string body, AnswerCallback callback);
    void readRows(const char* operation, std::string body, RowsCallback callback);
    void finish(uint64_t id, const HttpClientResult& result);

    HttpClient& m_client;
    SocketAddress m_server;
    MetricsRegistry& m_metrics;
    uint64_t m_nextCall = 1;
    std::map<uint64_t, std::unique_ptr<Call>> m_calls;
    bool m_up = false;
};

} // namespace lacewing
