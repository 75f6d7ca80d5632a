#include "gateway/quarantine_rows.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

namespace lacewing::gateway {

namespace {

using Json = nlohmann::json;

constexpr const char* quarantineTable = "lacewinglb-quarantine";
constexpr Duration retryInterval = std::chrono::seconds(1);
/// The store takes no larger transactions.
constexpr size_t maximumWrites = 50;

/// @return the key of the row. A cause has so few parts that it is shorter than the longest key.
std::string keyOf(const PartSet& parts)
{
    return parts.text('-');
}

std::string encode(const Quarantine& quarantine)
{
    return Json {
        { "parts", quarantine.parts.hashes() }, { "revision", quarantine.revision.value() },
        { "probes", quarantine.probes }
    }.dump();
}

std::optional<Quarantine> decode(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        Quarantine quarantine;
        quarantine.parts = PartSet(json.at("parts").get<std::vector<uint64_t>>());
        quarantine.revision = QuarantineRevision(json.at("revision").get<int64_t>());
        quarantine.probes = json.at("probes").get<int>();
        quarantine.untilProbe = PromptQuarantine::probeDelay(quarantine.probes);
        return quarantine;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace

QuarantineRows::QuarantineRows(Scheduler& scheduler, RowStore& store)
    : m_scheduler(scheduler)
    , m_store(store)
{
}

void QuarantineRows::readAll(ReadCallback callback, std::function<void(const Revisions& stored)> done)
{
    m_store.readTable(
        quarantineTable, m_lifetime.guard([this, callback, done](const RowResult<RowSet>& result) {
            if (!result.value) {
                m_scheduler.runAfter(
                    retryInterval, m_lifetime.guard([this, callback, done] { readAll(callback, done); }));
                return;
            }
            Revisions stored;
            for (const StoredRow& row : result.value->rows) {
                const auto quarantine = decode(row.value);
                if (!quarantine) {
                    LogEvent(LogLevel::Warning, "quarantine_row_skipped").with("key", row.id.key);
                    continue;
                }
                stored[row.id.key] = quarantine->revision;
                callback(*quarantine);
            }
            done(stored);
        }));
}

void QuarantineRows::read(ReadCallback callback)
{
    readAll(std::move(callback), [](const Revisions&) {});
}

void QuarantineRows::reconcile(std::function<std::vector<Quarantine>()> known, ReadCallback callback,
    std::function<void(size_t count)> rewritten)
{
    readAll(std::move(callback), [this, known, rewritten](const Revisions& stored) {
        size_t lacking = 0;
        for (const Quarantine& quarantine : known()) {
            const auto row = stored.find(keyOf(quarantine.parts));
            const bool isLacking
                = !quarantine.isLifted && (row == stored.end() || row->second < quarantine.revision);
            if (isLacking || (quarantine.isLifted && row != stored.end()))
                save(quarantine);
            lacking += isLacking ? 1 : 0;
        }
        if (lacking > 0)
            rewritten(lacking);
    });
}

void QuarantineRows::save(const Quarantine& quarantine)
{
    m_pending[keyOf(quarantine.parts)]
        = quarantine.isLifted ? std::nullopt : std::make_optional(encode(quarantine));
    if (!m_isCommitting)
        commit();
}

void QuarantineRows::commit()
{
    if (m_pending.empty())
        return;
    m_isCommitting = true;
    RowTransaction transaction;
    while (!m_pending.empty() && transaction.writes.size() < maximumWrites) {
        const auto node = m_pending.extract(m_pending.begin());
        transaction.writes.push_back({ { quarantineTable, node.key() }, node.mapped() });
    }
    const auto writes = transaction.writes;
    m_store.commit(std::move(transaction), m_lifetime.guard([this, writes](const CommitResult& result) {
        m_isCommitting = false;
        if (result.value) {
            commit();
            return;
        }
        // A later change of the same row stays.
        for (const RowWrite& write : writes)
            m_pending.emplace(write.id.key, write.value);
        m_isCommitting = true;
        m_scheduler.runAfter(retryInterval, m_lifetime.guard([this] { commit(); }));
    }));
}

} // namespace lacewing::gateway
