// Bodies and fields of the users' platform: configurations, announcements of targets, limits in
// their answers, objects of the store.
#include "fuzz/fuzz.h"
#include "platform/adapter.h"

using namespace damaskledge;

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const std::string input(fuzz::text_of(data, size));
  const auto configuration =
      fuzz::value_of([&] { return adapter::parse_configuration(input); },
                     [](const parse_error& error) {
                       fuzz::require(!error.remedy.empty(), "an error names the remedy");
                     });
  if (configuration) {
    for (const auto& it : (*configuration)->accounts()) {
      for (const auto& key : it.keys) {
        fuzz::require((*configuration)->find_account(key) != nullptr, "each key is found");
      }
    }
  }
  if (const auto target = adapter::parse_announcement("i", input)) {
    fuzz::require(target->address.port != 0, "a target has an address");
  }
  http::header_fields answer;
  answer.add(std::string(adapter::header::request_limit), input);
  const auto notice = adapter::read_notice(answer);
  fuzz::require(notice.requests_per_s.has_value() != notice.malformed_limit,
                "a limit is a number or malformed");
  fuzz::require(!notice.requests_per_s ||
                    (*notice.requests_per_s >= 0 && *notice.requests_per_s < 1e308),
                "a limit is a number of requests");
  (void)adapter::parse_page(input);
  (void)adapter::parse_changes(input);
  (void)adapter::match_announcement("POST", input);
  if (const auto record = adapter::parse_node_record("n", input)) {
    fuzz::require(adapter::parse_node_record("n", adapter::to_json(*record)) == record,
                  "parse(print(x)) == x");
  }
}
