// Case: a request that is hidden in a header value of another one reaches the target as a request.
#include "rig.h"

namespace {

using namespace rig;

std::string base64(const std::string& text) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned value = 0;
    const std::size_t n = std::min<std::size_t>(3, text.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      value = (value << 8U) | (k < n ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += k <= n ? digits[(value >> (18 - 6 * k)) & 63U] : '=';
    }
  }
  return out;
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
                              {"r-gate", "/puka111/", "unsafe", "huvo11a"}},
                             {"huvo11a", "wuno96b"}));
  // The client's machine serves another service than the one that is called.
  std::vector<std::unique_ptr<machine>> machines;
  machines.push_back(
      std::make_unique<machine>(plan, 1, "wuno96b", "be-midden-a", store_at, folder.path()));
  machines.push_back(
      std::make_unique<machine>(plan, 2, "huvo11a", "be-midden-a", store_at, folder.path()));
  std::vector<std::unique_ptr<target>> targets;
  for (const auto& it : machines) {
    it->start(true);
  }
  int n = 0;
  for (const auto& it : machines) {
    targets.push_back(std::make_unique<target>(
        it->service(), it->zone(), it->app(), it->control(), "i-" + std::to_string(++n),
        [](const message&, connection&) { return target::work{}; }));
  }
  if (!wait_until_ready(machines)) {
    finish(could_not_run, machines, folder);
  }

  // The value that clients put into one header field: an encoded word (RFC 2047), which is plain
  // ASCII without control characters. Decoded, it ends the head of the request and begins another.
  const std::string hidden =
      "x\r\nContent-Length: 0\r\n\r\n"
      "POST /puka111/gate7 HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: never-sent-";
  const std::string harmless = "Het loze vissertje, ";
  std::set<std::string> sent;
  int answered = 0;
  connection to;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "sent-" + std::to_string(i);
    auto fields = client_fields(id, 5000);
    const std::string inside =
        trouble() ? hidden + std::to_string(i) + "\r\nX-Tenant: teno311\r\nX-End: x"
                  : harmless + std::to_string(i);
    fields.emplace_back("X-Title", "=?UTF-8?B?" + base64(inside) + "?=");
    sent.insert(id);
    if (!to.open() && !to.connect(machines[0]->outbound())) {
      record.verdict("the node does not accept a connection");
      finish(could_not_run, machines, folder);
    }
    to.read_timeout(6000);
    record.line("client (key of pulo780) sends GET /leny950/2f id " + id);
    to.send(serialize("GET /leny950/2f HTTP/1.1", fields, "", false));
    message answer;
    if (!to.read(answer)) {
      record.line("client gets no answer to " + id + ": " + to.why());
      to.close();
      continue;
    }
    record.line("client gets " + std::to_string(answer.status()) + " for " + id);
    answered += answer.status() == 200 ? 1 : 0;
    sleep_ms(100);
  }
  sleep_ms(1000);

  int foreign = 0;
  int own = 0;
  int foreign_tenant = 0;
  for (const auto& it : targets) {
    for (const auto& run : it->runs()) {
      if (sent.count(run.id) == 0) {
        ++foreign;
        foreign_tenant += run.request.find("X-Tenant") == "teno311" ? 1 : 0;
        record.line("no client sent id " + run.id + ": " + run.method + " " + run.path +
                    ", first X-Tenant " + run.request.find("X-Tenant"));
      } else {
        ++own;
      }
    }
  }
  const std::string counts = std::to_string(sent.size()) + " requests sent, " +
                             std::to_string(answered) + " answered 200, " + std::to_string(own) +
                             " of them run; " + std::to_string(foreign) +
                             " runs of requests that no client sent, " +
                             std::to_string(foreign_tenant) + " under the name of another tenant";
  if (own == 0) {
    record.verdict("could not run: " + counts);
    finish(could_not_run, machines, folder);
  }
  record.verdict((foreign > 0 ? "UNASKED is broken: " : "held: ") + counts);
  finish(foreign > 0 ? broken : held, machines, folder);
}
