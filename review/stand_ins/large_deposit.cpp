// Case: deposits within max-body-bytes take a node over its memory limit; the platform kills it,
// and the requests of other clients on kept connections end without an answer.
#include "rig.h"

namespace {

using namespace rig;

// `memory-mb` of the machines, and a deposit a little below `max-body-bytes` (67,108,864).
constexpr double memory_mb = 260;
constexpr std::size_t large_deposit = 60UL * 1024UL * 1024UL;
constexpr std::size_t usual_deposit = 36'000;
constexpr int deposits_each = 3;
constexpr int reads_each = 24;
// Cut requests that the rule allows.
constexpr int allowed = 3;

struct outcome {
  std::atomic<int> reads{0};
  std::atomic<int> served{0};
  std::atomic<int> deposits{0};
  std::mutex mutex;
  // Requests on kept connections that ended without an answer.
  std::set<std::string> cut;
};

// One client that keeps its connection and reads.
void read_often(const machine& at, const std::string& name, outcome& all) {
  connection to;
  int answered_here = 0;
  for (int i = 0; i < reads_each; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    if (!to.open()) {
      answered_here = 0;
      if (!to.connect(at.outbound())) {
        sleep_ms(500);
        continue;
      }
    }
    to.read_timeout(6000);
    ++all.reads;
    message answer;
    if (to.send(serialize("GET /leny950/2f HTTP/1.1", client_fields(id, 5000), "", false)) &&
        to.read(answer)) {
      record.line("client gets " + std::to_string(answer.status()) + " for " + id);
      all.served += answer.status() == 200 ? 1 : 0;
      ++answered_here;
    } else {
      record.line("client gets no answer to " + id + ": " + to.why() + ", after " +
                  std::to_string(answered_here) + " answers on this connection");
      if (answered_here > 0) {
        std::lock_guard lock(all.mutex);
        all.cut.insert(id);
      }
      to.close();
    }
  }
}

void deposit(const machine& at, const std::string& id, std::size_t bytes, outcome& all) {
  connection to;
  if (!to.connect(at.outbound())) {
    record.line("client gets no connection for " + id);
    return;
  }
  to.read_timeout(6000);
  record.line("client sends POST /puka111/opname to " + at.name() + ", id " + id + ", body " +
              std::to_string(bytes) + " bytes");
  message answer;
  if (to.send(serialize("POST /puka111/opname HTTP/1.1", client_fields(id, 5000),
                        std::string(bytes, 'd'))) &&
      to.read(answer)) {
    record.line("client gets " + std::to_string(answer.status()) + " for " + id);
    all.deposits += answer.status() == 200 ? 1 : 0;
  } else {
    record.line("client gets no answer to " + id + ": " + to.why());
  }
}

} // namespace

int main(int, char** args) {
  record.open(args[1]);
  temporary_folder folder;
  const auto plan = choose_addresses();
  const address store_at{plan.net + "250", 8545};
  store platform(store_at);
  platform.put("config", "main",
               configuration("00000007",
                             {{"r-read", "/leny950/", "safe", "huvo11a"},
                              {"r-deposit", "/puka111/", "unsafe", "huvo11a"}},
                             {"huvo11a", "wuno96b"}));
  std::vector<std::unique_ptr<machine>> machines;
  const std::string services[] = {"wuno96b", "wuno96b", "huvo11a", "huvo11a"};
  for (int i = 0; i < 4; ++i) {
    machines.push_back(std::make_unique<machine>(plan, i + 1, services[i], "be-midden-a", store_at,
                                                 folder.path()));
    machines.back()->start(true);
  }
  std::vector<std::unique_ptr<target>> targets;
  for (const auto& it : machines) {
    targets.push_back(std::make_unique<target>(
        it->service(), it->zone(), it->app(), it->control(), "i-" + it->name(),
        [](const message& request, connection&) {
          return target::work{request.path().rfind("/leny950/", 0) == 0 ? 400 : 200, 1000};
        }));
  }
  if (!wait_until_ready(machines)) {
    finish(could_not_run, machines, folder);
  }

  // The platform kills a process that exceeds its memory, and starts it again.
  std::atomic<bool> done{false};
  std::vector<int> kills(machines.size());
  std::vector<double> peak(machines.size());
  std::thread watch([&] {
    while (!done) {
      for (std::size_t i = 0; i < machines.size(); ++i) {
        const double used = machines[i]->memory_used().peak_mb;
        peak[i] = std::max(peak[i], used);
        if (used > memory_mb) {
          record.line("node " + machines[i]->name() + " uses " + std::to_string(used) +
                      " MB of 260 MB: the platform kills it");
          machines[i]->kill();
          ++kills[i];
          sleep_ms(300);
          machines[i]->start(false);
        }
      }
      sleep_ms(5);
    }
  });
  outcome all;
  std::vector<std::thread> clients;
  for (int c = 0; c < 12; ++c) {
    clients.emplace_back(
        [&, c] { read_often(*machines[c % 2], "read-" + std::to_string(c), all); });
  }
  sleep_ms(2000);
  for (int i = 0; i < 2 * deposits_each; ++i) {
    deposit(*machines[i % 2], "deposit-" + std::to_string(i),
            trouble() ? large_deposit : usual_deposit, all);
    sleep_ms(1000);
  }
  for (auto& it : clients) {
    it.join();
  }
  done = true;
  watch.join();

  // Only requests that a target ran count; the targets answer all that they run.
  int lost = 0;
  for (const auto& it : targets) {
    for (const auto& each : it->runs()) {
      lost += all.cut.count(each.id) != 0 ? 1 : 0;
    }
  }
  std::string text = std::to_string(all.reads) + " reads, " + std::to_string(all.served) +
                     " served; " + std::to_string(lost) +
                     " cut on kept connections after a target had them (allowed " +
                     std::to_string(allowed) + "); " + std::to_string(all.deposits) + " of " +
                     std::to_string(2 * deposits_each) + " deposits answered;";
  for (std::size_t i = 0; i < machines.size(); ++i) {
    char one[96];
    std::snprintf(one, sizeof(one), " node %zu: killed %d times, at most %.0f MB;", i + 1, kills[i],
                  peak[i]);
    text += one;
  }
  text.pop_back();
  if (all.served == 0) {
    record.verdict("could not run: " + text);
    finish(could_not_run, machines, folder);
  }
  record.verdict((lost > allowed ? "LOST is broken: " : "held: ") + text);
  finish(lost > allowed ? broken : held, machines, folder);
}
