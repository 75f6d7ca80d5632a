#include "coordination/session_directory.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr Duration shortestListInterval = std::chrono::seconds(3);
/// Limits the list calls of the whole fleet to 20 per second, independent of its size.
constexpr Duration listIntervalPerDaemon = std::chrono::milliseconds(50);
/// Calls of refresh() within this time are coalesced into one read.
constexpr Duration refreshDelay = std::chrono::milliseconds(20);

} // namespace

SessionDirectory::SessionDirectory(TableService& table, Scheduler& scheduler, uint64_t seed)
    : m_table(table)
    , m_scheduler(scheduler)
    , m_random(seed)
    , m_timer(
          scheduler, [this] { return interval(); }, [this] { listAll(); })
{
}

void SessionDirectory::start()
{
    m_timer.start();
    listAll();
}

void SessionDirectory::refresh(const HostId& host)
{
    m_refreshKeys.insert(sessionKey(host));
    if (m_refreshing)
        return;
    m_refreshing = true;
    m_scheduler.runAfter(refreshDelay, m_lifetime.guard([this] { readRefreshed(); }));
}

void SessionDirectory::apply(const TableRow& row)
{
    const std::string prefix = sessionPrefix;
    if (row.key.compare(0, prefix.size(), prefix) != 0)
        return;
    const HostId host(row.key.substr(prefix.size()));
    const auto known = m_entries.find(host);
    // Responses to reads may arrive out of order.
    if (known != m_entries.end() && known->second.version >= row.version)
        return;
    const auto session = decodeSessionRow(row.value);
    if (!session) {
        LogEvent(LogLevel::Error, "session_row_malformed").with("key", row.key);
        return;
    }
    const SessionEntry entry { *session, row.version, m_scheduler.now() };
    m_entries[host] = entry;
    for (const Listener& listener : m_listeners)
        listener(entry);
}

const SessionEntry* SessionDirectory::find(const HostId& host) const
{
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? nullptr : &found->second;
}

size_t SessionDirectory::activeCountExcept(const HostId& host) const
{
    return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.first != host && item.second.row.state != SessionState::Ended;
    }));
}

Duration SessionDirectory::interval()
{
    const Duration base
        = std::max(shortestListInterval, listIntervalPerDaemon * static_cast<int64_t>(m_entries.size()));
    return Duration(
        static_cast<int64_t>(static_cast<double>(base.count()) * (0.75 + 0.5 * m_random.uniform())));
}

void SessionDirectory::listAll()
{
    m_table.list(sessionPrefix,
        m_lifetime.guard([this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (error)
                return;
            m_loaded = true;
            applyAll(rows);
        }));
}

void SessionDirectory::readRefreshed()
{
    m_refreshing = false;
    std::vector<std::string> keys(m_refreshKeys.begin(), m_refreshKeys.end());
    m_refreshKeys.clear();
    m_table.read(std::move(keys),
        m_lifetime.guard([this](const std::vector<TableRow>& rows, std::optional<TableError> error) {
            if (!error)
                applyAll(rows);
        }));
}

void SessionDirectory::applyAll(const std::vector<TableRow>& rows)
{
    for (const TableRow& row : rows)
        apply(row);
}

} // namespace lacewing
