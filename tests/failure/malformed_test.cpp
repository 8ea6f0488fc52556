// Malformed input at the ports of a node: bounded, a clear error, and the node goes on serving.
#include <array>
#include <random>
#include <thread>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds answer_limit{5'000};

fleet& shared() {
  static fleet instance("malformed", [] {
    fleet_plan plan = small_plan(38);
    plan.settings["header_timeout"] = "1s";
    plan.settings["body_timeout"] = "1s";
    return plan;
  }());
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

const machine& victim(fleet& all) {
  return all.machines()[0];
}

void check_serves(fleet& all) {
  CHECK(all.machines()[0].node->running());
  CHECK(all.call(victim(all), "crews", "GET", "/dispatch/state").status == 200);
  CHECK_FALSE(all.violated());
}

std::string head(fleet& all, const std::string& request_line, const std::string& more) {
  return request_line + " HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + all.key("crews") +
         "\r\n" + more + "\r\n";
}

std::string send(fleet& all, const std::string& bytes) {
  return send_raw(all.caller_endpoint(victim(all)), bytes, answer_limit);
}

const std::string body = R"({"dispatch_number": "malformed"})";

} // namespace

TEST_CASE("two lengths of one message are refused") {
  // Guards against a second request that is hidden in the body of the first.
  fleet& all = shared();
  const std::size_t before = all.executions("dispatch").size();
  const std::string line = "POST /dispatch/confirm";
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::array<std::string, 6> headers{
      length + "Content-Length: 5\r\n",          length + length,
      length + "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n" + length,
      "Transfer-Encoding: gzip, chunked\r\n",    "Content-Length: -1\r\n"};
  for (const std::string& it : headers) {
    const std::string answer = send(all, head(all, line, it) + body);
    INFO(it, answer);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(answer.find("Damaskledge-Outcome: not-run") != std::string::npos);
    // One answer only: what follows is not taken for a request.
    CHECK(answer.find("HTTP/1.1", 8) == std::string::npos);
  }
  CHECK(all.executions("dispatch").size() == before);
  check_serves(all);
}

TEST_CASE("a length that is no number gets an error") {
  // Guards against a connection that closes without a word, which looks like a failed node.
  fleet& all = shared();
  const std::string answer =
      send(all, head(all, "POST /dispatch/confirm", "Content-Length: 0x20\r\n") + body);
  INFO("answer: ", answer);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  check_serves(all);
}

TEST_CASE("a header field above the limit gets 431") {
  // Guards against an error that does not say what to change.
  fleet& all = shared();
  const std::string answer =
      send(all, head(all, "GET /dispatch/state", "X-Large: " + std::string(60'000, 'a') + "\r\n"));
  INFO("answer: ", answer);
  CHECK(answer.starts_with("HTTP/1.1 431"));
  check_serves(all);
}

TEST_CASE("oversized headers and bodies are refused") {
  // Guards against memory that a caller fills.
  fleet& all = shared();
  const std::size_t before = all.executions("dispatch").size();
  std::string medium;
  for (int it = 0; it < 60; ++it) {
    medium += "X-Part-" + std::to_string(it) + ": " + std::string(1'000, 'a') + "\r\n";
  }
  const std::string medium_fields = send(all, head(all, "GET /dispatch/state", medium));
  INFO(medium_fields);
  CHECK(medium_fields.starts_with("HTTP/1.1 431"));
  CHECK(medium_fields.find("Damaskledge-Outcome: not-run") != std::string::npos);
  std::string many;
  for (int it = 0; it < 3'000; ++it) {
    many += "X-Many-" + std::to_string(it) + ": a\r\n";
  }
  const std::string many_headers = send(all, head(all, "GET /dispatch/state", many));
  // The HTTP library closes the connection above its own limit of header fields.
  const bool bounded = many_headers.empty() || many_headers.starts_with("HTTP/1.1 4");
  CHECK(bounded);
  const std::string endless_line =
      send(all, "GET /" + std::string(2'000'000, 'a') + " HTTP/1.1\r\nHost: node\r\n\r\n");
  const bool refused = endless_line.empty() || endless_line.starts_with("HTTP/1.1 4");
  CHECK(refused);
  const std::string large_body =
      send(all, head(all, "POST /dispatch/confirm", "Content-Length: 900000000\r\n") + body);
  CHECK(large_body.starts_with("HTTP/1.1 413"));
  CHECK(large_body.find("Damaskledge-Outcome: not-run") != std::string::npos);
  CHECK(all.executions("dispatch").size() == before);
  check_serves(all);
}

TEST_CASE("a body that ends early or never is refused and does not run") {
  // Guards against an operation that runs with half of its body.
  fleet& all = shared();
  const std::size_t before = all.executions("dispatch").size();
  const std::string sized = head(all, "POST /dispatch/confirm",
                                 "Content-Length: " + std::to_string(body.size() + 50) + "\r\n");
  const std::string waiting = send(all, sized + body);
  INFO(waiting);
  CHECK(waiting.find("Damaskledge-Outcome: not-run") != std::string::npos);
  const std::string ended = send_raw(all.caller_endpoint(victim(all)), sized + body, answer_limit,
                                     after_sending::close_output);
  INFO(ended);
  CHECK(ended.starts_with("HTTP/1.1 400"));
  const std::string chunked =
      head(all, "POST /dispatch/confirm", "Transfer-Encoding: chunked\r\n") + "20\r\n" + body;
  const std::string cut_chunks = send_raw(all.caller_endpoint(victim(all)), chunked, answer_limit,
                                          after_sending::close_output);
  INFO(cut_chunks);
  CHECK(cut_chunks.starts_with("HTTP/1.1 400"));
  CHECK(all.executions("dispatch").size() == before);
  check_serves(all);
}

TEST_CASE("headers that come slowly are cut off") {
  // Guards against connections that hold threads of the node for ever.
  fleet& all = shared();
  Poco::Net::StreamSocket silent(
      Poco::Net::SocketAddress(victim(all).address, all.caller_endpoint(victim(all)).port));
  const std::string part = "GET /dispatch/state HTTP/1.1\r\nHost: no";
  silent.sendBytes(part.data(), static_cast<int>(part.size()));
  silent.setReceiveTimeout(Poco::Timespan(10, 0));
  std::array<char, 512> buf{};
  const time_point start = clock_type::now();
  bool closed = true;
  try {
    while (silent.receiveBytes(buf.data(), buf.size()) > 0) {
    }
  } catch (const Poco::TimeoutException&) {
    closed = false;
  } catch (const Poco::Exception&) {
    closed = true;
  }
  CHECK(closed);
  MESSAGE("closed after ",
          std::chrono::duration_cast<milliseconds>(clock_type::now() - start).count(), " ms");
  check_serves(all);
}

TEST_CASE("headers that come byte by byte are cut off") {
  // Guards against a timeout that each byte starts anew. The limit is 1 s.
  fleet& all = shared();
  Poco::Net::StreamSocket slow(
      Poco::Net::SocketAddress(victim(all).address, all.caller_endpoint(victim(all)).port));
  const std::string start_line = "GET /dispatch/state HTTP/1.1\r\nX-Slow: ";
  slow.sendBytes(start_line.data(), static_cast<int>(start_line.size()));
  const time_point start = clock_type::now();
  bool closed = false;
  while (!closed && clock_type::now() < start + milliseconds(8'000)) {
    std::this_thread::sleep_for(milliseconds(300));
    try {
      slow.sendBytes("a", 1);
      std::array<char, 512> buf{};
      closed = slow.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
               slow.receiveBytes(buf.data(), buf.size()) == 0;
    } catch (const Poco::Exception&) {
      closed = true;
    }
  }
  CHECK(closed);
  check_serves(all);
}

TEST_CASE("garbage at the peer port is dropped and counted") {
  // Guards against decoding of unchecked input, and against sizes that a sender makes up.
  fleet& all = shared();
  const endpoint peer{victim(all).address, 8'082};
  std::mt19937_64 random(38);
  const double before = all.metric("damaskledge_peer_dropped_frames");
  Poco::Net::DatagramSocket datagrams;
  datagrams.bind(Poco::Net::SocketAddress("127.38.1.99", 0), true);
  const auto noise = [&](std::size_t size) {
    std::string result(size, '\0');
    for (char& it : result) {
      it = static_cast<char>(random());
    }
    return result;
  };
  for (int it = 0; it < 500; ++it) {
    const std::string bytes = noise(random() % 1'400);
    datagrams.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                     Poco::Net::SocketAddress(peer.address, peer.port));
  }
  for (int it = 0; it < 20; ++it) {
    send_raw(peer, noise(1 + random() % 10'000), milliseconds(100));
  }
  // A frame whose header announces four gigabytes.
  send_raw(peer, std::string(64, '\xff'), milliseconds(300));
  // Connections that say nothing hold no thread that peers need.
  std::vector<Poco::Net::StreamSocket> silent;
  for (int it = 0; it < 50; ++it) {
    silent.emplace_back(Poco::Net::SocketAddress(peer.address, peer.port));
  }
  CHECK(wait_until([&] { return all.metric("damaskledge_peer_dropped_frames") > before; },
                   milliseconds(5'000)));
  check_serves(all);
  // The node still hears its peers: a new configuration reaches it.
  all.give_key("reader");
  CHECK(all.settled(milliseconds(15'000)));
}

TEST_CASE("garbage at the callers' and the local port gets an error") {
  // Guards against a process that ends on input which is not HTTP.
  fleet& all = shared();
  std::mt19937_64 random(39);
  for (const std::uint16_t port : {std::uint16_t{8'080}, std::uint16_t{8'081}}) {
    for (int it = 0; it < 20; ++it) {
      std::string bytes(1 + random() % 3'000, '\0');
      for (char& each : bytes) {
        each = static_cast<char>(random());
      }
      send_raw({victim(all).address, port}, bytes + "\r\n\r\n", milliseconds(200));
    }
  }
  const endpoint local{victim(all).address, 8'081};
  for (const char* text :
       {"", "{", "[]", R"({"service":1,"port":9000})", R"({"service":"a","port":70000})",
        R"({"service":"a","port":9000,"slots":-1,"connections":1})",
        R"({"service":"a","port":9000,"slots":1e99,"connections":1})"}) {
    const auto answer = exchange(
        local, {.method = "POST", .target = "/.damaskledge/announce", .body = std::string(text)});
    INFO(text);
    CHECK(answer.status == 400);
  }
  check_serves(all);
}

} // namespace damaskledge::failure
