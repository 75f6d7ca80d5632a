#include "coordination/claim_row.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace lacewing {

namespace {

using Json = nlohmann::json;

std::string toBase64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(const std::string& text, size_t size)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    // EVP_DecodeBlock includes up to two padding bytes in the decoded length.
    if (length < 0 || static_cast<size_t>(length) < size || static_cast<size_t>(length) > size + 2)
        return std::nullopt;
    bytes.resize(size);
    return bytes;
}

const char* toString(ClaimRow::State state)
{
    switch (state) {
    case ClaimRow::State::Running:
        return "running";
    case ClaimRow::State::Answered:
        return "answered";
    case ClaimRow::State::Unknown:
        return "unknown";
    }
    return "invalid";
}

std::optional<ClaimRow::State> stateFrom(const std::string& name)
{
    for (ClaimRow::State state :
        { ClaimRow::State::Running, ClaimRow::State::Answered, ClaimRow::State::Unknown }) {
        if (name == toString(state))
            return state;
    }
    return std::nullopt;
}

} // namespace

std::string encodeClaimRow(const ClaimRow& row)
{
    Json json { { "state", toString(row.state) }, { "host", row.host.value() },
        { "incarnation", row.incarnation.value() }, { "fingerprint", row.fingerprint } };
    if (row.answer) {
        json["status"] = row.answer->status;
        json["contentType"] = row.answer->contentType;
        json["size"] = row.answer->body.size();
        json["body"] = toBase64(row.answer->body);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRow> decodeClaimRow(const std::string& text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        const auto state = stateFrom(json.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        ClaimRow row { *state, HostId(json.at("host").get<std::string>()),
            Incarnation(json.at("incarnation").get<int64_t>()), json.at("fingerprint").get<std::string>(),
            {} };
        if (row.state != ClaimRow::State::Answered)
            return row;
        const auto body = fromBase64(json.at("body").get<std::string>(), json.at("size").get<size_t>());
        if (!body)
            return std::nullopt;
        row.answer
            = StoredAnswer { json.at("status").get<int>(), json.at("contentType").get<std::string>(), *body };
        return row;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace lacewing
