#include "base/file_watch.h"

#include "base/log.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration pollInterval = std::chrono::seconds(1);

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

FileWatch::FileWatch(Scheduler& scheduler, std::string path, std::function<void()> onChange)
    : m_path(std::move(path))
    , m_onChange(std::move(onChange))
    , m_timer(
          scheduler, [] { return pollInterval; }, [this] { checkForChange(); })
{
    acknowledge();
}

void FileWatch::acknowledge()
{
    m_content = readFile(m_path).value_or("");
}

void FileWatch::checkForChange()
{
    auto content = readFile(m_path);
    if (!content) {
        if (std::exchange(m_isReadable, false))
            LogEvent(LogLevel::Warning, "file_unreadable").with("path", m_path);
        return;
    }
    m_isReadable = true;
    if (*content == m_content)
        return;
    m_content = std::move(*content);
    m_onChange();
}

} // namespace lacewing
