#pragma once

#include <string_view>

namespace lacewing {

/// Stable reason codes of rejected and failed requests, sent to callers and counted in
/// lacewing_refusals_total. docs/OPERATIONS.md describes how to respond to each code.
namespace refusal {

constexpr std::string_view invalidRequest = "invalid_request";
constexpr std::string_view missingKey = "missing_key";
constexpr std::string_view unknownKey = "unknown_key";
constexpr std::string_view keyOfOtherWorkspace = "key_of_other_workspace";
constexpr std::string_view keyInRequest = "key_in_request";
constexpr std::string_view keyWithdrawn = "key_withdrawn";
constexpr std::string_view configurationStale = "configuration_stale";
constexpr std::string_view unknownRoute = "unknown_route";
constexpr std::string_view unknownAdapter = "unknown_adapter";
constexpr std::string_view unknownVersion = "unknown_version";
constexpr std::string_view rateLimited = "rate_limited";
constexpr std::string_view exceedsBurst = "exceeds_burst";
constexpr std::string_view missingIdempotencyKey = "missing_idempotency_key";
constexpr std::string_view claimInProgress = "in_progress";
constexpr std::string_view claimOutcomeUnknown = "claim_outcome_unknown";
constexpr std::string_view claimConflict = "idempotency_key_reused";
constexpr std::string_view claimUnavailable = "claim_unavailable";
constexpr std::string_view noUpstream = "no_upstream";
constexpr std::string_view noOwner = "no_owner";
constexpr std::string_view queueFull = "queue_full";
constexpr std::string_view deadlineExceeded = "deadline_exceeded";
constexpr std::string_view loadFailed = "load_failed";
constexpr std::string_view upstreamRefused = "upstream_refused";
constexpr std::string_view upstreamUnreachable = "upstream_unreachable";
constexpr std::string_view upstreamLost = "upstream_lost";
constexpr std::string_view ownerLost = "owner_lost";
constexpr std::string_view notOwner = "not_owner";
constexpr std::string_view sessionInvalid = "session_invalid";
constexpr std::string_view leaving = "leaving";
constexpr std::string_view retryBudgetExhausted = "retry_budget_exhausted";
constexpr std::string_view callerLeft = "caller_left";

} // namespace refusal

} // namespace lacewing
