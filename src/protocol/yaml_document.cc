#include "protocol/yaml_document.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <sstream>
#include <utility>

namespace lacewing {

namespace {

/// Builds values from the parser's events. Events are used instead of YAML::Node because a node doesn't tell
/// an alias from a copy.
class ValueBuilder : public YAML::EventHandler {
public:
    ValueBuilder(const std::string& file, std::vector<FileProblem>& problems)
        : m_file(file)
        , m_problems(problems)
    {
    }

    void OnDocumentStart(const YAML::Mark& mark) override { }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        add(value(YamlValue::Kind::Null, mark, anchor));
    }
    void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        report(mark, "an alias (*) is not allowed", "the value itself");
        add(value(YamlValue::Kind::Null, mark, 0));
    }
    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        const std::string& text) override
    {
        YamlValue scalar = value(YamlValue::Kind::Scalar, mark, anchor);
        scalar.scalar = text;
        add(std::move(scalar));
    }
    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value style) override
    {
        m_open.push_back({ value(YamlValue::Kind::Sequence, mark, anchor), std::nullopt });
    }
    void OnSequenceEnd() override { close(); }
    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value style) override
    {
        m_open.push_back({ value(YamlValue::Kind::Map, mark, anchor), std::nullopt });
    }
    void OnMapEnd() override { close(); }

    YamlValue takeRoot() { return std::move(m_root); }

private:
    struct Open {
        YamlValue value;
        /// Key that waits for its value, in a map.
        std::optional<YamlValue> key;
    };

    YamlValue value(YamlValue::Kind kind, const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
            report(mark, "an anchor (&) is not allowed", "the value without it");
        YamlValue result;
        result.kind = kind;
        result.location = { m_file, mark.line + 1 };
        return result;
    }

    void add(YamlValue value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return;
        }
        Open& open = m_open.back();
        if (open.value.kind == YamlValue::Kind::Sequence) {
            open.value.items.push_back(std::move(value));
        } else if (!open.key) {
            open.key = std::move(value);
        } else {
            addMember(open.value, *std::exchange(open.key, std::nullopt), std::move(value));
        }
    }

    void addMember(YamlValue& map, const YamlValue& key, YamlValue value)
    {
        if (key.kind != YamlValue::Kind::Scalar) {
            m_problems.push_back(
                { key.location, std::string("a key is ") + key.kindName(), "a name as the key" });
            return;
        }
        // The key's line is reported: a nested value starts on a later line than its name.
        value.location = key.location;
        const auto [member, inserted] = map.members.emplace(key.scalar, std::move(value));
        if (!inserted)
            m_problems.push_back({ key.location,
                "key \"" + key.scalar + "\" was already given on line "
                    + std::to_string(member->second.location.line),
                "each key once" });
    }

    void close()
    {
        YamlValue value = std::move(m_open.back().value);
        m_open.pop_back();
        add(std::move(value));
    }

    void report(const YAML::Mark& mark, const char* what, const char* instead)
    {
        m_problems.push_back({ { m_file, mark.line + 1 }, what, instead });
    }

    const std::string& m_file;
    std::vector<FileProblem>& m_problems;
    std::vector<Open> m_open;
    YamlValue m_root;
};

} // namespace

std::string FileProblem::text() const
{
    std::string text = location.file;
    if (location.line > 0)
        text += ":" + std::to_string(location.line);
    return text + ": " + what + "; write " + instead;
}

const char* YamlValue::kindName() const
{
    switch (kind) {
    case Kind::Null:
        return "null";
    case Kind::Scalar:
        return "a single value";
    case Kind::Sequence:
        return "a list";
    case Kind::Map:
        return "a map";
    }
    return "invalid";
}

std::optional<YamlValue> YamlDocument::parse(const std::string& file, const std::string& text)
{
    try {
        std::istringstream input(text);
        YAML::Parser parser(input);
        ValueBuilder builder(file, m_problems);
        if (!parser.HandleNextDocument(builder)) {
            m_problems.push_back({ { file, 0 }, "the file is empty", "a map of sections" });
            return std::nullopt;
        }
        YamlValue root = builder.takeRoot();
        ValueBuilder ignored(file, m_problems);
        if (parser.HandleNextDocument(ignored))
            m_problems.push_back(
                { { file, 0 }, "the file holds more than one document", "one document without ---" });
        return root;
    } catch (const YAML::Exception& error) {
        m_problems.push_back({ { file, error.mark.line + 1 }, "this is not YAML: " + error.msg,
            "maps of `name: value` with equal indentation" });
        return std::nullopt;
    }
}

void YamlDocument::merge(YamlValue& base, const YamlValue& overlay, const std::string& path)
{
    for (const auto& [key, value] : overlay.members) {
        const std::string memberPath = path.empty() ? key : path + "." + key;
        const auto found = base.members.find(key);
        if (value.kind == YamlValue::Kind::Null) {
            if (found == base.members.end())
                m_problems.push_back({ value.location, memberPath + ": null deletes nothing here",
                    "a key that the base has" });
            else
                base.members.erase(found);
            continue;
        }
        if (found == base.members.end())
            base.members.emplace(key, value);
        else if (found->second.kind == YamlValue::Kind::Map && value.kind == YamlValue::Kind::Map)
            merge(found->second, value, memberPath);
        else
            found->second = value;
    }
}

} // namespace lacewing
