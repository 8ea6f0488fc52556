/// @file
/// A new version of the configuration raises `max-body-bytes`. Later, clients send deposits that
/// only the new version allows on connections that they kept from before.
#include "rig.h"

namespace {

constexpr int deadline_ms = 5'000;
constexpr int clients = 20;
constexpr std::size_t limit_before = 100'000;
constexpr std::size_t limit_after = 1'000'000;
constexpr std::size_t small_bytes = 1'200;
constexpr std::size_t large_bytes = 300'000;
constexpr int config_apply_ms = 2'000;
/// From the acknowledgement to the first large deposit.
constexpr int wait_ms = 2 * config_apply_ms;
/// DENIED allows 5 + one in 500 of all requests.
constexpr int denied_allowed = 5;

} // namespace

int main() {
  using namespace rig;
  const bool trouble = begin_case();
  const auto with_limit = [](const std::string& version, std::size_t limit) {
    json value = configuration(version, {{"/deposit/", "depot", "unsafe"}});
    value["limits"]["max-body-bytes"] = limit;
    return value;
  };
  store platform({"127.0.0.1", 0});
  platform.put("config", "main", with_limit("00000007", trouble ? limit_before : limit_after));
  const std::string ip_1 = node_ip();
  const std::string ip_2 = node_ip();
  target depot_1({.id = "i-depot-1", .service = "depot", .ip = ip_1});
  target depot_2({.id = "i-depot-2", .service = "depot", .ip = ip_2});
  node first({.name = "sidecar-1", .service = "depot", .ip = ip_1, .app = depot_1.at(),
              .store = platform.at()});
  node second({.name = "sidecar-2", .service = "depot", .ip = ip_2, .app = depot_2.at(),
               .store = platform.at()});
  first.start();
  second.start();
  first.await_ready();
  second.await_ready();
  depot_1.beat_always(first.control());
  depot_2.beat_always(second.control());
  sleep_ms(4'000);

  int sent = 0;
  const auto deposit = [&](connection& it, const char* where, std::size_t bytes) {
    const std::string id = random_id();
    record("client on %s: sends request %s, POST /deposit/%s, %zu bytes", where, id.c_str(),
           id.c_str(), bytes);
    it.send(request_text("POST", "/deposit/" + id, id, deadline_ms, std::string(bytes, 'r')));
    const auto answer = it.read(deadline_ms);
    const int status = answer ? answer->status() : 0;
    record("client on %s: request %s gets %d, run %d times", where, id.c_str(), status,
           depot_1.runs(id) + depot_2.runs(id));
    ++sent;
    return status;
  };

  std::vector<std::unique_ptr<connection>> kept;
  for (int i = 0; i < clients; ++i) {
    kept.push_back(std::make_unique<connection>(connect_to(first.outbound())));
    if (!kept.back()->open() || deposit(*kept.back(), "a new connection", small_bytes) != 200) {
      give_up("a small deposit was not answered with success");
    }
  }
  platform.put("config", "main", with_limit("0000000c", limit_after));
  record("operator: version 0000000c is acknowledged, max-body-bytes %zu", limit_after);
  sleep_ms(wait_ms);

  connection fresh(connect_to(first.outbound()));
  const int status_of_new = deposit(fresh, "a new connection", large_bytes);
  if (status_of_new != 200) {
    give_up("the new version is not in force on new connections");
  }
  std::map<int, int> statuses;
  for (auto& it : kept) {
    ++statuses[deposit(*it, "a kept connection", large_bytes)];
  }
  const int denied = statuses[413];
  std::printf("large deposits on kept connections, sent 4 s after the acknowledgement: %d of %d answered "
              "413 (%d allowed), %d with success; on a new connection: %d\n",
              denied, clients, denied_allowed + sent / 500, statuses[200], status_of_new);
  record("large deposits on kept connections: %d of %d answered 413, %d with success", denied,
         clients, statuses[200]);
  finish(denied > denied_allowed + sent / 500 ? 1 : 0);
}
