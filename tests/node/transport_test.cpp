#include <atomic>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "node/cut_filter.h"
#include "node/transport.h"

namespace damaskledge::node {
namespace {

bool wait_for(const std::atomic<int>& count, int wanted) {
  const time_point end = clock_type::now() + seconds{10};
  while (count < wanted && clock_type::now() < end) {
    std::this_thread::sleep_for(milliseconds{5});
  }
  return count == wanted;
}

// Guards against a node that ends with a null pointer when peers send to it while it starts: the
// receiver answers through the transport, which its owner has only after the constructor.
TEST_CASE("a transport delivers nothing before it is started, and then what has come") {
  const cut_filter cuts("");
  const std::vector<std::string> secrets{"a secret for tests of thirty-two characters"};
  const endpoint to{"127.43.1.1", 18'082};
  std::atomic<int> received{0};
  transport target("target", to, secrets, cuts, [&](const auto&) { ++received; });
  transport source("source", {"127.43.1.2", 18'082}, secrets, cuts, [](const auto&) {});
  source.start();
  source.send({to, wire::transport::datagram, wire::contexts_ended{{{1, 2}}}});
  source.send({to, wire::transport::stream, wire::contexts_ended{{{3, 4}}}});
  // Loopback delivers within microseconds.
  std::this_thread::sleep_for(milliseconds{200});
  CHECK(received == 0);
  target.start();
  CHECK(wait_for(received, 2));
}

TEST_CASE("a transport that was not started stops") {
  const cut_filter cuts("");
  transport never("never", {"127.43.1.3", 18'082}, {"a secret for tests of thirty-two characters"},
                  cuts, [](const auto&) {});
  never.stop();
}

} // namespace
} // namespace damaskledge::node
