#include "node/cut_filter.h"

#include <fstream>
#include <utility>

namespace damaskledge::node {

cut_filter::cut_filter(std::string path) : path_(std::move(path)) {
  reload();
}

void cut_filter::reload() {
  if (path_.empty()) {
    return;
  }
  std::vector<std::string> prefixes;
  std::ifstream file(path_);
  for (std::string line; std::getline(file, line);) {
    if (!line.empty()) {
      prefixes.push_back(line);
    }
  }
  const std::lock_guard lock(mutex_);
  prefixes_ = std::move(prefixes);
  active_ = !prefixes_.empty();
}

bool cut_filter::drops(const std::string& address) const {
  if (!active_) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  for (const std::string& it : prefixes_) {
    if (address.starts_with(it)) {
      return true;
    }
  }
  return false;
}

} // namespace damaskledge::node
