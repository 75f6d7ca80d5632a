// Sends the same short requests to several addresses in turn and compares the time to the first byte of the
// answer.

#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, targets, {},
    "NAME=IP:PORT of each target, separated by commas; the first is the base");
ABSL_FLAG(std::string, path, "/seats/1", "path of the requests");
ABSL_FLAG(std::string, key, "", "key presented as bearer token; none if empty");
ABSL_FLAG(int, requests, 2000, "requests per target and round");
ABSL_FLAG(int, rounds, 3, "rounds over all targets");
ABSL_FLAG(int, concurrency, 1, "requests in flight");

namespace lacewing {

namespace {

/// Times of one target in microseconds.
struct Target {
    std::string name;
    SocketAddress address;
    std::vector<double> firstByte;
    double seconds = 0;
    int failures = 0;
};

/// Keeps a number of requests in flight until all of a round are answered.
class Round {
public:
    Round(EventLoop& loop, HttpClient& client, Target& target)
        : m_loop(loop)
        , m_client(client)
        , m_target(target)
        , m_left(absl::GetFlag(FLAGS_requests))
    {
    }

    void run()
    {
        const MonotonicTime begin = m_loop.now();
        for (int i = 0; i < absl::GetFlag(FLAGS_concurrency); ++i)
            sendNext();
        m_loop.run();
        m_target.seconds += toSeconds(m_loop.now() - begin);
    }

private:
    void sendNext()
    {
        if (m_left == 0) {
            if (m_open == 0)
                m_loop.stop();
            return;
        }
        --m_left;
        ++m_open;
        HttpClientRequest request;
        request.server = m_target.address;
        request.method = "POST";
        request.target = absl::GetFlag(FLAGS_path);
        request.body = "{}";
        request.headers.add("Content-Type", "application/json");
        if (!absl::GetFlag(FLAGS_key).empty())
            request.headers.add("Authorization", "Bearer " + absl::GetFlag(FLAGS_key));
        const MonotonicTime sent = m_loop.now();
        HttpClientHandlers handlers;
        handlers.onHeaders = [this, sent](int status, const HttpHeaders&) {
            constexpr int statusOk = 200;
            constexpr double microsecondsPerSecond = 1e6;
            m_target.failures += status == statusOk ? 0 : 1;
            m_target.firstByte.push_back(toSeconds(m_loop.now() - sent) * microsecondsPerSecond);
        };
        const size_t slot = m_calls.size();
        handlers.onDone = [this, slot](const HttpClientResult& result) {
            m_target.failures += result.error ? 1 : 0;
            --m_open;
            m_calls[slot].reset();
            sendNext();
        };
        m_calls.push_back(nullptr);
        m_calls[slot] = m_client.send(std::move(request), std::move(handlers));
    }

    EventLoop& m_loop;
    HttpClient& m_client;
    Target& m_target;
    int m_left;
    int m_open = 0;
    std::vector<std::unique_ptr<HttpClientCall>> m_calls;
};

double quantile(std::vector<double>& values, double probability)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(static_cast<double>(values.size() - 1) * probability)];
}

bool parseTargets(std::vector<Target>& targets)
{
    for (const std::string& text : absl::GetFlag(FLAGS_targets)) {
        const size_t equals = text.find('=');
        const auto address = SocketAddress::parse(equals == std::string::npos ? "" : text.substr(equals + 1));
        if (!address)
            return false;
        targets.push_back({ text.substr(0, equals), *address, {}, 0, 0 });
    }
    return !targets.empty();
}

void print(std::vector<Target>& targets)
{
    const double base50 = quantile(targets.front().firstByte, 0.5);
    const double base99 = quantile(targets.front().firstByte, 0.99);
    std::printf("%-12s %10s %10s %12s %12s %12s %9s\n", "target", "p50 us", "p99 us", "added p50",
        "added p99", "requests/s", "failures");
    for (Target& target : targets) {
        const double p50 = quantile(target.firstByte, 0.5);
        const double p99 = quantile(target.firstByte, 0.99);
        std::printf("%-12s %10.0f %10.0f %12.0f %12.0f %12.0f %9d\n", target.name.c_str(), p50, p99,
            p50 - base50, p99 - base99, static_cast<double>(target.firstByte.size()) / target.seconds,
            target.failures);
    }
}

} // namespace

} // namespace lacewing

int main(int argc, char** argv)
{
    using namespace lacewing;
    absl::SetProgramUsageMessage(
        "Compares the time to the first byte of the same requests at several addresses.");
    absl::ParseCommandLine(argc, argv);
    std::vector<Target> targets;
    if (!parseTargets(targets)) {
        std::cerr << "--targets needs NAME=IP:PORT, separated by commas\n";
        return 2;
    }
    EventLoop loop;
    const auto client = HttpClient::create(loop);
    for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
        for (Target& target : targets)
            Round(loop, *client, target).run();
    }
    print(targets);
    return 0;
}
