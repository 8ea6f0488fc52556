/// @file
/// The node beside one target: it takes the requests that begin on its VM, forwards each to the
/// node of a target that is to run it, and is the only way to its own target.
#pragma once

#include <cstdint>
#include <string>

#include "common/common.h"

namespace damaskledge::sidecar {

/// Settings of one node. See docs/operators.md.
struct settings {
  std::string name;
  std::string data_centre;
  /// Service of the target on this VM.
  std::string service;
  /// Where callers and the target send requests.
  endpoint caller_address;
  /// Where readiness is asked for.
  endpoint ready_address;
  /// Where the target announces itself.
  endpoint announce_address;
  /// Where other nodes connect.
  endpoint peer_address;
  /// Where the node listens for them behind a forwarder at `peer_address`; port 0 for the same.
  endpoint peer_listen_address;
  /// Where counters and histograms are served; port 0 turns it off.
  endpoint metrics_address;
  endpoint upstream_address;
  /// The platform's object store.
  endpoint store_address;
  /// The whole fleet starts for the first time.
  bool first_start = false;
  /// A leaving target gets no request later than this after its announcement was acknowledged.
  milliseconds drain_limit{2'000};
  /// Time between SIGTERM and SIGKILL.
  seconds grace{6};
  /// Repeats that a service may get for each request, over the fleet.
  double retry_ratio = 0.2;
  /// Repeats that a service may get besides in one window, over the fleet.
  double retry_reserve = 40;
  seconds retry_window{10};
  /// Requests that an account may exceed its rate and burst by, over the fleet.
  double account_tolerance = 0;

  bool operator==(const settings&) const = default;
};

/// @param text JSON with comments.
/// @param file name for error messages.
/// @return parse_error for text that is not JSON, unknown fields and values out of range.
leaf::result<settings> parse_settings(const std::string& text, const std::string& file);

/// @return the text of a file; environment_error when it can't be read.
leaf::result<std::string> read_settings_file(const std::string& path);

/// Runs the node until SIGTERM or SIGINT. SIGHUP and a changed file read the settings anew.
/// @param path file of `initial`.
leaf::result<void> run(const settings& initial, const std::string& path);

} // namespace damaskledge::sidecar
