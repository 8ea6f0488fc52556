// Contents of a claim shard's head and of its segments, separated by a line, as two claim writers
// read them. The platform keeps its promise of conditional updates. Whatever the objects hold, one
// operation is granted to at most one request.
#include <map>
#include <set>

#include "claims/claims.h"
#include "claims/shard_codec.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

constexpr unix_milliseconds epoch = 1'700'000'000'000;
constexpr std::string_view head_name = "claims/0/head";
const id128 operation{5, 1};

/// Object store with conditional updates. Segments that were never written have the input's text.
class object_store {
 public:
  object_store(std::string_view head, std::string_view segment) : segment_(segment) {
    if (!head.empty()) {
      objects_[std::string(head_name)] = {std::string(head_name), 1, std::string(head)};
    }
  }

  platform::answer execute(const platform::call& what) {
    if (const auto* read = std::get_if<platform::read>(&what)) {
      if (const auto it = objects_.find(read->name); it != objects_.end()) {
        return platform::found{it->second};
      }
      if (read->name == head_name || segment_.empty()) {
        return platform::absent{};
      }
      return platform::found{{read->name, 1, segment_}};
    }
    if (const auto* write = std::get_if<platform::write>(&what)) {
      platform::object& current = objects_[write->name];
      if (current.version != write->expected_version) {
        return platform::conflict{current};
      }
      current = {write->name, write->expected_version + 1, write->content};
      fuzz::require(claims::decode(write->content).has_value(), "a written object can be read");
      return platform::found{current};
    }
    if (const auto* erase = std::get_if<platform::erase>(&what)) {
      objects_.erase(erase->name);
    }
    return platform::absent{};
  }

 private:
  std::string segment_;
  std::map<std::string, platform::object> objects_;
};

class world {
 public:
  world(std::string_view head, std::string_view segment) : store_(head, segment) {
    claims::settings options;
    options.shards = 1;
    options.head_limit = 700;
    writers_.emplace_back(options, 1);
    writers_.emplace_back(options, 2);
  }

  void ask(std::size_t writer, std::uint64_t request) {
    wire::claim_request message;
    message.sequence = request;
    message.operation = operation;
    message.request = {request, 2};
    message.body_hash = 7;
    apply(writer, writers_[writer].receive(now(), wall(), {"n", {"10.0.0.1", 1}, message}));
  }
  void run(int ticks) {
    for (int it = 0; it < ticks; ++it) {
      clock_ms_ += 10;
      for (std::size_t writer = 0; writer < writers_.size(); ++writer) {
        apply(writer, writers_[writer].tick(now(), wall()));
      }
    }
  }
  std::size_t granted() const { return granted_.size(); }

 private:
  time_point now() const { return time_point{} + milliseconds{clock_ms_}; }
  unix_milliseconds wall() const { return epoch + clock_ms_; }
  void apply(std::size_t writer, claims::claim_writer::effects effects) {
    for (const wire::outgoing& it : effects.messages) {
      const auto* reply = std::get_if<wire::claim_reply>(&it.body);
      if (reply != nullptr && reply->decision == wire::claim_decision::granted) {
        granted_.insert(reply->holder.high);
      }
    }
    for (const platform::requested_call& it : effects.calls) {
      apply(writer, writers_[writer].on_answer(now(), wall(), it.tag, store_.execute(it.what)));
    }
  }

  object_store store_;
  std::vector<claims::claim_writer> writers_;
  std::int64_t clock_ms_ = 0;
  std::set<std::uint64_t> granted_;
};

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const auto parts = fuzz::split(fuzz::text_of(data, size), 2);
  for (const std::string_view it : parts) {
    if (const auto value = claims::decode(it)) {
      fuzz::require(claims::decode(claims::encode(*value)) == value, "decode(encode(x)) == x");
    }
  }
  world objects(parts[0], parts[1]);
  objects.ask(0, 11);
  objects.ask(1, 12);
  objects.run(5);
  objects.ask(0, 13);
  objects.run(20);
  fuzz::require(objects.granted() <= 1, "an operation is granted to one request");
}
