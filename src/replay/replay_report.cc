#include "replay/replay_report.h"

#include "replay/limit_check.h"
#include "state/refusal.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace lacewing {

namespace {

std::string numberText(double value)
{
    char text[32];
    const bool isWhole = value == static_cast<double>(static_cast<int64_t>(value));
    std::snprintf(text, sizeof text, isWhole ? "%.0f" : "%.4f", value);
    return text;
}

} // namespace

ReplayReport::ReplayReport(const Configuration& configuration, const std::vector<PreparedRequest>& requests,
    const std::vector<RequestResult>& results, const UpstreamCounters& before, const UpstreamCounters& after)
    : m_requests(requests)
    , m_results(results)
{
    findOverlappedCalls();
    countEndings();
    addTimes();
    addWorkspaces(configuration);
    addRuns(before, after);
    for (const char* name : { "loads", "evicted_while_running", "forbidden_text_seen" })
        m_measures[name] = after.growthSince(before, name);
}

std::optional<double> ReplayReport::measure(const std::string& name) const
{
    const auto found = m_measures.find(name);
    if (found != m_measures.end())
        return found->second;
    for (const char* prefix : { "refused.", "unknown." }) {
        if (name.rfind(prefix, 0) == 0)
            return 0;
    }
    return std::nullopt;
}

void ReplayReport::findOverlappedCalls()
{
    std::map<std::string, std::vector<size_t>> attempts;
    for (size_t i = 0; i < m_results.size(); ++i) {
        if (!m_requests[i].isCompletion() && !m_requests[i].route.repeatable)
            attempts[m_requests[i].runKey].push_back(i);
    }
    m_isOverlapped.assign(m_results.size(), false);
    for (const auto& [key, indexes] : attempts) {
        for (const size_t i : indexes)
            m_isOverlapped[i] = m_results[i].code == refusal::claimInProgress && overlapsRun(i, indexes);
    }
}

bool ReplayReport::overlapsRun(size_t attempt, const std::vector<size_t>& sameCall) const
{
    const RequestResult& told = m_results[attempt];
    return std::any_of(sameCall.begin(), sameCall.end(), [&](size_t other) {
        const RequestResult& run = m_results[other];
        return other != attempt && run.code != refusal::claimInProgress && run.sentAt <= told.endedAt
            && told.sentAt <= run.endedAt;
    });
}

bool ReplayReport::isCounted(size_t request) const
{
    return m_results[request].ending != RequestEnding::Cancelled && !m_isOverlapped[request];
}

void ReplayReport::countEndings()
{
    for (const char* name :
        { "answered", "refused", "unknown", "wrong_answers", "cancelled", "in_progress", "connect_failures" })
        m_measures[name] = 0;
    m_measures["requests"] = static_cast<double>(m_requests.size());
    for (size_t i = 0; i < m_results.size(); ++i) {
        const RequestResult& result = m_results[i];
        m_measures["connect_failures"] += result.connectFailures;
        if (m_isOverlapped[i]) {
            ++m_measures["in_progress"];
            continue;
        }
        switch (result.ending) {
        case RequestEnding::Answered:
            ++m_measures["answered"];
            break;
        case RequestEnding::Wrong:
            ++m_measures["wrong_answers"];
            m_faults.push_back("request " + std::to_string(i) + ": " + result.fault);
            break;
        case RequestEnding::RefusedNotRun:
            ++m_measures["refused"];
            ++m_measures["refused." + result.code];
            break;
        case RequestEnding::Unknown:
            ++m_measures["unknown"];
            ++m_measures["unknown." + result.code];
            break;
        case RequestEnding::Cancelled:
            ++m_measures["cancelled"];
            break;
        }
    }
    const double counted = m_measures["requests"] - m_measures["cancelled"] - m_measures["in_progress"];
    m_measures["answered_share"] = counted > 0 ? m_measures["answered"] / counted : 1;
}

void ReplayReport::addTimes()
{
    std::vector<Duration> first;
    std::vector<Duration> firstOfBatch;
    std::vector<Duration> between;
    for (size_t i = 0; i < m_results.size(); ++i) {
        const RequestResult& result = m_results[i];
        if (!m_requests[i].trace.stream || !result.hasFirstToken)
            continue;
        const bool isBatch = m_requests[i].route.requestClass == RequestClass::Batch;
        (isBatch ? firstOfBatch : first).push_back(result.firstTokenAt - result.sentAt);
        between.insert(between.end(), result.gaps.begin(), result.gaps.end());
    }
    addQuantiles("first_token_ms", std::move(first));
    addQuantiles("batch_first_token_ms", std::move(firstOfBatch));
    addQuantiles("between_tokens_ms", std::move(between));
}

void ReplayReport::addQuantiles(const std::string& name, std::vector<Duration> values)
{
    std::sort(values.begin(), values.end());
    for (const int percent : { 50, 95, 99 }) {
        const size_t rank = (values.size() * static_cast<size_t>(percent) + 99) / 100;
        const Duration value = values.empty() ? Duration::zero() : values[std::max<size_t>(rank, 1) - 1];
        m_measures[name + ".p" + std::to_string(percent)] = toSeconds(value) * 1000;
    }
}

double ReplayReport::answeredShare(const WorkspaceId& workspace) const
{
    double answered = 0;
    double counted = 0;
    for (size_t i = 0; i < m_results.size(); ++i) {
        if (m_requests[i].workspace != workspace || !isCounted(i))
            continue;
        ++counted;
        answered += m_results[i].ending == RequestEnding::Answered ? 1 : 0;
    }
    return counted > 0 ? answered / counted : 1;
}

void ReplayReport::addWorkspaces(const Configuration& configuration)
{
    double worstShare = 1;
    double worstExcess = 0;
    for (const auto& [id, config] : configuration.workspaces) {
        LimitCheck check(static_cast<double>(config.rate.value()), config.burst);
        Tokens served;
        std::set<std::string> charged;
        for (size_t i = 0; i < m_results.size(); ++i) {
            if (m_requests[i].workspace != id)
                continue;
            // A repeat of a call that runs at most once gets the stored answer; it is served once.
            const bool isRepeat
                = !m_requests[i].route.repeatable && !charged.insert(m_requests[i].runKey).second;
            if (isRepeat)
                continue;
            const RequestResult& result = m_results[i];
            check.charge(result.sentAt, result.firstTokenAt, result.served);
            served += result.served;
        }
        const std::string prefix = "workspace." + id.value() + ".";
        const double share = answeredShare(id);
        const double excess = check.excess();
        m_measures[prefix + "answered_share"] = share;
        m_measures[prefix + "tokens"] = static_cast<double>(served.value());
        m_measures[prefix + "tokens_over_limit"] = excess;
        worstShare = std::min(worstShare, share);
        worstExcess = std::max(worstExcess, excess);
    }
    m_measures["worst_workspace.answered_share"] = worstShare;
    m_measures["tokens_over_limit"] = worstExcess;
}

void ReplayReport::addRuns(const UpstreamCounters& before, const UpstreamCounters& after)
{
    for (const char* name : { "doubled_runs", "refused_but_run", "answered_not_run", "differing_repeats" })
        m_measures[name] = 0;
    struct Call {
        bool isAnswered = false;
        bool isAlwaysRefused = true;
        std::set<std::string> bodies;
    };
    std::map<std::string, Call> calls;
    for (size_t i = 0; i < m_results.size(); ++i) {
        if (m_requests[i].isCompletion() || m_requests[i].route.repeatable)
            continue;
        Call& call = calls[m_requests[i].runKey];
        const RequestEnding ending = m_results[i].ending;
        call.isAlwaysRefused = call.isAlwaysRefused && ending == RequestEnding::RefusedNotRun;
        call.isAnswered = call.isAnswered || ending == RequestEnding::Answered;
        if (ending == RequestEnding::Answered)
            call.bodies.insert(m_results[i].body);
    }
    // Without a list of services nothing is known about runs.
    const bool isKnown = !after.runs.empty() || !before.runs.empty();
    for (const auto& [key, call] : calls) {
        const auto first = before.runs.find(key);
        const auto last = after.runs.find(key);
        const int64_t runs = (last == after.runs.end() ? 0 : last->second)
            - (first == before.runs.end() ? 0 : first->second);
        m_measures["differing_repeats"] += call.bodies.size() > 1 ? 1 : 0;
        m_measures["doubled_runs"] += runs > 1 ? 1 : 0;
        m_measures["refused_but_run"] += runs > 0 && call.isAlwaysRefused ? 1 : 0;
        m_measures["answered_not_run"] += isKnown && runs == 0 && call.isAnswered ? 1 : 0;
        if (runs > 1)
            m_faults.push_back("call " + key + " ran " + std::to_string(runs) + " times");
    }
}

std::string ReplayReport::table() const
{
    size_t width = 0;
    for (const auto& [name, value] : m_measures)
        width = std::max(width, name.size());
    std::string text;
    for (const auto& [name, value] : m_measures)
        text += name + std::string(width + 2 - name.size(), ' ') + numberText(value) + "\n";
    for (const std::string& fault : m_faults)
        text += "fault: " + fault + "\n";
    return text;
}

} // namespace lacewing
