// Case: a late second copy of a rejection is taken for the answer to a later unsafe request, which
// is sent to another target although the first one runs it.
#include "rig.h"

namespace {

using namespace rig;

// Second copies that arrive together on one connection, the last of them that of a rejection.
constexpr int copies = 3;
// Answers of the target from one such time to the next: 3 of 150 are 0.02 of its answers.
constexpr int answers_between = 150;
constexpr int requests = 1000;
constexpr target::work usual{20, 1000};

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
  std::mutex mutex;
  int answers = 0;
  int since = 0;
  int extra = 0;
  int step = 0;
  connection* chosen = nullptr;
  const auto garbling = [&](const message&, connection& to) {
    std::lock_guard lock(mutex);
    target::work todo = usual;
    ++answers;
    if (!trouble() || ++since <= answers_between) {
      return todo;
    }
    if (chosen != &to) {
      // Begins anew: copies that are held back on a connection that is not used again never leave.
      chosen = &to;
      step = 0;
    }
    ++step;
    todo.second_copy = step <= copies;
    todo.full = step == copies;
    todo.flush = step > copies;
    if (todo.flush) {
      extra += copies;
      since = 0;
      chosen = nullptr;
    }
    return todo;
  };
  std::vector<std::unique_ptr<target>> targets;
  for (const auto& it : machines) {
    const bool garbles = targets.size() == 1;
    targets.push_back(std::make_unique<target>(
        it->service(), it->zone(), it->app(), it->control(), "i-" + it->name(),
        garbles ? std::function<target::work(const message&, connection&)>(garbling)
                : [](const message&, connection&) { return usual; }));
  }
  if (!wait_until_ready(machines)) {
    finish(could_not_run, machines, folder);
  }

  connection to;
  int sent = 0;
  std::map<std::string, int> statuses;
  for (int i = 0; i < requests; ++i) {
    const std::string id = "dispatch-" + std::to_string(i);
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
      statuses[id] = answer.status();
    } else {
      record.line("client gets no answer to " + id + ": " + to.why());
      to.close();
    }
  }
  std::map<std::string, int> runs;
  for (const auto& it : targets) {
    for (const auto& each : it->runs()) {
      ++runs[each.id];
    }
  }
  int twice = 0;
  int refused = 0;
  for (const auto& [id, n] : runs) {
    twice += n > 1 ? 1 : 0;
    refused += statuses[id] == 503 || statuses[id] == 429 ? 1 : 0;
  }
  const std::string text = std::to_string(sent) + " unsafe requests, " + std::to_string(twice) +
                           " run twice, " + std::to_string(refused) +
                           " run and answered as not run; " + std::to_string(extra) + " of " +
                           std::to_string(answers) + " answers of the target came twice";
  record.verdict((twice + refused > 0 ? "TWICE is broken: " : "held: ") + text);
  finish(twice + refused > 0 ? broken : held, machines, folder);
}
