// The load tool's scenario, and its file of keys. The first byte chooses; in a file of keys, a '~'
// stands for a key, whose secret no error may repeat.
#include <algorithm>

#include "fuzz/fuzz.h"
#include "load/load.h"

using namespace damaskledge;

namespace {

constexpr std::string_view key = "dlk_0123456789ab_Zx81kqPd0vWw3TqLm2Yh";
constexpr std::string_view secret = "Zx81kqPd0vWw3TqLm2Yh";

void check_keys(std::string_view text) {
  std::string with_keys;
  for (const char it : text) {
    if (it == '~') {
      with_keys += key;
    } else {
      with_keys += it;
    }
  }
  (void)fuzz::value_of([&] { return load::parse_keys(with_keys, "keys.json"); },
                       [](const parse_error& error) {
                         fuzz::require(to_string(error).find(secret) == std::string::npos,
                                       "an error does not contain the key");
                       });
}

void check_scenario(std::string_view text) {
  const auto value = fuzz::value_of([&] { return load::parse_scenario(text, "load.json"); });
  if (!value) {
    return;
  }
  fuzz::require(value == fuzz::value_of([&] { return load::parse_scenario(text, "load.json"); }),
                "a scenario parses to the same value twice");
  fuzz::require(value->length > duration{0} && !value->accounts.empty(),
                "an accepted scenario has a length and accounts");
  duration end{0};
  for (const load::phase& it : value->phases) {
    fuzz::require(it.start >= end && it.length > duration{0}, "phases do not overlap");
    end = it.start + it.length;
    const auto at = load::phase_at(*value, it.start);
    fuzz::require(at && value->phases[*at] == it, "a phase holds at its start");
  }
  fuzz::require(end <= value->length, "phases end with the run");
  double most = 0;
  double factor = 1;
  for (const load::phase& it : value->phases) {
    double highest = it.factor;
    for (const auto& [name, account_factor] : it.account_factors) {
      highest = std::max(highest, it.factor * account_factor);
    }
    factor = std::max(factor, highest);
  }
  for (const load::account_demand& it : value->accounts) {
    for (const load::call_template& call : it.calls) {
      most += call.per_second * factor * std::chrono::duration<double>(value->length).count();
    }
  }
  // Longer runs are left out: their arrivals would take the time of many inputs.
  if (most > 1'000) {
    return;
  }
  const auto arrivals = load::make_arrivals(*value, value->seed);
  duration before{0};
  for (const load::arrival& it : arrivals) {
    fuzz::require(it.at >= before && it.at <= value->length, "arrivals are in order of time");
    fuzz::require(it.account < value->accounts.size() &&
                      it.call < value->accounts[it.account].calls.size(),
                  "an arrival names a call of the scenario");
    before = it.at;
  }
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  const std::string_view text = fuzz::text_of(data + 1, size - 1);
  if (data[0] == 'k') {
    check_keys(text);
  } else {
    check_scenario(text);
  }
}
