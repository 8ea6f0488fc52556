#include <algorithm>
#include <random>
#include <set>

#include "load/load.h"

namespace damaskledge::load {

namespace {

double factor_at(const scenario& value, const std::string& account, duration at) {
  const auto index = phase_at(value, at);
  if (!index) {
    return 1;
  }
  const phase& it = value.phases[*index];
  const auto own = it.account_factors.find(account);
  return it.factor * (own == it.account_factors.end() ? 1 : own->second);
}

/// @return the times at which the demand may change, the end of the run included.
std::set<duration> boundaries(const scenario& value) {
  std::set<duration> result{value.length};
  for (const phase& it : value.phases) {
    result.insert(it.start);
    result.insert(it.start + it.length);
  }
  return result;
}

} // namespace

std::vector<arrival> make_arrivals(const scenario& value, std::uint64_t seed) {
  const std::set<duration> changes = boundaries(value);
  std::vector<arrival> result;
  for (std::uint32_t account = 0; account < value.accounts.size(); ++account) {
    const account_demand& demand = value.accounts[account];
    for (std::uint32_t call = 0; call < demand.calls.size(); ++call) {
      // A generator of its own for each kind of call, so that adding one leaves the
      // arrivals of the others as they were.
      std::seed_seq sequence{static_cast<std::uint32_t>(seed),
                             static_cast<std::uint32_t>(seed >> 32U), account, call};
      std::mt19937_64 random(sequence);
      duration from{0};
      for (const duration until : changes) {
        const double rate = demand.calls[call].per_second * factor_at(value, demand.name, from);
        // The process has no memory, so it can start afresh where its rate changes.
        duration at = from;
        while (rate > 0) {
          const double gap = std::exponential_distribution<double>(rate)(random);
          at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
          if (at >= until) {
            break;
          }
          result.push_back({at, account, call});
        }
        from = until;
      }
    }
  }
  std::stable_sort(result.begin(), result.end(),
                   [](const arrival& a, const arrival& b) { return a.at < b.at; });
  return result;
}

token_judge::token_judge(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

void token_judge::refill(duration at) {
  if (at <= refilled_at_) {
    return;
  }
  const double passed = std::chrono::duration<double>(at - refilled_at_).count();
  tokens_ = std::min(burst_, tokens_ + passed * rate_);
  refilled_at_ = at;
}

double token_judge::tokens(duration at) {
  refill(at);
  return tokens_;
}

bool token_judge::take(duration at) {
  refill(at);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void token_judge::spend(duration at) {
  refill(at);
  tokens_ = std::max(0.0, tokens_ - 1);
}

} // namespace damaskledge::load
