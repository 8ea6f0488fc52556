#include <algorithm>

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/located_json.h"

namespace damaskledge::config {

namespace {

/// Collects "field: before -> after" parts of one element.
class field_changes {
 public:
  void add(std::string_view field, const std::string& before, const std::string& after) {
    if (before != after) {
      text_ += (text_.empty() ? "" : ", ") + std::string(field) + " " + shown(before) + " -> " +
               shown(after);
    }
  }
  void add(std::string_view field, double before, double after) {
    add(field, nlohmann::json(before).dump(), nlohmann::json(after).dump());
  }
  void add(std::string_view field, bool before, bool after) {
    add(field, std::string(before ? "true" : "false"), std::string(after ? "true" : "false"));
  }
  void add(std::string_view field, std::vector<std::string> before,
           std::vector<std::string> after) {
    if (before == after) {
      return;
    }
    std::sort(before.begin(), before.end());
    std::sort(after.begin(), after.end());
    std::string changes;
    const auto list = [&](const char* sign, const auto& from, const auto& without) {
      std::vector<std::string> rest;
      std::set_difference(from.begin(), from.end(), without.begin(), without.end(),
                          std::back_inserter(rest));
      for (const auto& it : rest) {
        changes += " " + std::string(sign) + it;
      }
    };
    list("-", before, after);
    list("+", after, before);
    text_ += (text_.empty() ? "" : ", ") + std::string(field) +
             (changes.empty() ? " reordered" : changes);
  }

  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  static std::string shown(const std::string& value) { return value.empty() ? "(none)" : value; }

  std::string text_;
};

void compare(const account& before, const account& after, field_changes& changes) {
  changes.add("plan", before.plan, after.plan);
}

void compare(const plan& before, const plan& after, field_changes& changes) {
  changes.add("rate", before.rate, after.rate);
  changes.add("burst", before.burst, after.burst);
  changes.add("routes", before.routes, after.routes);
}

void compare(const route& before, const route& after, field_changes& changes) {
  changes.add("service", before.service, after.service);
  changes.add("method", before.method, after.method);
  changes.add("path", before.path, after.path);
  changes.add("importance", std::string(to_string(before.importance)),
              std::string(to_string(after.importance)));
  changes.add("idempotent", before.idempotent, after.idempotent);
  changes.add("open", before.open, after.open);
  changes.add("deadline", format_duration(before.deadline), format_duration(after.deadline));
  changes.add("calls", before.calls, after.calls);
  changes.add("operation_field", before.operation_field, after.operation_field);
}

void compare(const data_centre_weight& before, const data_centre_weight& after,
             field_changes& changes) {
  changes.add("weight", before.weight, after.weight);
}

std::string summary(const account& value) {
  return "plan " + value.plan;
}
std::string summary(const plan& value) {
  return "rate " + nlohmann::json(value.rate).dump() + ", burst " +
         nlohmann::json(value.burst).dump();
}
std::string summary(const route& value) {
  return value.service + " " + value.method + " " + value.path;
}
std::string summary(const data_centre_weight& value) {
  return "weight " + nlohmann::json(value.weight).dump();
}

template <class T>
const T* find_named(const std::vector<T>& values, const std::string& name) {
  const auto it =
      std::find_if(values.begin(), values.end(), [&](const T& each) { return each.name == name; });
  return it == values.end() ? nullptr : &*it;
}

template <class T>
void compare_lists(std::string_view kind, const std::vector<T>& before, const std::vector<T>& after,
                   std::vector<std::string>& lines) {
  const std::string prefix = std::string(kind) + " ";
  for (const T& it : before) {
    if (find_named(after, it.name) == nullptr) {
      lines.push_back(prefix + it.name + ": removed (" + summary(it) + ")");
    }
  }
  for (const T& it : after) {
    const T* old = find_named(before, it.name);
    if (old == nullptr) {
      lines.push_back(prefix + it.name + ": added (" + summary(it) + ")");
      continue;
    }
    field_changes changes;
    compare(*old, it, changes);
    if (!changes.text().empty()) {
      lines.push_back(prefix + it.name + ": " + changes.text());
    }
  }
}

} // namespace

std::vector<std::string> differences(const lists& before, const lists& after) {
  std::vector<std::string> lines;
  compare_lists("account", before.accounts, after.accounts, lines);
  compare_lists("plan", before.plans, after.plans, lines);
  compare_lists("route", before.routes, after.routes, lines);
  compare_lists("data centre", before.data_centres, after.data_centres, lines);
  if (lines.empty() && before != after) {
    lines.emplace_back("order of the elements");
  }
  return lines;
}

std::vector<std::string> differences(const keys& before, const keys& after) {
  std::vector<std::string> lines;
  const auto find = [](const keys& in, const std::string& id) {
    const auto it = std::find_if(in.records.begin(), in.records.end(),
                                 [&](const key_record& each) { return each.id == id; });
    return it == in.records.end() ? nullptr : &*it;
  };
  for (const key_record& it : before.records) {
    if (find(after, it.id) == nullptr) {
      lines.push_back("key " + it.id + ": removed (account " + it.account + ")");
    }
  }
  for (const key_record& it : after.records) {
    const key_record* old = find(before, it.id);
    if (old == nullptr) {
      lines.push_back("key " + it.id + ": given (account " + it.account + ")");
      continue;
    }
    field_changes changes;
    changes.add("account", old->account, it.account);
    changes.add("withdrawn", old->withdrawn, it.withdrawn);
    if (old->digest != it.digest) {
      changes.add("digest", std::string("before"), std::string("after"));
    }
    if (!changes.text().empty()) {
      lines.push_back("key " + it.id + ": " + changes.text());
    }
  }
  return lines;
}

} // namespace damaskledge::config
