#include <algorithm>
#include <sstream>
#include <utility>

#include "fleet/fleet.h"
#include "wire/bounded_archive.h"

namespace damaskledge::fleet {

std::string_view type_name(std::size_t frame_index) {
  static constexpr std::array<std::string_view, std::variant_size_v<frame>> names{
      "call",   "answer",       "cancel", "status",         "load", "config_request",
      "config", "crash_report", "digest", "status_request", "leave"};
  return frame_index < names.size() ? names[frame_index] : "invalid";
}

std::string encode(const frame& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  const std::string payload = std::move(out).str();
  std::string result;
  result.reserve(frame_header_bytes + payload.size());
  const auto n = static_cast<std::uint32_t>(payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    result += static_cast<char>((n >> static_cast<unsigned>(shift)) & 0xFFU);
  }
  result += payload;
  return result;
}

decoded decode(std::string& input) {
  decoded result;
  if (input.size() < frame_header_bytes) {
    return result;
  }
  std::size_t n = 0;
  for (std::size_t i = 0; i < frame_header_bytes; ++i) {
    n = (n << 8U) | static_cast<unsigned char>(input[i]);
  }
  if (n > max_frame_bytes) {
    result.malformed = true;
    return result;
  }
  if (input.size() < frame_header_bytes + n) {
    return result;
  }
  try {
    Poco::MemoryInputStream in(input.data() + frame_header_bytes, static_cast<std::streamsize>(n));
    cereal::bounded_input_archive archive(in);
    frame value;
    archive(value);
    result.value = std::move(value);
  } catch (const std::exception&) {
    result.malformed = true;
  }
  input.erase(0, frame_header_bytes + n);
  return result;
}

void merge_load(node_load& pending, node_load next) {
  const node_load previous = std::exchange(pending, std::move(next));
  if (previous.incarnation != pending.incarnation) {
    return;
  }
  auto& load = pending.load;
  if (load.demand.empty()) {
    load.demand = previous.load.demand;
  }
  // Usage is a running total, so the newer value for an account replaces the older one.
  for (const auto& it : previous.load.accounts) {
    const bool newer = std::any_of(load.accounts.begin(), load.accounts.end(),
                                   [&](const auto& other) { return other.account == it.account; });
    if (!newer) {
      load.accounts.push_back(it);
    }
  }
}

} // namespace damaskledge::fleet
