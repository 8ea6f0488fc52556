// One of two targets answers long uploads before it has read them, without a length. It breaks off
// one in 20 of these answers: it closes while bytes of the upload are unread, which resets the
// connection.
#include "rig.h"

using namespace rig;

namespace {

constexpr std::size_t upload_bytes = 12 * 1024 * 1024;
constexpr int break_off_one_in = 20;
constexpr int uploads = 120;

} // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](recorder& record) {
    place here;
    const std::string store_ip = here.prefix + "1";
    store platform(store_ip, 8545);
    const machine at{"sidecar-a-1", here.prefix + "2", "zone-a", "depot"};
    const machine other{"sidecar-b-1", here.prefix + "3", "zone-b", "depot"};
    platform.put("config", "main",
                 configuration("00000003", {"depot"},
                               json::array({route("r-1", "unsafe", "/deposit/", "depot", 4000, 2)})));
    const std::string instance = "i-" + new_id();
    const std::string other_instance = "i-" + new_id();
    const std::string whole(3000, 'w');
    const bool disturbed = trouble();
    std::mutex mutex;
    std::set<std::string> broken_off;
    std::atomic<int> answers{0};
    const auto serve = [&](connection& c, const machine& by, const std::string& id_of_target) {
      while (const auto h = c.read_head(30)) {
        if (answer_health(c, *h, id_of_target)) {
          continue;
        }
        const std::string id = h->field("x-request-id");
        record.line("target of %s runs %s", by.name.c_str(), id.c_str());
        // Without a length: the answer ends with the connection.
        const std::string top = answer_head(*h, 200, "Connection: close\r\n");
        if (by.name == at.name && ++answers % break_off_one_in == 0 && disturbed) {
          {
            const std::lock_guard guard(mutex);
            broken_off.insert(id);
          }
          send_all(c.fd, top + whole.substr(0, whole.size() / 2));
          record.line("target of %s breaks off its answer to %s after %zu of %zu bytes",
                      by.name.c_str(), id.c_str(), whole.size() / 2, whole.size());
          c.end();
          return;
        }
        send_all(c.fd, top + whole);
        shutdown(c.fd, SHUT_WR);
        std::string rest;
        while (read_some(c.fd, rest, 5) > 0) {
          rest.clear();
        }
        return;
      }
    };
    server target(
        at.ip, at.app, [&](connection& c) { serve(c, at, instance); }, 65536);
    server other_target(
        other.ip, other.app, [&](connection& c) { serve(c, other, other_instance); }, 65536);
    node sidecar(at, store_ip + ":8545", here.folder);
    node other_sidecar(other, store_ip + ":8545", here.folder);
    sidecar.start();
    other_sidecar.start();
    heartbeats beats(at, instance, 68);
    heartbeats other_beats(other, other_instance, 68);
    if (!sidecar.await_ready(10) || !other_sidecar.await_ready(10)) {
      cannot_run("the nodes are not ready");
    }
    sleep_s(2);
    const std::string body(upload_bytes, 'b');
    int wrong = 0;
    for (int i = 0; i < uploads; ++i) {
      const std::string id = new_id();
      connection c(connect_to(at.ip, at.outbound));
      record.line("client sends %s, %zu bytes", id.c_str(), body.size());
      send_all(c.fd, request_head("POST", "/deposit/x/", id, 5000, body.size()));
      send_all(c.fd, body);
      const answer got = read_answer(c, 6);
      const bool short_body = got.status == 200 && got.whole && got.body != whole;
      record.line("client gets %d for %s, %s, body of %zu bytes%s", got.status, id.c_str(),
                  got.whole ? "complete" : "incomplete", got.body.size(),
                  short_body ? ": a success with a part of the target's body" : "");
      wrong += short_body ? 1 : 0;
      if (!disturbed && !(got.status == 200 && got.body == whole)) {
        record.line("unexpected without the disruption");
        cannot_run("the undisturbed answer did not arrive");
      }
    }
    record.line("%d uploads, %d answers of the target of %s, %zu of them broken off, %d successes with "
                "a part of the body",
                uploads, answers.load(), at.name.c_str(), broken_off.size(), wrong);
    return wrong == 0;
  });
}
