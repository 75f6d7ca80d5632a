// Measures encoding plus decoding of the most frequent messages, and compares with copying the frame.
#include "protocol/peer_codec.h"

#include <chrono>
#include <cstdio>
#include <functional>

using namespace lacewing;

namespace {

constexpr int rounds = 300000;

double nanosecondsPerRound(const std::function<size_t()>& action)
{
    const auto start = std::chrono::steady_clock::now();
    size_t sum = 0;
    for (int round = 0; round < rounds; ++round)
        sum += action();
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - start;
    return sum > 0 ? taken.count() / rounds : 0;
}

void measure(const char* name, const PeerMessage& message)
{
    PeerCodec codec;
    const std::string frame = PeerCodec::encode(message);
    const double encode = nanosecondsPerRound([&] { return PeerCodec::encode(message).size(); });
    const double decode = nanosecondsPerRound([&] { return codec.decode(frame)->index() + 1; });
    // Baseline: two copies of the frame into new memory.
    const double copy = nanosecondsPerRound([&] {
        std::string first = frame;
        asm volatile("" : : "r"(first.data()) : "memory");
        std::string second = first;
        asm volatile("" : : "r"(second.data()) : "memory");
        return second.size();
    });
    std::printf("%-10s bytes=%zu encode_ns=%.0f decode_ns=%.0f both_ns=%.0f ratio_to_copy=%.1f\n", name,
        frame.size(), encode, decode, encode + decode, (encode + decode) / copy);
}

} // namespace

int main()
{
    measure("RunChunk", RunChunk { StreamId(123456), 1000, 1, std::string(64, 'x') });
    measure("Heartbeat",
        Heartbeat { 1000, Incarnation(5), DaemonState::Live, Revision(2000),
            ContentHash(std::string(64, 'a')), 800, true, 12 });
    return 0;
}
