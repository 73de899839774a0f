#include "telemetry/metric_values.h"

#include <array>
#include <charconv>
#include <cmath>

namespace heatherroute
{
namespace
{

constexpr std::array<const char *, 3> kTypeNames = {"counter", "gauge", "histogram"};

std::string formatNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), result.ptr};
}

// Escapes text for the Prometheus format: quotes must be escaped in label values but not in help texts.
std::string escaped(const std::string &text, bool escapeQuote)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '\\' || (c == '"' && escapeQuote)) {
            result += '\\';
        }
        result += c;
    }
    return result;
}

std::string formatLabels(const metric_labels &labels)
{
    std::string text;
    for (const metric_label &label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"" + escaped(label.value, true) + "\"";
    }
    return text.empty() ? text : text + "}";
}

std::string sampleLine(const std::string &name, const metric_labels &labels, const std::string &value)
{
    return name + formatLabels(labels) + " " + value + "\n";
}

std::string bucketLine(const std::string &name, metric_labels labels, const std::string &bound, std::uint64_t count)
{
    labels.push_back({"le", bound});
    return sampleLine(name + "_bucket", labels, std::to_string(count));
}

/// Formats the samples of one metric according to its type.
struct sample_writer
{
    const std::string &name;
    const metric_labels &labels;

    std::string operator()(const counter_value &counter) const
    {
        return sampleLine(name, labels, std::to_string(counter.value));
    }

    std::string operator()(const gauge_value &gauge) const
    {
        return sampleLine(name, labels, formatNumber(gauge.value));
    }

    std::string operator()(const histogram_value &histogram) const
    {
        std::string text;
        std::uint64_t cumulative = 0;
        const std::vector<double> bounds = histogram.bounds();
        for (std::size_t i = 0; i < bounds.size(); ++i) {
            cumulative += histogram.countAt(i);
            text += bucketLine(name, labels, formatNumber(bounds[i]), cumulative);
        }
        text += bucketLine(name, labels, "+Inf", histogram.count());
        text += sampleLine(name + "_sum", labels, formatNumber(histogram.sum()));
        text += sampleLine(name + "_count", labels, std::to_string(histogram.count()));
        return text;
    }
};

std::string formatFamily(const std::string &name, const metric_family &family)
{
    if (family.metrics.empty()) {
        return "";
    }
    std::string text = "# HELP " + name + " " + escaped(family.help, false) + "\n";
    text += "# TYPE " + name + " " + kTypeNames[family.metrics.begin()->second.index()] + "\n";
    for (const auto &[labels, value] : family.metrics) {
        text += std::visit(sample_writer{name, labels}, value);
    }
    return text;
}

} // namespace

std::string toPrometheusText(const metrics_snapshot &snapshot)
{
    std::string text;
    for (const auto &[name, family] : snapshot.families()) {
        text += formatFamily(name, family);
    }
    return text;
}

} // namespace heatherroute
