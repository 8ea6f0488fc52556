// Case: a node that was restarted sends work to a target that has left, after a late heartbeat.
#include "rig.h"

namespace {

using namespace rig;

constexpr double drain_s = 2.0;
// In touch again: `stable-window-ms` after the start.
constexpr double stable_window_s = 3.0;

} // namespace

int main(int, char** args) {
  record.open(args[1]);
  temporary_folder folder;
  const auto plan = choose_addresses();
  const address store_at{plan.net + "250", 8545};
  store platform(store_at);
  platform.put("config", "main",
               configuration("00000007", {{"r-dispatch", "/puka111/", "unsafe", "huvo11a"}},
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
                                               "i-" + it->name(), [](const message&, connection&) {
                                                 return target::work{200, 1000};
                                               }));
  }
  if (!wait_until_ready(machines)) {
    finish(could_not_run, machines, folder);
  }

  std::atomic<bool> done{false};
  std::atomic<int> sent{0};
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::vector<std::thread> clients;
  for (int c = 0; c < 10; ++c) {
    clients.emplace_back([&, c] {
      connection to;
      for (int i = 0; !done; ++i) {
        const std::string id = "dispatch-" + std::to_string(c) + "-" + std::to_string(i);
        if (!to.open() && !to.connect(machines[0]->outbound())) {
          sleep_ms(200);
          continue;
        }
        to.read_timeout(6000);
        ++sent;
        message answer;
        if (to.send(serialize("POST /puka111/gate HTTP/1.1", client_fields(id, 5000), "row 7")) &&
            to.read(answer)) {
          record.line("client gets " + std::to_string(answer.status()) + " for " + id);
          std::lock_guard lock(mutex);
          answers[id] = answer.status();
        } else {
          record.line("client gets no answer to " + id + ": " + to.why());
          to.close();
        }
        sleep_ms(100);
      }
    });
  }
  sleep_ms(1000);

  target& leaver = *targets[1];
  machine& beside = *machines[1];
  // This heartbeat is sent now and arrives seconds later.
  const json late = leaver.heartbeat();
  sleep_ms(200);
  leaver.silent = true;
  leaver.leaving = true;
  const int ack = leaver.deregister();
  const double left = seconds();
  record.line("target " + leaver.id() + " deregisters, the node answers " + std::to_string(ack) +
              "; its health check answers 503 from now on");
  double restarted = left;
  sleep_ms(300);
  if (trouble()) {
    beside.signal(SIGKILL);
    beside.kill();
    sleep_ms(500);
    beside.start(false);
    restarted = seconds();
  }
  sleep_ms(1700);
  record.line("the late heartbeat arrives, the node answers " + std::to_string(leaver.beat(late)));
  // The target goes on for some seconds more than it must, then ends.
  sleep_ms(5500);
  record.line("target " + leaver.id() + " ends");
  const double ended = seconds();
  leaver.end();
  sleep_ms(2000);
  done = true;
  for (auto& it : clients) {
    it.join();
  }

  int late_runs = 0;
  int in_touch = 0;
  int failed = 0;
  for (const auto& it : leaver.runs()) {
    if (it.at > left + drain_s) {
      ++late_runs;
      in_touch += !trouble() || it.at > restarted + stable_window_s + 0.5 ? 1 : 0;
      const auto found = answers.find(it.id);
      if (it.at > ended - 0.25 && (found == answers.end() || found->second != 200)) {
        ++failed;
      }
    }
  }
  const std::string text =
      std::to_string(sent) + " requests; " + std::to_string(late_runs) +
      " reached the target later than 2 s after its leaving was acknowledged, " +
      std::to_string(in_touch) + " of them from machines in touch; " + std::to_string(failed) +
      " failed as the target ended";
  if (ack != 200) {
    record.verdict("could not run: " + text);
    finish(could_not_run, machines, folder);
  }
  record.verdict((in_touch > 0 ? "DRAIN is broken: " : "held: ") + text);
  finish(in_touch > 0 ? broken : held, machines, folder);
}
