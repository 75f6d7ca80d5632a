#include "transport/http_parser.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>

#include <memory>

using namespace lacewing;

namespace {

struct BufferDeleter {
    void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpParserTest)

// Guards against a message whose meaning depends on how the network cut it into pieces.
BOOST_AUTO_TEST_CASE(EveryCutGivesTheSameMessages)
{
    const std::string messages
        = "\r\nPOST /a?q=%20 HTTP/1.1\r\nHost: h\r\nX:\t v \r\nTransfer-Encoding: Chunked\r\n\r\n"
          "5\r\nhello\r\n00A ;e=\"x\"\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n"
          "PUT /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\nConnection: x, Close\r\n\r\nabc"
          "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";
    for (size_t pieceLength = 1; pieceLength <= messages.size(); ++pieceLength) {
        const std::unique_ptr<evbuffer, BufferDeleter> input(evbuffer_new());
        HttpParser parser(HttpParser::Kind::Request, 1000);
        std::string body;
        std::string seen;
        for (size_t begin = 0; begin < messages.size(); begin += pieceLength) {
            const std::string piece = messages.substr(begin, pieceLength);
            evbuffer_add(input.get(), piece.data(), piece.size());
            HttpParser::Result result = HttpParser::Result::HeadDone;
            while (result != HttpParser::Result::NeedMore) {
                result = parser.parse(input.get(), body);
                BOOST_REQUIRE((result != HttpParser::Result::Failed));
                if (result != HttpParser::Result::MessageDone)
                    continue;
                const HttpHead head = parser.takeHead();
                seen += head.method + head.path + "," + head.query + "," + head.headers.find("x").value_or("")
                    + "," + std::exchange(body, "") + (head.closes ? ",closes;" : ";");
                parser.reset();
            }
        }
        BOOST_TEST(seen == "POST/a,q=%20,v,hello0123456789;PUT/b,,,abc,closes;GET/c,,,;");
    }
}

// Guards against an address that is connected to although it is not the one in the settings.
BOOST_AUTO_TEST_CASE(AddressNeedsIpNumberAndPort)
{
    for (const std::string text : { "127.0.0.1:80", "[::1]:65535", "0.0.0.0:0" })
        BOOST_TEST(SocketAddress::parse(text).value().text() == text);
    for (const std::string text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
             "127.0.0.1:80x", "host:80", "::1:80" })
        BOOST_TEST(!SocketAddress::parse(text), text);
}

BOOST_AUTO_TEST_SUITE_END()
