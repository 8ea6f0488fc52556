/// @file
/// What callers and targets of a soak have seen, and the promises that it is checked against.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/common.h"

namespace damaskledge::soak {

/// The rate of every account over the fleet, and the bound on what may run in one window: rate and
/// burst, a tenth more, and 20 requests (the users' bounds).
constexpr double account_rate = 60;
constexpr double account_burst = 60;
constexpr seconds account_window{5};
constexpr double account_overage = 0.1;
constexpr double account_slack = 20;
/// A version is in force this long after the store has taken it (the users' bound).
constexpr milliseconds apply_limit{2'000};
/// A node counts as undisturbed after this long without a fault (the users' bound).
constexpr milliseconds stable_window{3'000};

/// One attempt of a caller.
struct request_record {
  std::string id;
  std::size_t vm = 0;
  std::string account;
  std::string key;
  bool once = false;
  /// Made by a target.
  bool inner = false;
  time_point sent{};
  /// Its node had been undisturbed for the stable window.
  bool in_touch = false;
  int runs = 0;
  /// Status of the answer; 0 while there is none.
  int status = 0;
  bool ended = false;
};

struct violation {
  duration at{};
  std::string promise;
  std::string detail;
};

class history {
 public:
  explicit history(time_point start) : start_(start) {}

  request_record& sent(time_point now, request_record value);
  request_record* find(const std::string& id);
  /// The caller got an answer.
  /// @param whole signature, id and body are the target's.
  void answered(time_point now, const std::string& id, int status, bool whole);
  /// A target began to run a request.
  void ran(time_point now, const std::string& id, const std::string& account,
           const std::string& calling_service, const std::string& origin_service, bool key_seen);
  /// The store has taken a version that no longer holds the key.
  void withdrawn(time_point now, const std::string& key) { withdrawn_[key] = now; }
  void violated(time_point now, const std::string& promise, const std::string& detail);

  const std::vector<violation>& violations() const { return violations_; }
  /// Requests sent since `from`, and those of them that were served.
  std::pair<std::size_t, std::size_t> served_since(time_point from) const;
  std::size_t size() const { return requests_.size(); }
  std::size_t runs() const { return runs_; }

 private:
  void check_rate(time_point now, const std::string& account);

  time_point start_;
  std::map<std::string, request_record> requests_;
  std::map<std::string, std::deque<time_point>> runs_by_account_;
  std::map<std::string, time_point> withdrawn_;
  std::vector<violation> violations_;
  std::size_t runs_ = 0;
};

} // namespace damaskledge::soak
