#include <algorithm>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

const route* configuration::find_route(std::string_view host, std::string_view path) const {
  const auto found = routes_.find(host);
  if (found == routes_.end()) {
    return nullptr;
  }
  const auto it = std::find_if(found->second.begin(), found->second.end(), [&](const route& value) {
    return path.substr(0, value.path_prefix.size()) == value.path_prefix;
  });
  return it == found->second.end() ? nullptr : &*it;
}

const account* configuration::find_account(std::string_view key) const {
  const auto found = account_by_key_.find(key);
  return found == account_by_key_.end() ? nullptr : &accounts_[found->second];
}

const account* configuration::find_account_by_name(std::string_view name) const {
  const auto it = std::find_if(accounts_.begin(), accounts_.end(),
                               [&](const account& value) { return value.name == name; });
  return it == accounts_.end() ? nullptr : &*it;
}

const service* configuration::find_service(std::string_view name) const {
  const auto it = std::find_if(services_.begin(), services_.end(),
                               [&](const service& value) { return value.name == name; });
  return it == services_.end() ? nullptr : &*it;
}

configuration_builder::configuration_builder(std::uint64_t version)
    : result_(std::make_shared<configuration>()) {
  result_->version_ = version;
}

configuration_builder& configuration_builder::limits(const caller_limits& value) {
  result_->limits_ = value;
  return *this;
}

configuration_builder& configuration_builder::add(route value) {
  auto& routes = result_->routes_[value.host];
  const auto at = std::find_if(routes.begin(), routes.end(), [&](const route& it) {
    return it.path_prefix.size() < value.path_prefix.size();
  });
  routes.insert(at, std::move(value));
  return *this;
}

configuration_builder& configuration_builder::add(account value) {
  for (const auto& it : value.keys) {
    result_->account_by_key_.emplace(it, result_->accounts_.size());
  }
  result_->accounts_.push_back(std::move(value));
  return *this;
}

configuration_builder& configuration_builder::add(service value) {
  result_->services_.push_back(std::move(value));
  return *this;
}

std::shared_ptr<const configuration> configuration_builder::build() {
  return std::move(result_);
}

const std::string& traffic_splitter::next(const route& value) {
  if (value.destinations.size() == 1) {
    return value.destinations.front().service;
  }
  auto& credits = credits_[value.name];
  double total = 0;
  const destination* chosen = nullptr;
  for (const auto& it : value.destinations) {
    total += it.weight;
    credits[it.service] += it.weight;
    if (it.weight > 0 && (chosen == nullptr || credits[it.service] > credits[chosen->service])) {
      chosen = &it;
    }
  }
  if (chosen == nullptr) {
    chosen = &value.destinations.front();
  }
  credits[chosen->service] -= total;
  return chosen->service;
}

} // namespace damaskledge::traffic
