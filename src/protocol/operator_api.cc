#include "protocol/operator_api.h"

#include "protocol/configuration_json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lacewing {

using nlohmann::json;

namespace {

json optionalNumber(const std::optional<int64_t>& number)
{
    return number ? json(*number) : json();
}

json toJson(const OperatorHostStatus& host)
{
    return { { "host", host.host.value() }, { "dataCentre", host.dataCentre.value() },
        { "address", host.address }, { "link", host.link }, { "state", host.state },
        { "incarnation", host.incarnation.value() }, { "revision", host.revision.value() },
        { "headAgeMs", optionalNumber(host.headAgeMs) }, { "tableUp", host.tableUp }, { "load", host.load } };
}

json toJson(const OperatorUpstreamStatus& upstream)
{
    return { { "upstream", upstream.upstream.value() }, { "state", upstream.state },
        { "owner", upstream.owner.value() }, { "fencingNumber", upstream.fencingNumber.value() },
        { "running", upstream.running }, { "queued", upstream.queued } };
}

const char* kindName(ConfigurationChange::Kind kind)
{
    switch (kind) {
    case ConfigurationChange::Kind::Added:
        return "added";
    case ConfigurationChange::Kind::Removed:
        return "removed";
    case ConfigurationChange::Kind::Changed:
        return "changed";
    }
    return "invalid";
}

json toJson(const ConfigurationChange& change)
{
    return { { "kind", kindName(change.kind) }, { "subject", change.subject }, { "id", change.id },
        { "field", change.field }, { "before", change.before }, { "after", change.after },
        { "text", change.text() } };
}

template <typename Item> json toArray(const std::vector<Item>& items)
{
    json result = json::array();
    for (const Item& item : items)
        result.push_back(toJson(item));
    return result;
}

/// Reads members of an object. The first member that is missing or of the wrong kind is kept as the error,
/// and all later reads give defaults.
class Members {
public:
    Members(const json& object, std::string& error)
        : m_object(object)
        , m_error(error)
    {
        if (!object.is_object())
            fail("", "is not an object");
    }

    std::string text(const char* name)
    {
        const json* value = find(name, &json::is_string);
        return value == nullptr ? "" : value->get<std::string>();
    }
    int64_t number(const char* name)
    {
        const json* value = find(name, &json::is_number_integer);
        return value == nullptr ? 0 : value->get<int64_t>();
    }
    bool flag(const char* name)
    {
        const json* value = find(name, &json::is_boolean);
        return value != nullptr && value->get<bool>();
    }
    std::optional<int64_t> optionalNumber(const char* name)
    {
        if (m_object.is_object() && m_object.contains(name) && m_object.at(name).is_null())
            return std::nullopt;
        return number(name);
    }
    const json& list(const char* name)
    {
        static const json empty = json::array();
        const json* value = find(name, &json::is_array);
        return value == nullptr ? empty : *value;
    }
    const json* object(const char* name) { return find(name, &json::is_object); }

private:
    const json* find(const char* name, bool (json::*isKind)() const noexcept)
    {
        if (!m_object.is_object())
            return nullptr;
        const auto found = m_object.find(name);
        if (found != m_object.end() && ((*found).*isKind)())
            return &*found;
        fail(name, found == m_object.end() ? "is missing" : "has the wrong kind of value");
        return nullptr;
    }
    void fail(const std::string& name, const std::string& what)
    {
        if (m_error.empty())
            m_error = (name.empty() ? "the body" : name) + " " + what;
    }

    const json& m_object;
    std::string& m_error;
};

OperatorHostStatus readHost(const json& source, std::string& error)
{
    Members members(source, error);
    OperatorHostStatus host;
    host.host = HostId(members.text("host"));
    host.dataCentre = DataCentreId(members.text("dataCentre"));
    host.address = members.text("address");
    host.link = members.text("link");
    host.state = members.text("state");
    host.incarnation = Incarnation(members.number("incarnation"));
    host.revision = Revision(members.number("revision"));
    host.headAgeMs = members.optionalNumber("headAgeMs");
    host.tableUp = members.flag("tableUp");
    host.load = members.number("load");
    return host;
}

OperatorUpstreamStatus readUpstream(const json& source, std::string& error)
{
    Members members(source, error);
    OperatorUpstreamStatus upstream;
    upstream.upstream = UpstreamId(members.text("upstream"));
    upstream.state = members.text("state");
    upstream.owner = HostId(members.text("owner"));
    upstream.fencingNumber = FencingNumber(members.number("fencingNumber"));
    upstream.running = members.number("running");
    upstream.queued = members.number("queued");
    return upstream;
}

ConfigurationChange readChange(const json& source, std::string& error)
{
    Members members(source, error);
    ConfigurationChange change;
    const std::string kind = members.text("kind");
    change.kind = kind == "added" ? ConfigurationChange::Kind::Added
        : kind == "removed"       ? ConfigurationChange::Kind::Removed
                                  : ConfigurationChange::Kind::Changed;
    change.subject = members.text("subject");
    change.id = members.text("id");
    change.field = members.text("field");
    change.before = members.text("before");
    change.after = members.text("after");
    return change;
}

Configuration readConfiguration(const json* source, std::string& error)
{
    ConfigurationJson decoder;
    std::optional<Configuration> configuration;
    if (source != nullptr)
        configuration = decoder.decode(*source);
    if (!configuration && error.empty())
        error = decoder.lastError();
    return configuration.value_or(Configuration {});
}

/// @return the value, or nothing if there was an error.
template <typename Value> std::optional<Value> unlessFailed(Value value, const std::string& error)
{
    if (!error.empty())
        return std::nullopt;
    return value;
}

json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

} // namespace

int OperatorSubmitAnswer::httpStatus() const
{
    if (code == "accepted")
        return 200;
    if (code == "conflict")
        return 409;
    return code == "invalid" ? 422 : 503;
}

std::string OperatorApi::encode(const OperatorStatus& status)
{
    return json {
        { "host", status.host.value() }, { "version", status.version },
        { "revision", status.revision.value() }, { "hash", status.hash.value() },
        { "headAgeMs", optionalNumber(status.headAgeMs) }, { "tableUp", status.tableUp },
        { "keyedRoutesOpen", status.keyedRoutesOpen }, { "sessionValid", status.sessionValid },
        { "hosts", toArray(status.hosts) }, { "upstreams", toArray(status.upstreams) }
    }.dump();
}

std::string OperatorApi::encode(const OperatorConfiguration& answer)
{
    return json {
        { "revision", answer.configuration.revision.value() }, { "hash", answer.hash.value() },
        { "configuration", ConfigurationJson::encode(answer.configuration) }
    }.dump();
}

std::string OperatorApi::encode(const OperatorSubmitRequest& request)
{
    return json {
        { "expectedRevision", request.expectedRevision.value() },
        { "configuration", ConfigurationJson::encode(request.configuration) }
    }.dump();
}

std::string OperatorApi::encode(const OperatorSubmitAnswer& answer)
{
    json result
        = { { "code", answer.code }, { "revision", answer.revision.value() }, { "message", answer.message },
              { "changes", toArray(answer.changes) }, { "problems", answer.problems } };
    return result.dump();
}

std::string OperatorApi::encode(const std::vector<ConfigurationChange>& changes)
{
    return toArray(changes).dump();
}

std::optional<OperatorStatus> OperatorApi::decodeStatus(const std::string& text)
{
    m_lastError.clear();
    const json source = parse(text);
    Members members(source, m_lastError);
    OperatorStatus status;
    status.host = HostId(members.text("host"));
    status.version = members.text("version");
    status.revision = Revision(members.number("revision"));
    status.hash = ContentHash(members.text("hash"));
    status.headAgeMs = members.optionalNumber("headAgeMs");
    status.tableUp = members.flag("tableUp");
    status.keyedRoutesOpen = members.flag("keyedRoutesOpen");
    status.sessionValid = members.flag("sessionValid");
    for (const json& host : members.list("hosts"))
        status.hosts.push_back(readHost(host, m_lastError));
    for (const json& upstream : members.list("upstreams"))
        status.upstreams.push_back(readUpstream(upstream, m_lastError));
    return unlessFailed(std::move(status), m_lastError);
}

std::optional<OperatorConfiguration> OperatorApi::decodeConfiguration(const std::string& text)
{
    m_lastError.clear();
    const json source = parse(text);
    Members members(source, m_lastError);
    OperatorConfiguration answer;
    answer.hash = ContentHash(members.text("hash"));
    const Revision revision(members.number("revision"));
    answer.configuration = readConfiguration(members.object("configuration"), m_lastError);
    answer.configuration.revision = revision;
    return unlessFailed(std::move(answer), m_lastError);
}

std::optional<OperatorSubmitRequest> OperatorApi::decodeSubmitRequest(const std::string& text)
{
    m_lastError.clear();
    const json source = parse(text);
    Members members(source, m_lastError);
    OperatorSubmitRequest request;
    request.expectedRevision = Revision(members.number("expectedRevision"));
    request.configuration = readConfiguration(members.object("configuration"), m_lastError);
    return unlessFailed(std::move(request), m_lastError);
}

std::optional<OperatorSubmitAnswer> OperatorApi::decodeSubmitAnswer(const std::string& text)
{
    m_lastError.clear();
    const json source = parse(text);
    Members members(source, m_lastError);
    OperatorSubmitAnswer answer;
    answer.code = members.text("code");
    answer.revision = Revision(members.number("revision"));
    answer.message = members.text("message");
    for (const json& change : members.list("changes"))
        answer.changes.push_back(readChange(change, m_lastError));
    for (const json& problem : members.list("problems"))
        answer.problems.push_back(problem.is_string() ? problem.get<std::string>() : problem.dump());
    return unlessFailed(std::move(answer), m_lastError);
}

} // namespace lacewing
