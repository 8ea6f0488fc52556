#include "bench/population.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace damaskledge::bench {

namespace {

constexpr std::size_t plan_count = 8;

std::string padded(std::size_t value, int digits) {
  std::ostringstream out;
  out << std::setw(digits) << std::setfill('0') << value;
  return out.str();
}

std::string data_centre_name(std::size_t index) {
  return "dc" + std::to_string(index + 1);
}

std::string secret_of(std::size_t index) {
  return to_hex(std::string(12, 's')) + padded(index, 8);
}

std::string key_id_of(std::size_t index) {
  std::ostringstream out;
  out << std::hex << std::setw(12) << std::setfill('0') << index;
  return out.str();
}

std::string write_id_of(std::size_t change) {
  return to_string(hash_parts({"bench write", std::to_string(change)}));
}

} // namespace

std::string account_name(std::size_t index) {
  return "account-" + padded(index, 4);
}

std::string service_name(std::size_t index) {
  return "service-" + padded(index, 3);
}

std::size_t data_centre_of(std::size_t member) {
  return member % data_centre_count;
}

config::node_settings node_settings(std::size_t member) {
  config::node_settings result;
  const std::size_t dc = data_centre_of(member);
  const std::size_t place = member / data_centre_count;
  result.data_centre = data_centre_name(dc);
  result.name = result.data_centre + "-vm" + padded(place, 3);
  result.address = "10." + std::to_string(dc + 1) + "." + std::to_string(place / 200) + "." +
                   std::to_string(place % 200 + 1);
  result.peer_port = peer_port;
  result.cluster_secret = "secret of the measured fleet, 32 B";
  for (std::size_t it = 0; it < data_centre_count; ++it) {
    result.data_centres.push_back(data_centre_name(it));
    result.seeds.push_back({"10." + std::to_string(it + 1) + ".0.1", peer_port});
  }
  return result;
}

wire::service_record upstream_of(std::size_t member) {
  wire::service_record result;
  result.service = service_name(member % service_count);
  result.port = 9'000;
  result.slots = 110;
  result.connections = 750;
  result.instance = member + 1;
  return result;
}

wire::member_record record_of(std::size_t member) {
  const config::node_settings settings = node_settings(member);
  wire::member_record result;
  result.name = settings.name;
  result.data_centre = settings.data_centre;
  result.address = settings.address;
  result.peer_port = settings.peer_port;
  result.caller_port = settings.caller_port;
  result.incarnation = wall_start;
  result.services = {upstream_of(member)};
  result.documents = {{std::string(config::keys_document), 1},
                      {std::string(config::lists_document), 1}};
  result.process = member + 1;
  return result;
}

config::lists make_lists(std::size_t accounts) {
  config::lists result;
  std::vector<std::string> routes;
  for (std::size_t it = 0; it < service_count; ++it) {
    config::route_builder route("route-" + padded(it, 3), service_name(it), "GET", "/items");
    result.routes.push_back(route.build());
    routes.push_back(route.build().name);
  }
  for (std::size_t it = 0; it < plan_count; ++it) {
    result.plans.push_back({"plan-" + std::to_string(it), 1'000, 500, routes});
  }
  for (std::size_t it = 0; it < accounts; ++it) {
    result.accounts.push_back({account_name(it), "plan-" + std::to_string(it % plan_count)});
  }
  for (std::size_t it = 0; it < data_centre_count; ++it) {
    result.data_centres.push_back({data_centre_name(it), 1.0 / data_centre_count});
  }
  return result;
}

std::string key_text(std::size_t index) {
  return "dlk_" + key_id_of(index) + "_" + secret_of(index);
}

config::keys make_keys(std::size_t keys, std::size_t accounts) {
  config::keys result;
  for (std::size_t it = 0; it < keys; ++it) {
    const digest256 digest = sha256(secret_of(it));
    config::key_record record;
    record.id = key_id_of(it);
    record.account = account_name(it % std::max<std::size_t>(accounts, 1));
    record.digest = to_hex(std::string(digest.begin(), digest.end()));
    record.given_at = wall_start;
    record.withdrawn = it % 50 == 49;
    result.records.push_back(std::move(record));
  }
  return result;
}

std::string object_of(const config::lists& value, std::size_t change) {
  return config::to_object_content(config::lists_document, config::to_document(value),
                                   write_id_of(change));
}

std::string object_of(const config::keys& value, std::size_t change) {
  return config::to_object_content(config::keys_document, config::to_document(value),
                                   write_id_of(change));
}

} // namespace damaskledge::bench
