// Callers read long answers slowly, but within their deadline, while their node is stopped with
// SIGTERM.
#include "rig.h"

using namespace rig;

namespace {

constexpr std::size_t answer_bytes = 8'000'000;
/// Time that a caller takes to read an answer; its deadline is 6 s.
constexpr double read_s = 4.5;

} // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](recorder& record) {
    place here;
    const std::string store_ip = here.prefix + "1";
    store platform(store_ip, 8545);
    const machine at{"sidecar-a-1", here.prefix + "2", "zone-a", "melodiebank"};
    platform.put("config", "main",
                 configuration("00000003", {"melodiebank"},
                               json::array({route("r-1", "safe", "/melody/", "melodiebank", 5000, 2)})));
    const std::string instance = "i-" + new_id();
    const std::string whole(answer_bytes, 'w');
    server target(at.ip, at.app, [&](connection& c) {
      while (const auto h = c.read_head(30)) {
        if (answer_health(c, *h, instance)) {
          continue;
        }
        record.line("target runs %s", h->field("x-request-id").c_str());
        sleep_s(0.1);
        send_all(c.fd, answer_head(*h, 200, length_field(whole.size())) + whole);
      }
    });
    node sidecar(at, store_ip + ":8545", here.folder);
    sidecar.start();
    heartbeats beats(at, instance, 68);
    if (!sidecar.await_ready(10)) {
      cannot_run("the node is not ready");
    }
    sleep_s(2);
    std::vector<std::thread> threads;
    std::atomic<int> cut{0};
    const double began = now_s();
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&, i] {
        const std::string id = new_id();
        connection c(connect_to(at.ip, at.outbound, 16384, 1460));
        sleep_s(i * 0.1);
        record.line("client sends %s", id.c_str());
        send_all(c.fd, request_head("GET", "/melody/1/", id, 6000, 0));
        const answer got = read_answer(c, 6, static_cast<double>(answer_bytes) / read_s);
        record.line("client gets %d for %s, %s, %zu of %zu bytes %.1f s after the start%s",
                    got.status, id.c_str(), got.whole ? "complete" : "incomplete", got.body.size(),
                    whole.size(), now_s() - began, got.whole ? "" : (", " + got.ended).c_str());
        cut += got.status == 200 && !got.whole && (got.ended == "closed" || got.ended == "reset");
      });
    }
    sleep_s(0.7);
    if (trouble()) {
      record.line("SIGTERM");
      sidecar.signal(SIGTERM);
    }
    for (auto& it : threads) {
      it.join();
    }
    return cut == 0;
  });
}
