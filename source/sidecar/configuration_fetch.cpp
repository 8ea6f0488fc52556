#include "sidecar/configuration_fetch.h"

#include <algorithm>
#include <utility>

namespace damaskledge::sidecar {

void configuration_fetch::announced(time_point now, const std::string& node, bool near,
                                    std::uint64_t version, std::uint64_t known) {
  if (version <= known) {
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  newest_ = std::max(newest_, version);
  holders_[node] = {version, near};
}

std::optional<std::string> configuration_fetch::next(time_point now, std::uint64_t known) {
  if (newest_ <= known) {
    holders_.clear();
    behind_since_.reset();
    asked_at_.reset();
    return std::nullopt;
  }
  std::erase_if(holders_, [&](const auto& it) { return it.second.version <= known; });
  if (holders_.empty() || now - *behind_since_ < store_patience ||
      (asked_at_ && now - *asked_at_ < answer_patience)) {
    return std::nullopt;
  }
  const auto rank = [this](const auto& it) {
    return std::pair(!it.second.near, hash64(it.first) ^ seed_);
  };
  const auto chosen =
      std::min_element(holders_.begin(), holders_.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::string node = chosen->first;
  holders_.erase(chosen);
  asked_at_ = now;
  return node;
}

} // namespace damaskledge::sidecar
