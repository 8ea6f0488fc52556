#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/located_json.h"

namespace damaskledge::config {

std::string to_object_content(std::string_view name, std::string_view document,
                              std::string_view write_id) {
  nlohmann::ordered_json result;
  result["write_id"] = write_id;
  result[std::string(name)] = nlohmann::ordered_json::parse(document);
  return result.dump();
}

leaf::result<std::string> document_in_object(std::string_view name, std::string_view content) {
  const auto value = nlohmann::ordered_json::parse(content, nullptr, false);
  if (!value.is_object() || !value.contains(std::string(name))) {
    return fail_with({{"config/" + std::string(name), 0, std::string(name),
                       value.is_discarded() ? "text that is not JSON" : "no such member",
                       "write the object with damaskledgectl"}});
  }
  return value.at(std::string(name)).dump();
}

route_builder::route_builder(std::string name, std::string service, std::string method,
                             std::string path) {
  value_.name = std::move(name);
  value_.service = std::move(service);
  value_.method = std::move(method);
  value_.path = std::move(path);
}

route_builder& route_builder::with_importance(damaskledge::importance value) {
  value_.importance = value;
  return *this;
}

route_builder& route_builder::non_idempotent(std::string operation_field) {
  value_.idempotent = false;
  value_.operation_field = std::move(operation_field);
  return *this;
}

route_builder& route_builder::open() {
  value_.open = true;
  return *this;
}

route_builder& route_builder::with_deadline(milliseconds value) {
  value_.deadline = value;
  return *this;
}

route_builder& route_builder::calling(std::string service) {
  value_.calls.push_back(std::move(service));
  return *this;
}

} // namespace damaskledge::config
