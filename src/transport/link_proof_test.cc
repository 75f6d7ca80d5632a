#include "transport/link_proof.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(LinkProofTest)

// Guards against a proof that leaves out a value, and so holds for another connection, host or direction.
BOOST_AUTO_TEST_CASE(ProofCoversEveryValue)
{
    const LinkHello a { HostId("a"), Incarnation(1), DataCentreId("x"), std::string(32, '1') };
    const LinkHello b { HostId("b"), Incarnation(2), DataCentreId("y"), std::string(32, '2') };
    std::set<std::string> proofs { linkProof("s", LinkRole::Connector, a, b),
        linkProof("s", LinkRole::Acceptor, a, b), linkProof("s", LinkRole::Connector, b, a),
        linkProof("t", LinkRole::Connector, a, b) };
    std::vector<LinkHello> variants(4, a);
    variants[0].host = HostId("c");
    variants[1].incarnation = Incarnation(3);
    variants[2].dataCentre = DataCentreId("z");
    variants[3].nonce[0] = '3';
    for (const LinkHello& variant : variants) {
        proofs.insert(linkProof("s", LinkRole::Connector, variant, b));
        proofs.insert(linkProof("s", LinkRole::Connector, b, variant));
    }
    BOOST_TEST(proofs.size() == 12U);
}

// Guards against a Hello without a usable nonce or host, and against an empty or shortened proof.
BOOST_AUTO_TEST_CASE(IncompleteFramesAreRefused)
{
    LinkHello hello { HostId("a"), Incarnation(1), DataCentreId("x"), *makeLinkNonce() };
    BOOST_TEST(decodeLinkHello(encodeLinkHello(hello)).has_value());
    BOOST_TEST(*makeLinkNonce() != hello.nonce);
    const std::string proof = linkProof("s", LinkRole::Connector, hello, hello);
    BOOST_TEST(matchesLinkProof(encodeLinkProof(proof), proof));
    BOOST_TEST(!matchesLinkProof(encodeLinkProof(proof.substr(1)), proof));
    BOOST_TEST(!matchesLinkProof(encodeLinkProof(""), ""));
    hello.nonce.pop_back();
    BOOST_TEST(!decodeLinkHello(encodeLinkHello(hello)).has_value());
    hello.nonce += "1";
    hello.host = HostId();
    BOOST_TEST(!decodeLinkHello(encodeLinkHello(hello)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
