#include <algorithm>

#include <glog/logging.h>

#include "core/core.h"

namespace damaskledge::core {

namespace {

std::uint64_t lists_version_of(const wire::member_record& record) {
  for (const auto& it : record.documents) {
    if (it.name == config::lists_document) {
      return it.version;
    }
  }
  return 0;
}

} // namespace

void control_core::refresh_rules(time_point now) {
  const std::string lists_name(config::lists_document);
  const std::string keys_name(config::keys_document);
  if (const auto* keys = documents_.find_in_force(keys_name)) {
    keys_confirmed_at_ = keys->confirmed_at;
  }
  if (documents_.change_count() == seen_document_changes_) {
    if (!weight_caps_.empty()) {
      refresh_limits(now);
    }
    return;
  }
  seen_document_changes_ = documents_.change_count();
  const auto* lists = documents_.find_in_force(lists_name);
  const auto* keys = documents_.find_in_force(keys_name);
  if (lists == nullptr || keys == nullptr) {
    return;
  }
  const auto apply = [&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(lists_text, config::document_in_object(lists_name, lists->content));
    BOOST_LEAF_AUTO(keys_text, config::document_in_object(keys_name, keys->content));
    BOOST_LEAF_AUTO(parsed_lists, config::parse_lists_document(lists_text));
    BOOST_LEAF_AUTO(parsed_keys, config::parse_keys_document(keys_text));
    auto next = std::make_shared<rules_in_force>();
    next->book = std::make_shared<const admission::rule_book>(std::move(parsed_lists),
                                                              std::move(parsed_keys));
    next->lists_version = lists->version;
    next->keys_version = keys->version;
    if (rules_ && (next->lists_version < rules_->lists_version ||
                   next->keys_version < rules_->keys_version)) {
      report_violation("configuration-reverts", "node=" + settings_.name);
      return {};
    }
    rules_ = std::move(next);
    LOG(INFO) << "event=configuration-in-force lists=" << lists->version
              << " keys=" << keys->version;
    return {};
  };
  leaf::try_handle_all(
      apply,
      [](const parse_error& error) {
        LOG(ERROR) << "event=configuration-rejected cause=\"" << to_string(error)
                   << "\" remedy=\"apply corrected lists; the earlier ones stay in force\"";
      },
      [] { LOG(ERROR) << "event=configuration-rejected cause=unknown"; });
  refresh_limits(now);
}

std::uint64_t control_core::lowest_lists_version() const {
  const std::string name(config::lists_document);
  const auto reported = documents_.reported_versions(name);
  const auto* own = documents_.find_in_force(name);
  std::uint64_t result = own == nullptr ? 0 : own->version;
  for (const auto& it : members_.alive(settings_.data_centre)) {
    if (it.name != settings_.name) {
      const auto report = reported.find(it.name);
      result = std::min(
          result, std::max(report == reported.end() ? 0 : report->second, lists_version_of(it)));
    }
  }
  return result;
}

bool control_core::confirmed_everywhere(const config::lists& lists, std::uint64_t version) const {
  // Only allocators use the weights, but any node of a data centre may become its coordinator, so
  // all of its nodes must have the version. A data centre with weight 0 is not waited for:
  // operators set it to state that the data centre is gone.
  return std::all_of(lists.data_centres.begin(), lists.data_centres.end(),
                     [&](const config::data_centre_weight& dc) {
                       const auto confirmed = lists_confirmed_.find(dc.name);
                       return dc.weight <= 0 || dc.name == settings_.data_centre ||
                              (confirmed != lists_confirmed_.end() && confirmed->second >= version);
                     });
}

double control_core::weight_in_force(const config::lists& lists, std::uint64_t version) {
  const auto own = std::find_if(lists.data_centres.begin(), lists.data_centres.end(),
                                [&](const auto& it) { return it.name == settings_.data_centre; });
  const double listed = own == lists.data_centres.end() ? 0.0 : own->weight;
  // While another data centre still uses older lists, its old weight and the raised weight of
  // this one could add up to more than 1.
  if (last_weight_ && listed > *last_weight_) {
    weight_caps_.push_back({version, *last_weight_});
  }
  last_weight_ = listed;
  std::erase_if(weight_caps_,
                [&](const auto& it) { return confirmed_everywhere(lists, it.until_version); });
  double result = listed;
  for (const auto& it : weight_caps_) {
    result = std::min(result, it.weight);
  }
  return result;
}

void control_core::refresh_limits(time_point now) {
  if (!rules_) {
    return;
  }
  const config::lists& lists = rules_->book->lists();
  const double weight = weight_in_force(lists, rules_->lists_version);
  std::map<std::string, shares::limit> local;
  account_limits_.clear();
  for (const auto& it : lists.accounts) {
    if (const auto* plan = rules_->book->plan_of(it.name)) {
      local[it.name] = {plan->rate * weight, plan->burst * weight};
      account_limits_[it.name] = {plan->rate, plan->burst};
    }
  }
  allocator_.set_limits(now, local);
}

} // namespace damaskledge::core
