// Case: a planned stop cuts answers that clients are still reading.
#include "rig.h"

namespace {

using namespace rig;

// Read in 3.3 s, after 0.4 s of work: within the deadline and the timeout of the route.
constexpr std::size_t answer_bytes = 8'000'000;
constexpr double read_rate = 2'400'000;
constexpr long deadline_ms = 5000;
constexpr int receive_buffer = 65'536;

} // namespace

int main(int, char** args) {
  record.open(args[1]);
  temporary_folder folder;
  const auto plan = choose_addresses();
  const address store_at{plan.net + "250", 8545};
  store platform(store_at);
  platform.put("config", "main",
               configuration("00000007", {{"r-read", "/leny950/", "safe", "huvo11a"}},
                             {"huvo11a", "wuno96b"}));
  std::vector<std::unique_ptr<machine>> machines;
  const std::string services[] = {"wuno96b", "huvo11a", "huvo11a"};
  for (int i = 0; i < 3; ++i) {
    machines.push_back(std::make_unique<machine>(plan, i + 1, services[i], "be-midden-a", store_at,
                                                 folder.path()));
    machines.back()->start(true);
  }
  std::vector<std::unique_ptr<target>> targets;
  for (const auto& it : machines) {
    targets.push_back(std::make_unique<target>(it->service(), it->zone(), it->app(), it->control(),
                                               "i-" + it->name(),
                                               [](const message& request, connection&) {
                                                 return request.path() == "/leny950/long"
                                                            ? target::work{400, answer_bytes}
                                                            : target::work{50, 1000};
                                               }));
  }
  if (!wait_until_ready(machines)) {
    finish(could_not_run, machines, folder);
  }
  std::atomic<int> whole{0};
  std::atomic<int> cut{0};
  std::atomic<int> other{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c) {
    clients.emplace_back([&, c] {
      connection to;
      if (!to.connect(machines[0]->outbound(), receive_buffer)) {
        ++other;
        return;
      }
      to.read_timeout(6000);
      message answer;
      const std::string first = "short-" + std::to_string(c);
      to.send(
          serialize("GET /leny950/short HTTP/1.1", client_fields(first, deadline_ms), "", false));
      if (!to.read(answer) || answer.status() != 200) {
        ++other;
        return;
      }
      const std::string id = "long-" + std::to_string(c);
      record.line("client sends GET /leny950/long id " + id);
      const double began = seconds();
      to.send(serialize("GET /leny950/long HTTP/1.1", client_fields(id, deadline_ms), "", false));
      const bool done = to.read(answer, read_rate);
      char took[32];
      std::snprintf(took, sizeof(took), "%.2f s", seconds() - began);
      if (done) {
        record.line("client has the whole answer to " + id + " after " + took + ", status " +
                    std::to_string(answer.status()));
        answer.status() == 200 && answer.body_bytes == answer_bytes ? ++whole : ++other;
      } else {
        record.line("client gets " + std::to_string(answer.body_bytes) + " of " +
                    answer.find("Content-Length") + " bytes for " + id + " in " + took + ": " +
                    to.why());
        ++cut;
      }
    });
  }
  sleep_ms(300);
  if (trouble()) {
    machines[0]->signal(SIGTERM);
  }
  for (auto& it : clients) {
    it.join();
  }
  if (trouble()) {
    const double until = seconds() + 6;
    while (!machines[0]->ended() && seconds() < until) {
      sleep_ms(20);
    }
  }
  const std::string text = std::to_string(whole) + " answers whole, " + std::to_string(cut) +
                           " cut, " + std::to_string(other) + " otherwise";
  if (whole + cut == 0) {
    record.verdict("could not run: " + text);
    finish(could_not_run, machines, folder);
  }
  record.verdict((cut > 0 ? "LOST is broken: " : "held: ") + text);
  finish(cut > 0 ? broken : held, machines, folder);
}
