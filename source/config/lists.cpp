#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/located_json.h"

namespace damaskledge::config {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::array<std::string_view, 7> methods{"GET",   "HEAD",   "POST",   "PUT",
                                                  "PATCH", "DELETE", "OPTIONS"};
constexpr double max_rate = 1e9;
constexpr milliseconds min_deadline{1};
constexpr milliseconds max_deadline{600'000};
/// Rounding error that a sum of weights such as 0.1 may show.
constexpr double weight_tolerance = 1e-9;

/// Reports elements of `fields` that occur twice or, when `known` is given, are not in it.
void check_names(const object_reader& reader, std::string_view field,
                 const std::vector<std::string>& names, const std::set<std::string>* known,
                 const std::string& missing_remedy) {
  std::set<std::string> seen;
  for (std::size_t it = 0; it < names.size(); ++it) {
    const std::string path = element_path(reader.path_of(field), it);
    if (!seen.insert(names[it]).second) {
      report(reader.errors(), reader.source(), path, describe(names[it]) + " a second time",
             "keep one of the two");
    } else if (known != nullptr && !known->contains(names[it])) {
      report(reader.errors(), reader.source(), path, describe(names[it]), missing_remedy);
    }
  }
}

/// Reads the elements of an array of objects with `read_element(reader, index)`.
template <class Read>
void read_elements(object_reader& root, std::string_view name, Read read_element) {
  const json* elements = root.array(name, presence::required);
  if (elements == nullptr) {
    return;
  }
  if (elements->empty()) {
    root.report(name, "an empty array", "list at least one element");
  }
  for (std::size_t it = 0; it < elements->size(); ++it) {
    object_reader reader(root.source(), (*elements)[it], element_path(root.path_of(name), it),
                         root.errors());
    read_element(reader);
    reader.finish();
  }
}

/// Names of one list and where each was first seen.
class unique_names {
 public:
  void add(object_reader& reader, const std::string& name) {
    if (name.empty()) {
      return;
    }
    const int line = reader.source().line_of(reader.path_of("name"));
    const auto [it, inserted] = lines_.emplace(name, line);
    if (!inserted) {
      reader.report("name", describe(name) + ", already used on line " + std::to_string(it->second),
                    "give each element a name of its own");
    }
  }

 private:
  std::map<std::string, int> lines_;
};

std::set<std::string> names_of(const auto& values) {
  std::set<std::string> result;
  for (const auto& it : values) {
    result.insert(it.name);
  }
  return result;
}

bool is_route_path(std::string_view path) {
  if (path.empty() || path.front() != '/' || path.find("//") != std::string_view::npos) {
    return false;
  }
  const bool printable = std::all_of(path.begin(), path.end(), [](char it) {
    return it > 0x20 && it < 0x7f && it != '?' && it != '#' && it != '\\';
  });
  // Dot segments would let one path match the prefix of another.
  const std::string closed = std::string(path) + "/";
  return printable && closed.find("/./") == std::string::npos &&
         closed.find("/../") == std::string::npos;
}

bool is_json_pointer(const std::string& text) {
  try {
    return !json::json_pointer(text).empty();
  } catch (const json::exception&) {
    return false;
  }
}

route read_route(object_reader& reader) {
  route result;
  reader.read_name("name", presence::required, result.name);
  reader.read_name("service", presence::required, result.service);
  if (reader.read("method", presence::required, result.method) &&
      std::find(methods.begin(), methods.end(), result.method) == methods.end()) {
    reader.report("method", describe(result.method),
                  "write one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS in upper case");
  }
  if (reader.read("path", presence::required, result.path) && !is_route_path(result.path)) {
    reader.report("path", describe(result.path),
                  "write an absolute path prefix in printable ASCII without query, fragment, "
                  "empty or dot segments");
  }
  std::string importance_name;
  if (reader.read("importance", presence::optional, importance_name)) {
    if (const auto value = parse_importance(importance_name)) {
      result.importance = *value;
    } else {
      reader.report("importance", describe(importance_name),
                    "write one of critical, high, normal, low");
    }
  }
  // RFC 9110 section 9.2.2: POST and PATCH are the methods here that are not idempotent.
  const bool must_say = result.method == "POST" || result.method == "PATCH";
  const bool idempotence_known =
      reader.read("idempotent", must_say ? presence::required : presence::optional,
                  result.idempotent) ||
      !must_say;
  reader.read("open", presence::optional, result.open);
  if (result.open && !result.idempotent) {
    reader.report("open", "an open route that is not idempotent",
                  "set \"open\" to false: without an account, nothing can own the operation id");
  }
  reader.read("deadline", presence::optional, result.deadline, min_deadline, max_deadline);
  reader.read("calls", presence::optional, result.calls);
  if (reader.read("operation_field", presence::optional, result.operation_field) &&
      !result.operation_field.empty()) {
    if (!is_json_pointer(result.operation_field)) {
      reader.report("operation_field", describe(result.operation_field),
                    "write a JSON pointer (RFC 6901) such as \"/dispatch_number\"");
    } else if (result.idempotent && idempotence_known) {
      reader.report("operation_field", "an operation field on an idempotent route",
                    "remove it or set \"idempotent\" to false");
    }
  }
  return result;
}

void read_accounts(object_reader& root, lists& result) {
  unique_names names;
  read_elements(root, "accounts", [&](object_reader& reader) {
    account value;
    reader.read_name("name", presence::required, value.name);
    reader.read_name("plan", presence::required, value.plan);
    names.add(reader, value.name);
    result.accounts.push_back(std::move(value));
  });
}

void read_routes(object_reader& root, lists& result) {
  unique_names names;
  std::map<std::tuple<std::string, std::string, std::string>, std::string> targets;
  read_elements(root, "routes", [&](object_reader& reader) {
    route value = read_route(reader);
    names.add(reader, value.name);
    const auto [it, inserted] =
        targets.emplace(std::tuple(value.service, value.method, value.path), value.name);
    if (!inserted) {
      reader.report("path", "the service, method and path of route " + describe(it->second),
                    "remove one of the two routes or change its path");
    }
    result.routes.push_back(std::move(value));
  });
}

void read_plans(object_reader& root, lists& result) {
  unique_names names;
  read_elements(root, "plans", [&](object_reader& reader) {
    plan value;
    reader.read_name("name", presence::required, value.name);
    if (reader.read("rate", presence::required, value.rate, 0, max_rate) && value.rate == 0) {
      reader.report("rate", "0", "write a rate above 0 requests per second");
    }
    reader.read("burst", presence::required, value.burst, 1, max_rate);
    if (reader.read("routes", presence::required, value.routes) && value.routes.empty()) {
      reader.report("routes", "an empty array", "list at least one route");
    }
    names.add(reader, value.name);
    result.plans.push_back(std::move(value));
  });
}

void read_data_centres(object_reader& root, lists& result) {
  unique_names names;
  const std::size_t errors_before = root.errors().size();
  double sum = 0;
  read_elements(root, "data_centres", [&](object_reader& reader) {
    data_centre_weight value;
    reader.read_name("name", presence::required, value.name);
    reader.read("weight", presence::required, value.weight, 0, 1);
    names.add(reader, value.name);
    sum += value.weight;
    result.data_centres.push_back(std::move(value));
  });
  if (sum > 1 + weight_tolerance) {
    root.report("data_centres", "weights that add up to " + json(sum).dump(),
                "lower them until they add up to at most 1; accounts would get more than their "
                "rate otherwise");
  } else if (!result.data_centres.empty() && sum <= 0 && root.errors().size() == errors_before) {
    root.report("data_centres", "weights that add up to 0",
                "give at least one data centre a weight above 0");
  }
}

/// Checks what only both lists together show.
void check_references(const located_json& accounts, const located_json& plans, const lists& value,
                      std::vector<parse_error>& errors) {
  const std::set<std::string> plan_names = names_of(value.plans);
  for (std::size_t it = 0; it < value.accounts.size(); ++it) {
    const std::string& name = value.accounts[it].plan;
    // Without any plan, the missing list is the error to tell about.
    if (!name.empty() && !plan_names.empty() && !plan_names.contains(name)) {
      report(errors, accounts, element_path("accounts", it) + ".plan", describe(name),
             "add a plan of this name or use an existing one");
    }
  }

  const std::set<std::string> route_names = names_of(value.routes);
  double smallest = 1;
  for (const auto& it : value.data_centres) {
    if (it.weight > 0) {
      smallest = std::min(smallest, it.weight);
    }
  }
  for (std::size_t it = 0; it < value.plans.size(); ++it) {
    const std::string path = element_path("plans", it);
    const object_reader reader(plans, plans.value["plans"][it], path, errors);
    check_names(reader, "routes", value.plans[it].routes,
                route_names.empty() ? nullptr : &route_names,
                "add a route of this name or use an existing one");
    // A bucket that cannot hold one whole token admits no request.
    if (value.plans[it].burst >= 1 && value.plans[it].burst * smallest < 1) {
      report(errors, plans, path + ".burst", json(value.plans[it].burst).dump(),
             "write at least " + json(std::ceil(1 / smallest)).dump() +
                 ": the data centre with the smallest weight (" + json(smallest).dump() +
                 ") could never hold a whole token");
    }
  }

  std::set<std::string> services;
  for (const auto& it : value.routes) {
    services.insert(it.service);
  }
  for (std::size_t it = 0; it < value.routes.size(); ++it) {
    const object_reader reader(plans, plans.value["routes"][it], element_path("routes", it),
                               errors);
    check_names(reader, "calls", value.routes[it].calls, &services,
                "add a route of this service or correct the service name");
  }
}

leaf::result<lists> finish(lists value, std::vector<parse_error> errors) {
  if (!errors.empty()) {
    return fail_with(std::move(errors));
  }
  return value;
}

} // namespace

leaf::result<lists> parse_lists(std::string_view accounts_text, std::string_view accounts_file,
                                std::string_view plans_text, std::string_view plans_file) {
  std::vector<parse_error> errors;
  lists result;
  const located_json accounts = parse_located(accounts_text, accounts_file, errors);
  if (accounts.complete) {
    object_reader root(accounts, accounts.value, "", errors);
    read_accounts(root, result);
    root.finish();
  }
  const located_json plans = parse_located(plans_text, plans_file, errors);
  if (plans.complete) {
    object_reader root(plans, plans.value, "", errors);
    read_plans(root, result);
    read_routes(root, result);
    read_data_centres(root, result);
    root.finish();
  }
  if (accounts.complete && plans.complete) {
    check_references(accounts, plans, result, errors);
  }
  return finish(std::move(result), std::move(errors));
}

leaf::result<lists> parse_lists_document(std::string_view text) {
  std::vector<parse_error> errors;
  lists result;
  const located_json source = parse_located(text, "lists", errors);
  if (source.complete) {
    object_reader root(source, source.value, "", errors);
    read_accounts(root, result);
    read_plans(root, result);
    read_routes(root, result);
    read_data_centres(root, result);
    root.finish();
    check_references(source, source, result, errors);
  }
  return finish(std::move(result), std::move(errors));
}

std::string to_document(const lists& value) {
  ordered_json result;
  result["accounts"] = ordered_json::array();
  for (const auto& it : value.accounts) {
    result["accounts"].push_back({{"name", it.name}, {"plan", it.plan}});
  }
  result["plans"] = ordered_json::array();
  for (const auto& it : value.plans) {
    result["plans"].push_back(
        {{"name", it.name}, {"rate", it.rate}, {"burst", it.burst}, {"routes", it.routes}});
  }
  result["routes"] = ordered_json::array();
  for (const auto& it : value.routes) {
    result["routes"].push_back({{"name", it.name},
                                {"service", it.service},
                                {"method", it.method},
                                {"path", it.path},
                                {"importance", to_string(it.importance)},
                                {"idempotent", it.idempotent},
                                {"open", it.open},
                                {"deadline", format_duration(it.deadline)},
                                {"calls", it.calls},
                                {"operation_field", it.operation_field}});
  }
  result["data_centres"] = ordered_json::array();
  for (const auto& it : value.data_centres) {
    result["data_centres"].push_back({{"name", it.name}, {"weight", it.weight}});
  }
  return result.dump();
}

} // namespace damaskledge::config
