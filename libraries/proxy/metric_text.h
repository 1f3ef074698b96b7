#ifndef LIBRARIES_PROXY_METRIC_TEXT_H_
#define LIBRARIES_PROXY_METRIC_TEXT_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace agaterun::proxy {

// `value` as a label value in double quotes, with the escapes that the
// Prometheus text format requires.
std::string QuotedLabel(std::string_view value);

// Writes one metric without labels in Prometheus text format.
template <class Value>
void WriteMetric(std::ostream& out,
                 std::string_view name,
                 std::string_view type,
                 Value value) {
  out << "# TYPE " << name << " " << type << "\n"
      << name << " " << value << "\n";
}

// Writes one metric in Prometheus text format: a line for each row, labelled
// with the row's member `label`.
template <class Row, class Value>
void WriteMetric(std::ostream& out,
                 std::string_view name,
                 std::string_view type,
                 std::string_view label_name,
                 const std::vector<Row>& rows,
                 std::string Row::*label,
                 Value Row::*value) {
  out << "# TYPE " << name << " " << type << "\n";
  for (const auto& row : rows) {
    out << name << "{" << label_name << "=" << QuotedLabel(row.*label) << "} "
        << row.*value << "\n";
  }
}

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_METRIC_TEXT_H_
