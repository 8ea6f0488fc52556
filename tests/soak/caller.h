/// @file
/// A caller that keeps its connection and sends one request after the other.
#pragma once

#include <memory>
#include <string>

#include "http/http.h"
#include "soak/vm.h"

namespace damaskledge::soak {

class soak_run;

class caller {
 public:
  caller(surroundings& all, soak_run& run, vm& at, std::string account, std::string name);

  void set_key(std::string key) { key_ = std::move(key); }
  const std::string& account() const { return account_; }
  /// Mean pause between an answer and the next request.
  void set_pause(milliseconds mean) { pause_ = mean; }
  void stop() { stopped_ = true; }

 private:
  void send_later();
  void send();
  void on_data();
  void on_closed();
  void finish(int status, bool whole);

  surroundings& all_;
  soak_run& run_;
  vm& vm_;
  std::string account_;
  std::string name_;
  std::string key_;
  milliseconds pause_{100};
  std::unique_ptr<event::stream> stream_;
  http::response_reader reader_{http::message_limits{}};
  std::string id_;
  std::uint64_t sent_ = 0;
  event::timer_id patience_ = 0;
  bool stopped_ = false;
};

} // namespace damaskledge::soak
