#include "transport/connection_prober.h"

#include "transport/event_loop.h"
#include "transport/socket_address.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <map>

namespace lacewing {

namespace {

class TcpProber : public ConnectionProber {
public:
    explicit TcpProber(EventLoop& loop)
        : m_loop(loop)
    {
    }
    ~TcpProber() override;
    TcpProber(const TcpProber&) = delete;
    TcpProber& operator=(const TcpProber&) = delete;

    void probe(const SocketAddress& server, Duration timeout, Callback callback) override;

private:
    struct Attempt {
        TcpProber* prober = nullptr;
        uint64_t number = 0;
        int socket = -1;
        event* writable = nullptr;
        TimerId timer = 0;
        Callback callback;
    };

    static void onWritable(evutil_socket_t, short, void* argument);
    /// @return whether the attempt is under way.
    bool connect(Attempt& attempt, const SocketAddress& server);
    void release(Attempt& attempt);
    void finish(uint64_t number, bool isConnected);

    EventLoop& m_loop;
    uint64_t m_nextNumber = 1;
    std::map<uint64_t, Attempt> m_attempts;
};

TcpProber::~TcpProber()
{
    for (auto& [number, attempt] : m_attempts)
        release(attempt);
}

void TcpProber::release(Attempt& attempt)
{
    m_loop.cancel(attempt.timer);
    if (attempt.writable)
        event_free(attempt.writable);
    if (attempt.socket >= 0)
        ::close(attempt.socket);
}

void TcpProber::finish(uint64_t number, bool isConnected)
{
    auto node = m_attempts.extract(number);
    if (!node)
        return;
    release(node.mapped());
    node.mapped().callback(isConnected);
}

void TcpProber::onWritable(evutil_socket_t socket, short, void* argument)
{
    const auto* attempt = static_cast<Attempt*>(argument);
    int error = 0;
    socklen_t length = sizeof(error);
    const bool isKnown = getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) == 0;
    attempt->prober->finish(attempt->number, isKnown && error == 0);
}

bool TcpProber::connect(Attempt& attempt, const SocketAddress& server)
{
    const auto address = toNative(server);
    if (!address)
        return false;
    attempt.socket = ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (attempt.socket < 0)
        return false;
    return ::connect(attempt.socket, address->pointer(), address->size) == 0 || errno == EINPROGRESS;
}

void TcpProber::probe(const SocketAddress& server, Duration timeout, Callback callback)
{
    const uint64_t number = m_nextNumber++;
    Attempt& attempt = m_attempts[number];
    attempt.prober = this;
    attempt.number = number;
    attempt.callback = std::move(callback);
    const bool isUnderWay = connect(attempt, server);
    attempt.timer
        = m_loop.runAfter(isUnderWay ? timeout : Duration::zero(), [this, number] { finish(number, false); });
    if (!isUnderWay)
        return;
    attempt.writable = event_new(m_loop.base(), attempt.socket, EV_WRITE, onWritable, &attempt);
    event_add(attempt.writable, nullptr);
}

} // namespace

std::unique_ptr<ConnectionProber> createTcpProber(EventLoop& loop)
{
    return std::make_unique<TcpProber>(loop);
}

} // namespace lacewing
