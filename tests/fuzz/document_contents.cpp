// Documents in a table: contents and merge patches from peers, and versions from the platform that
// travel from one table to another as a patch.
#include <algorithm>

#include <fuzzer/FuzzedDataProvider.h>

#include "documents/documents.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

const endpoint first_address{"10.0.0.1", 1};
const endpoint second_address{"10.0.0.2", 1};

documents::document_table make_table(std::uint64_t seed) {
  return {documents::settings{}, "dc-1", {"lists"}, seed};
}

/// Checks a table after each step.
class checker {
 public:
  void check(const documents::document_table& table) {
    const auto value = table.in_force("lists");
    fuzz::require(version_ == 0 || value.has_value(), "a document in force stays");
    if (!value) {
      return;
    }
    fuzz::require(value->version >= version_, "versions never fall");
    fuzz::require(value->version != version_ || value->content == content_,
                  "a version does not change its content");
    fuzz::require(value->hash == hash_parts({value->content}), "a content matches its hash");
    fuzz::require(value->content.size() <= documents::max_document_bytes,
                  "a document is within its limit");
    version_ = value->version;
    content_ = value->content;
  }

 private:
  std::uint64_t version_ = 0;
  std::string content_;
};

void receive_messages(FuzzedDataProvider& in) {
  documents::document_table table = make_table(1);
  // Without peers, the first content is in force at once.
  if (in.ConsumeBool()) {
    table.set_peers({{"vm-2", "dc-1", second_address}});
  }
  checker each;
  time_point now = time_point{} + seconds{1'000};
  while (in.remaining_bytes() > 0) {
    now += milliseconds{in.ConsumeIntegral<std::uint8_t>() * 8};
    wire::message body;
    switch (in.ConsumeIntegralInRange(0, 4)) {
    case 0: {
      wire::document_content content;
      content.name = "lists";
      content.version = in.ConsumeIntegralInRange<std::uint64_t>(0, 20);
      content.base = in.ConsumeIntegralInRange<std::uint64_t>(0, 20);
      content.content = in.ConsumeBool()
                            ? in.PickValueInArray({R"({"a":1,"b":{"c":2}})", R"({"a":null})",
                                                   R"({"b":{"c":[]}})", "{}", "[1]", "text"})
                            : in.ConsumeRandomLengthString(200);
      content.hash = hash_parts({content.content});
      content.confirmed_age_ms = in.ConsumeIntegral<std::uint64_t>();
      if (const auto value = table.in_force("lists"); value && in.ConsumeBool()) {
        // The hash of a patched content, where the patch replaces the whole document.
        content.base = value->version;
      }
      body = content;
      break;
    }
    case 1:
      body = wire::document_rumour{{"lists", in.ConsumeIntegral<std::uint64_t>()}};
      break;
    case 2:
      body = wire::document_pull{"lists", in.ConsumeIntegralInRange<std::uint64_t>(0, 20)};
      break;
    case 3:
      body = wire::document_confirmation{{"lists", in.ConsumeIntegralInRange<std::uint64_t>(0, 20)},
                                         in.ConsumeIntegral<std::uint64_t>()};
      break;
    default:
      table.tick(now);
    }
    table.receive(now, {"vm-2", second_address, body});
    each.check(table);
  }
}

/// @param versions contents that the platform holds one after another.
void pass_on(const std::vector<std::string>& versions) {
  documents::document_table from = make_table(1);
  documents::document_table to = make_table(2);
  checker each;
  time_point now = time_point{} + seconds{1'000};
  std::uint64_t version = 0;
  for (const std::string& it : versions) {
    now += milliseconds{100};
    from.from_platform(now, {"lists", ++version, it});
    std::vector<wire::outgoing> out = to.heard(now, {"lists", version}, first_address);
    // One round for the patch, and one for the whole content when the patch does not fit.
    for (int round = 0; round < 3 && !out.empty(); ++round) {
      std::vector<wire::outgoing> next;
      for (const wire::outgoing& message : out) {
        for (const wire::outgoing& reply :
             from.receive(now, {"vm-2", second_address, message.body})) {
          for (wire::outgoing& more : to.receive(now, {"vm-1", first_address, reply.body})) {
            next.push_back(std::move(more));
          }
        }
      }
      out = std::move(next);
    }
    each.check(to);
    const auto sent = from.in_force("lists");
    const auto received = to.in_force("lists");
    fuzz::require(sent && received && sent->version == received->version &&
                      sent->content == received->content && sent->hash == received->hash,
                  "a document arrives as it was sent");
  }
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  if (data[0] == 'm') {
    FuzzedDataProvider in(data + 1, size - 1);
    receive_messages(in);
  } else {
    const auto parts = fuzz::split(fuzz::text_of(data + 1, size - 1), 4);
    pass_on({parts.begin(), parts.end()});
  }
}
