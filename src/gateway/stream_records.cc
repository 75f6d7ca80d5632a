#include "gateway/stream_records.h"

#include "base/digest.h"
#include "base/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lacewing::gateway {

namespace {

using Json = nlohmann::json;

constexpr const char* streamTable = "lacewinglb-streams";
/// The store takes no larger transactions.
constexpr size_t maximumWrites = 50;
constexpr Duration retryInterval = std::chrono::milliseconds(150);
/// Callers abandon a stream after a pause of some seconds.
constexpr Duration longestLookUp = std::chrono::milliseconds(1500);
/// Time in which all hosts write their records again after the store has come back from a copy.
constexpr Duration rewriteTime = std::chrono::seconds(5);
/// Any call to the store may be the first one that tells of another era.
constexpr Duration eraInterval = std::chrono::milliseconds(500);
constexpr Duration expiryInterval = std::chrono::seconds(10);

std::string encode(const StreamOrigin& origin)
{
    return Json { { "service", origin.service.value() }, { "version", origin.version.value() } }.dump();
}

std::optional<StreamOrigin> decode(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        return StreamOrigin { ServiceId(json.at("service").get<std::string>()),
            SoftwareVersion(json.at("version").get<std::string>()) };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace

StreamRecords::StreamRecords(Scheduler& scheduler, RowStore& store, MetricsRegistry& metrics,
    std::function<Duration()> lifetime, std::function<void(size_t count)> restored)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_metrics(metrics)
    , m_lifetimeOfStreams(std::move(lifetime))
    , m_restored(std::move(restored))
    , m_expiryTimer(
          scheduler, [] { return expiryInterval; }, [this] { expire(); })
    , m_eraTimer(
          scheduler, [] { return eraInterval; }, [this] { noteEra(m_store.newestEra()); })
{
}

RowKey StreamRecords::rowKey(const StreamName& name)
{
    // Callers choose ids of any length and bytes, and a workspace must not find the streams of another one.
    return { streamTable, sha256Hex(name.workspace.value() + '\n' + name.requestId) };
}

void StreamRecords::remember(const StreamName& name, const StreamOrigin& origin)
{
    Remembered& stream = m_streams[name];
    stream.origin = origin;
    stream.since = m_scheduler.now();
}

void StreamRecords::save(const StreamName& name, const StreamOrigin& origin, std::function<void()> saved)
{
    remember(name, origin);
    m_streams[name].isSaved = true;
    write(rowKey(name), encode(origin), std::move(saved));
}

const StreamOrigin* StreamRecords::findRemembered(const StreamName& name) const
{
    const auto known = m_streams.find(name);
    return known == m_streams.end() ? nullptr : &known->second.origin;
}

void StreamRecords::find(const StreamName& name, std::function<void(const StreamLookup& lookup)> callback)
{
    noteEra(m_store.newestEra());
    if (const StreamOrigin* origin = findRemembered(name)) {
        callback({ StreamLookup::Source::Host, *origin });
        return;
    }
    readRecord(rowKey(name), m_scheduler.now() + longestLookUp, std::move(callback));
}

void StreamRecords::readRecord(const RowKey& key, MonotonicTime deadline, FindCallback callback)
{
    const auto receive
        = [this, key, deadline, callback = std::move(callback)](const RowResult<RowSet>& result) {
              const StreamLookup lookup = result.value ? read(*result.value) : StreamLookup();
              if (result.value || m_scheduler.now() + retryInterval >= deadline) {
                  callback(lookup);
                  return;
              }
              m_scheduler.runAfter(retryInterval,
                  m_lifetime.guard([this, key, deadline, callback] { readRecord(key, deadline, callback); }));
          };
    m_store.readRow(key, m_lifetime.guard(receive));
}

StreamLookup StreamRecords::read(const RowSet& rows)
{
    noteEra(rows.version.era());
    if (rows.rows.empty()) {
        const bool mayBeLost = m_restoredAt && m_scheduler.now() - *m_restoredAt < rewriteTime;
        return { mayBeLost ? StreamLookup::Source::Unreadable : StreamLookup::Source::NoRecord };
    }
    const StoredRow& row = rows.rows.front();
    const auto origin = decode(row.value);
    if (!origin) {
        LogEvent(LogLevel::Warning, "stream_row_skipped").with("key", row.id.key);
        return {};
    }
    return { StreamLookup::Source::Record, origin };
}

void StreamRecords::noteEra(StoreEra era)
{
    if (era <= m_era)
        return;
    const bool isFirst = std::exchange(m_era, era) == StoreEra();
    if (isFirst)
        return;
    m_restoredAt = m_scheduler.now();
    size_t count = 0;
    for (const auto& [name, stream] : m_streams) {
        if (!stream.isSaved)
            continue;
        write(rowKey(name), encode(stream.origin), [] {});
        ++count;
    }
    if (count > 0)
        m_restored(count);
}

void StreamRecords::write(const RowKey& key, std::optional<std::string> value, std::function<void()> saved)
{
    m_pending.emplace_back(key, Pending { std::move(value), m_scheduler.now(), std::move(saved) });
    if (!m_isCommitting)
        commit();
}

void StreamRecords::commit()
{
    m_isCommitting = false;
    const MonotonicTime oldest = m_scheduler.now() - m_lifetimeOfStreams();
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(),
                        [oldest](const auto& write) { return write.second.since < oldest; }),
        m_pending.end());
    if (m_pending.empty())
        return;
    m_isCommitting = true;
    const size_t count = std::min(m_pending.size(), maximumWrites);
    const auto end = m_pending.begin() + static_cast<ptrdiff_t>(count);
    std::vector<std::pair<RowKey, Pending>> writes(
        std::make_move_iterator(m_pending.begin()), std::make_move_iterator(end));
    m_pending.erase(m_pending.begin(), end);
    RowTransaction transaction;
    for (const auto& [key, write] : writes)
        transaction.writes.push_back({ key, write.value });
    m_store.commit(std::move(transaction),
        m_lifetime.guard(
            [this, writes = std::move(writes)](const CommitResult& result) { committed(writes, result); }));
}

void StreamRecords::committed(
    const std::vector<std::pair<RowKey, Pending>>& writes, const CommitResult& result)
{
    ++m_metrics.counter(
        "lacewing_stream_record_commits_total", { { "outcome", result.value ? "done" : "failed" } });
    if (!result.value) {
        // Writes of the same key keep their order.
        m_pending.insert(m_pending.begin(), writes.begin(), writes.end());
        m_scheduler.runAfter(retryInterval, m_lifetime.guard([this] { commit(); }));
        return;
    }
    commit();
    for (const auto& [key, write] : writes)
        write.saved();
}

void StreamRecords::expire()
{
    const MonotonicTime oldest = m_scheduler.now() - m_lifetimeOfStreams();
    for (auto stream = m_streams.begin(); stream != m_streams.end();) {
        if (stream->second.since >= oldest) {
            ++stream;
            continue;
        }
        if (stream->second.isSaved)
            write(rowKey(stream->first), std::nullopt, [] {});
        stream = m_streams.erase(stream);
    }
}

void StreamRecords::sweep()
{
    m_store.readTable(streamTable, m_lifetime.guard([this](const RowResult<RowSet>& result) {
        if (result.value)
            swept(result.value->rows);
    }));
}

void StreamRecords::swept(const std::vector<StoredRow>& rows)
{
    const MonotonicTime now = m_scheduler.now();
    std::map<std::string, MonotonicTime> seen;
    for (const StoredRow& row : rows) {
        const auto before = m_seenRows.find(row.id.key);
        const MonotonicTime since = before == m_seenRows.end() ? now : before->second;
        // The host that has written the row removes it earlier if it still runs.
        if (now - since > 2 * m_lifetimeOfStreams())
            write({ streamTable, row.id.key }, std::nullopt, [] {});
        else
            seen[row.id.key] = since;
    }
    m_seenRows = std::move(seen);
}

} // namespace lacewing::gateway
