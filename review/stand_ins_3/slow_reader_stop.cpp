/// @file
/// A node gets SIGTERM while it serves a client that reads its answer slowly but in time.
///   working: the target is at work on the request when SIGTERM comes
///   sending: the client is reading the answer when SIGTERM comes
#include "rig.h"

namespace {

constexpr int deadline_ms = 6'000;
constexpr int timeout_ms = 5'000;
constexpr std::size_t answer_bytes = 800'000;
/// While a client is slow, it takes this many bytes in each step.
constexpr std::size_t slow_step_bytes = 4'000;
constexpr int slow_step_pause_ms = 100;
/// Bytes that a client's socket keeps unread, as on a link with small windows.
constexpr int receive_buffer = 16'384;
/// Size of a segment on an Ethernet link.
constexpr int segment_bytes = 1'448;
constexpr int clients = 6;

struct outcome {
  bool whole = false;
  bool in_time = false;
  std::size_t bytes = 0;
};

} // namespace

int main(int argc, char** argv) {
  using namespace rig;
  const bool trouble = begin_case();
  const bool sending = argc > 1 && std::string(argv[1]) == "sending";
  // A client reads slowly until so long after its request, and the rest at once.
  const double slow_s = sending ? 3.6 : 2.2;

  store platform({"127.0.0.1", 0});
  platform.put("config", "main",
               configuration("00000007", {{"/songs/", "songs", "safe", timeout_ms}}));
  const std::string ip = node_ip();
  target songs({.id = "i-songs", .service = "songs", .ip = ip, .work_ms = sending ? 50 : 400,
                .body_bytes = answer_bytes});
  node only({.name = "sidecar-1", .service = "songs", .ip = ip, .app = songs.at(),
             .store = platform.at()});
  only.start();
  only.await_ready();
  songs.beat_always(only.control());
  sleep_ms(2'500);

  std::vector<outcome> outcomes(clients);
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&, i] {
      connection it(connect_to(only.outbound(), [](int fd) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
      }));
      if (!it.open()) {
        give_up("no connection to the node");
      }
      const std::string id = random_id();
      const double sent = seconds_now();
      it.send(request_text("GET", "/songs/" + id, id, deadline_ms));
      record("client %d: sends GET /songs/%s, request %s", i, id.c_str(), id.c_str());
      std::string head;
      std::size_t body = 0;
      std::size_t length = 0;
      char chunk[65'536];
      while (true) {
        pollfd ready{it.fd(), POLLIN, 0};
        if (::poll(&ready, 1, deadline_ms) <= 0) {
          break;
        }
        const bool slow = seconds_now() - sent < slow_s;
        const ssize_t n = ::recv(it.fd(), chunk, slow ? slow_step_bytes : sizeof(chunk), 0);
        if (n <= 0) {
          break;
        }
        if (length == 0) {
          head.append(chunk, static_cast<std::size_t>(n));
          const auto end = head.find("\r\n\r\n");
          if (end == std::string::npos) {
            continue;
          }
          const auto field = head.find("Content-Length: ");
          length = std::strtoull(head.c_str() + field + 16, nullptr, 10);
          body = head.size() - end - 4;
          record("client %d: request %s gets '%s', %zu bytes to come", i, id.c_str(),
                 head.substr(0, head.find('\r')).c_str(), length);
        } else {
          body += static_cast<std::size_t>(n);
        }
        if (body >= length) {
          break;
        }
        if (slow) {
          sleep_ms(slow_step_pause_ms);
        }
      }
      const double took = seconds_now() - sent;
      outcomes[static_cast<std::size_t>(i)] = {length > 0 && body == length, took < timeout_ms / 1000.0, body};
      record("client %d: request %s ends after %.2f s with %zu of %zu bytes%s", i, id.c_str(), took,
             body, length, length > 0 && body == length ? "" : ": BROKEN OFF");
    });
  }
  sleep_ms(sending ? 250 : 200);
  if (trouble) {
    only.signal(SIGTERM);
  }
  for (auto& it : threads) {
    it.join();
  }
  if (trouble && !only.exited(7'000)) {
    record("sidecar-1: still runs 7 s after SIGTERM");
  }
  int cut = 0;
  for (const auto& it : outcomes) {
    // An answer that its reader would not have had before the route's timeout doesn't count.
    cut += !it.whole && it.in_time ? 1 : 0;
    if (!trouble && (!it.whole || !it.in_time)) {
      give_up("a client does not get its answer in time without the disruption");
    }
  }
  std::printf("%d clients, %d answers broken off by the node before the route's timeout\n", clients, cut);
  record("%d clients, %d answers broken off by the node before the route's timeout", clients, cut);
  finish(cut > 0 ? 1 : 0);
}
