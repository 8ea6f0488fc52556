#include <chrono>
#include <iomanip>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "bench/meter.h"

namespace damaskledge::bench {

namespace {

std::uint64_t machine_memory() {
  return static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::uint64_t>(sysconf(_SC_PAGE_SIZE));
}

std::string short_number(double value) {
  std::ostringstream out;
  out << std::setprecision(4) << value;
  return out.str();
}

} // namespace

report run(const options& wanted) {
  report result;
  result.quick = wanted.quick;
  result.started_at = unix_now();
  result.processors = std::thread::hardware_concurrency();
  result.memory_bytes = machine_memory();
  const double before = processor_seconds();
  const auto start = clock_type::now();
  collector all;
  measure_fleet(wanted, all);
  measure_changes(wanted, all);
  measure_core_memory(wanted, all);
  measure_rules(wanted, all);
  measure_tokens(wanted, all);
  measure_claims(wanted, all);
  measure_request_path(wanted, all);
  result.all = all.finish();
  result.processor_seconds = processor_seconds() - before;
  result.elapsed_seconds = std::chrono::duration<double>(clock_type::now() - start).count();
  return result;
}

std::string to_text(const report& value) {
  std::ostringstream out;
  out << "processors " << value.processors << ", memory " << value.memory_bytes / 1'048'576
      << " MiB, processor time " << short_number(value.processor_seconds) << " s, elapsed "
      << short_number(value.elapsed_seconds) << " s" << (value.quick ? ", quick" : "") << "\n";
  for (const series& it : value.all) {
    out << std::left << std::setw(48) << it.name << " [" << it.y_unit << " by " << it.x_unit
        << "] slope " << short_number(it.fitted.slope) << ", intercept "
        << short_number(it.fitted.intercept) << ", error "
        << short_number(100 * it.fitted.largest_error) << "%:";
    for (const point& at : it.points) {
      out << ' ' << short_number(at.x) << ':' << short_number(at.y);
    }
    out << '\n';
  }
  return out.str();
}

std::string to_json(const report& value) {
  auto all = nlohmann::ordered_json::array();
  for (const series& it : value.all) {
    auto points = nlohmann::ordered_json::array();
    for (const point& at : it.points) {
      points.push_back({at.x, at.y});
    }
    all.push_back({{"name", it.name},
                   {"x_unit", it.x_unit},
                   {"y_unit", it.y_unit},
                   {"points", points},
                   {"slope", it.fitted.slope},
                   {"intercept", it.fitted.intercept},
                   {"largest_relative_error", it.fitted.largest_error}});
  }
  return nlohmann::ordered_json{{"quick", value.quick},
                                {"started_at_ms", value.started_at},
                                {"processors", value.processors},
                                {"memory_bytes", value.memory_bytes},
                                {"processor_seconds", value.processor_seconds},
                                {"elapsed_seconds", value.elapsed_seconds},
                                {"series", all}}
      .dump(2);
}

} // namespace damaskledge::bench
