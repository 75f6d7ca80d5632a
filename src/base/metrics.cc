#include "base/metrics.h"

#include <array>
#include <sstream>

namespace lacewing {

namespace {

constexpr std::array<double, 3> quantileProbabilities { 0.5, 0.95, 0.99 };

std::string escaped(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    return text;
}

std::string labelText(const MetricLabels& labels)
{
    std::string text;
    for (const auto& [key, value] : labels) {
        if (!text.empty())
            text += ',';
        text += key + "=\"" + escaped(value) + "\"";
    }
    return text;
}

std::string series(const std::string& name, const std::string& labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

void writeSummary(
    std::ostream& out, const std::string& name, const std::string& labels, const Summary& summary)
{
    for (const double probability : quantileProbabilities) {
        std::ostringstream label;
        label << labels << (labels.empty() ? "" : ",") << "quantile=\"" << probability << "\"";
        out << series(name, label.str()) << ' ' << summary.quantile(probability) << '\n';
    }
    out << series(name + "_sum", labels) << ' ' << summary.sum() << '\n';
    out << series(name + "_count", labels) << ' ' << summary.count() << '\n';
}

void writeHistogram(
    std::ostream& out, const std::string& name, const std::string& labels, const Histogram& histogram)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (const Histogram::Bucket& bucket : histogram.cumulativeBuckets()) {
        std::ostringstream bound;
        bound << bucket.upperBound;
        out << series(name + "_bucket", prefix + "le=\"" + bound.str() + "\"") << ' ' << bucket.count << '\n';
    }
    out << series(name + "_bucket", prefix + "le=\"+Inf\"") << ' ' << histogram.count() << '\n';
    out << series(name + "_sum", labels) << ' ' << histogram.sum() << '\n';
    out << series(name + "_count", labels) << ' ' << histogram.count() << '\n';
}

} // namespace

Summary::Summary()
    : m_accumulator(boost::accumulators::extended_p_square_probabilities = quantileProbabilities)
{
}

int64_t Summary::count() const
{
    return static_cast<int64_t>(boost::accumulators::count(m_accumulator));
}

double Summary::sum() const
{
    return count() == 0 ? 0 : boost::accumulators::sum(m_accumulator);
}

double Summary::maximum() const
{
    return count() == 0 ? 0 : boost::accumulators::max(m_accumulator);
}

double Summary::quantile(double probability) const
{
    if (count() == 0)
        return 0;
    return boost::accumulators::quantile(
        m_accumulator, boost::accumulators::quantile_probability = probability);
}

int64_t& MetricsRegistry::counter(const std::string& name, const MetricLabels& labels)
{
    return m_counters[name][labelText(labels)];
}

double& MetricsRegistry::gauge(const std::string& name, const MetricLabels& labels)
{
    return m_gauges[name][labelText(labels)];
}

Summary& MetricsRegistry::summary(const std::string& name, const MetricLabels& labels)
{
    return m_summaries[name][labelText(labels)];
}

Histogram& MetricsRegistry::histogram(const std::string& name, const MetricLabels& labels)
{
    return m_histograms[name][labelText(labels)];
}

std::string MetricsRegistry::text() const
{
    std::ostringstream out;
    for (const auto& [name, family] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : family)
            out << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, family] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, value] : family)
            out << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, family] : m_summaries) {
        out << "# TYPE " << name << " summary\n";
        for (const auto& [labels, summary] : family)
            writeSummary(out, name, labels, summary);
    }
    for (const auto& [name, family] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, histogram] : family)
            writeHistogram(out, name, labels, histogram);
    }
    return out.str();
}

} // namespace lacewing
