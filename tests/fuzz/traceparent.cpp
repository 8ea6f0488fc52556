// The traceparent header of callers.
#include "fuzz/fuzz.h"
#include "telemetry/telemetry.h"

using namespace damaskledge;

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const std::string_view header = fuzz::text_of(data, size);
  const auto value = telemetry::parse_traceparent(header);
  if (!value) {
    return;
  }
  const std::string again = telemetry::to_traceparent(*value);
  fuzz::require(telemetry::parse_traceparent(again) == value, "parse(print(x)) == x");
  fuzz::require(!header.starts_with("00") || again == header,
                "a header of version 00 has one form only");
  const telemetry::trace_context child = telemetry::child_of(*value);
  fuzz::require(child.trace_id == value->trace_id && child.span_id != 0,
                "a child stays in its trace");
}
