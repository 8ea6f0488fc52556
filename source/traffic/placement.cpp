#include "traffic/traffic.h"

namespace damaskledge::traffic {

const placement_candidate*
target_chooser::choose(const std::vector<placement_candidate>& candidates) const {
  const auto cost = [this](const placement_candidate& it) {
    return it.load + (it.within_data_centre ? 0.0 : options_.data_centre_preference);
  };
  const placement_candidate* best = nullptr;
  for (const auto& it : candidates) {
    if (best == nullptr || cost(it) < cost(*best)) {
      best = &it;
    }
  }
  return best;
}

} // namespace damaskledge::traffic
