#pragma once

#include "base/lifetime.h"
#include "base/metrics.h"
#include "gateway/call_admission.h"
#include "gateway/call_attributes.h"
#include "gateway/stream_versions.h"
#include "gateway/upstream_filter.h"

#include <functional>
#include <optional>

namespace lacewing::gateway {

/// Keeps one call at the software version that has begun its stream.
///
/// A call that takes a stream up is bound to the version that began it, any other call to the version of the
/// run whose first event the caller gets. A stream that callers can take up has a record by then, if it needs
/// one.
///
/// Load pattern: engines break streams off and callers take them up while two versions serve.
class StreamBinding {
public:
    /// All must outlive the binding. The admission must have been resolved.
    StreamBinding(StreamVersions& versions, MetricsRegistry& metrics, const CallAttributes& attributes,
        const CallAdmission& admission);

    /// Finds out which version must serve the call, if it takes a stream up.
    ///
    /// @param done called in this call or later. The call can't be served if the source is Unknown or
    /// Unreadable.
    void resolve(std::function<void(VersionSource source)> done);
    /// @return the upstreams that the call may be sent to.
    UpstreamFilter filter() const;
    /// @return whether the call is bound to one version.
    bool isBound() const { return m_bound.has_value(); }
    /// The call is sent to an upstream.
    void runBegins(const SoftwareVersion& version) { m_runVersion = version; }
    /// Events of the run have arrived. Binds the call to their version, and writes the stream's record if it
    /// needs one.
    ///
    /// @param recorded called if the events had to wait for the record and may be passed on now.
    void eventsArrived(std::function<void()> recorded);
    /// @return the version of the latest run; empty before the first one.
    const SoftwareVersion& runVersion() const { return m_runVersion; }
    /// @return whether events of the run may be passed on.
    bool mayForward() const { return !m_isRecordPending; }
    /// Logs that an upstream is to go on with a stream that the caller has a part of.
    void recordResumption(const UpstreamId& upstream) const;

private:
    VersionFilter versions() const;
    bool isStream() const;
    bool takesUp() const { return m_attributes.lastEventId.has_value(); }
    /// @return whether the stream can be taken up by naming this call.
    bool canBeTakenUp() const;
    void resolved(const StreamVersion& version);
    /// @return the name of the stream that this call begins.
    StreamName ownName() const;
    StreamName nameOf(const std::string& requestId) const;

    StreamVersions& m_versions;
    MetricsRegistry& m_metrics;
    const CallAttributes& m_attributes;
    const CallAdmission& m_admission;
    std::optional<SoftwareVersion> m_bound;
    SoftwareVersion m_runVersion;
    bool m_isRecordPending = false;
    bool m_hasBegun = false;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
