// Content of the coordinator's lease object. The first byte tells how long the node waits between
// the versions, which are separated by a line; the node then tries to take over.
#include <nlohmann/json.hpp>

#include "coordination/coordination.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

/// Epoch in a written lease.
std::uint64_t epoch_of(const std::string& content) {
  const auto value = nlohmann::json::parse(content, nullptr, false);
  fuzz::require(value.is_object() && value["epoch"].is_number_unsigned(),
                "a written lease is an object with an epoch");
  return value["epoch"].get<std::uint64_t>();
}

class world {
 public:
  explicit world(milliseconds step) : step_(step) {
    view_.alive = {"vm-1", "vm-2"};
    view_.heard_recently = view_.alive;
  }

  void put(std::string_view content) {
    object_ = {"coordinator/dc-1", object_.version + 1, std::string(content)};
    own_ = false;
  }
  void run(int ticks) {
    for (int it = 0; it < ticks; ++it) {
      now_ += step_;
      answer(node_.tick(now_, view_));
      check();
    }
  }

 private:
  void answer(const std::vector<platform::requested_call>& calls) {
    for (const platform::requested_call& it : calls) {
      platform::answer result = platform::absent{};
      if (const auto* write = std::get_if<platform::write>(&it.what)) {
        if (write->expected_version == object_.version) {
          fuzz::require(object_.version == 0 || own_ ||
                            term{epoch_of(write->content), 0} > node_.own_term(),
                        "a term taken over is above the one before");
          object_ = {write->name, object_.version + 1, write->content};
          own_ = true;
          written_at_ = now_;
          result = platform::found{object_};
        } else {
          result = platform::conflict{object_};
        }
      } else if (object_.version > 0) {
        result = platform::found{object_};
      }
      answer(node_.on_answer(now_, it.tag, result));
      check();
    }
  }
  void check() {
    const auto known = node_.known("dc-1");
    if (known) {
      fuzz::require(known->held >= highest_, "the known term never falls");
      highest_ = known->held;
    }
    if (node_.current_part(now_) == coordination::part::coordinator) {
      // A holder notices a foreign version at its next renewal.
      fuzz::require(own_ || now_ - written_at_ <= coordination::settings{}.renew_period,
                    "a coordinator holds the lease or is about to renew it");
      fuzz::require(node_.own_term() >= highest_, "a coordinator has the highest known term");
    }
  }

  milliseconds step_;
  coordination::election node_{{}, "vm-1", {"10.0.0.1", 8082}, "dc-1", 1};
  coordination::view view_;
  platform::object object_;
  /// The last version was written by the node.
  bool own_ = false;
  time_point written_at_;
  time_point now_ = time_point{} + seconds{1'000};
  term highest_;
};

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  world lease(milliseconds{20 + 10 * data[0]});
  for (const std::string_view it : fuzz::split(fuzz::text_of(data + 1, size - 1), 3)) {
    if (!it.empty()) {
      lease.put(it);
    }
    lease.run(12);
  }
  lease.run(20);
}
