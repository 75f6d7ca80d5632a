#include "gateway/run_statement.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing;
using namespace lacewing::gateway;

namespace {

const UpstreamId upstream("s-1");

SentRequest sentRequest(bool namesModel = true)
{
    SentRequest request;
    request.id = "r-1";
    request.upstream = upstream;
    request.namesModel = namesModel;
    return request;
}

ResponseAttributes attributesOf(int status, NotExecutedField field)
{
    ResponseAttributes attributes;
    attributes.status = status;
    attributes.requestId = "r-1";
    attributes.notExecuted = field;
    return attributes;
}

RunStatement statementOf(const ResponseAttributes& attributes)
{
    return readStatement(attributes, sentRequest()).statement;
}

StatementConflict conflictOf(const ResponseAttributes& attributes)
{
    return readStatement(attributes, sentRequest()).conflict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunStatementTest)

// Guards against a second run of a request that an upstream has run and answered with any status beside the
// statement that it hasn't.
BOOST_AUTO_TEST_CASE(OnlyTheStatusOfARejectionGoesWithTheStatement)
{
    const std::set<int> rejections { 421, 429, 503 };
    for (int status = 100; status < 600; ++status) {
        const bool isRejection = rejections.count(status) > 0;
        const ResponseAttributes attributes = attributesOf(status, NotExecutedField::Stated);
        BOOST_TEST((statementOf(attributes) == RunStatement::NotExecuted) == isRejection);
        BOOST_TEST((conflictOf(attributes) == StatementConflict::Status) == !isRejection);
    }
}

// Guards against treating an ordinary server error as a guarantee that the request has not run.
BOOST_AUTO_TEST_CASE(WithoutTheFieldOnlyAMisdirectedRequestHasNotRun)
{
    for (int status = 100; status < 600; ++status) {
        const RunStatement expected = status == 421 ? RunStatement::NotExecuted : RunStatement::None;
        BOOST_TEST((statementOf(attributesOf(status, NotExecutedField::Absent)) == expected));
    }
}

BOOST_AUTO_TEST_CASE(AnUnclearFieldIsNoStatement)
{
    for (const int status : { 200, 421, 429, 500, 503 })
        BOOST_TEST((conflictOf(attributesOf(status, NotExecutedField::Unclear)) == StatementConflict::Value));
}

// Guards against a second run of a request whose answer bears the seal of a run, or a run's stream.
BOOST_AUTO_TEST_CASE(WhatOnlyARunMakesSpeaksAgainstTheStatement)
{
    for (const NotExecutedField field : { NotExecutedField::Absent, NotExecutedField::Stated }) {
        ResponseAttributes sealed = attributesOf(421, field);
        sealed.isSealed = true;
        BOOST_TEST((conflictOf(sealed) == StatementConflict::Seal));
        ResponseAttributes stream = attributesOf(421, field);
        stream.isEventStream = true;
        BOOST_TEST((conflictOf(stream) == StatementConflict::EventStream));
    }
}

BOOST_AUTO_TEST_CASE(OnlyAMisdirectedRequestIsRejectedByAnotherUpstream)
{
    ResponseAttributes attributes = attributesOf(503, NotExecutedField::Stated);
    attributes.respondingUpstream = upstream;
    BOOST_TEST((statementOf(attributes) == RunStatement::NotExecuted));
    attributes.respondingUpstream = UpstreamId("s-2");
    BOOST_TEST((conflictOf(attributes) == StatementConflict::OtherUpstream));
    attributes.status = 421;
    BOOST_TEST((statementOf(attributes) == RunStatement::NotExecuted));
}

// Guards against a second run of a request that an upstream rejects as meant for another one, although it
// names itself. Only a request with a model may be rejected so, since the upstream may lack the model.
BOOST_AUTO_TEST_CASE(ARequestWithoutAModelIsNotMisdirectedToItsUpstream)
{
    ResponseAttributes attributes = attributesOf(421, NotExecutedField::Absent);
    attributes.respondingUpstream = upstream;
    BOOST_TEST((readStatement(attributes, sentRequest()).statement == RunStatement::NotExecuted));
    BOOST_TEST((readStatement(attributes, sentRequest(false)).conflict == StatementConflict::SameUpstream));
}

// Guards against a second run of a request because of a refusal that was meant for another exchange.
BOOST_AUTO_TEST_CASE(ARejectionNamesItsRequest)
{
    for (const int status : { 421, 429, 503 }) {
        ResponseAttributes attributes = attributesOf(status, NotExecutedField::Stated);
        attributes.requestId.clear();
        BOOST_TEST((conflictOf(attributes) == StatementConflict::NoRequestId));
        SentRequest unnamed = sentRequest();
        unnamed.id.clear();
        BOOST_TEST((readStatement(attributes, unnamed).statement == RunStatement::NotExecuted));
    }
}

BOOST_AUTO_TEST_CASE(CallersTakeFourStatusesForThePromise)
{
    std::set<int> statuses;
    for (int status = 100; status < 600; ++status) {
        if (impliesNotExecuted(status))
            statuses.insert(status);
    }
    BOOST_TEST((statuses == std::set<int> { 408, 421, 429, 503 }));
}

BOOST_AUTO_TEST_SUITE_END()
