#include <string>

#include <doctest/doctest.h>

#include "http/raw_server.h"
#include "node/cut_filter.h"
#include "node/upstream_client.h"

namespace damaskledge::node {
namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

struct client_fixture {
  attempt_outcome run(const test::raw_server& server, const std::string& body = "",
                      milliseconds limit = milliseconds(2'000)) {
    upstream_request request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = "/look";
    request.headers = {{"Host", "look"}};
    request.body = body;
    return client.run(server.address(), request, clock_type::now() + limit, -1, 4, 1'000);
  }

  cut_filter cuts{""};
  upstream_client client{cuts};
};

} // namespace

TEST_CASE_FIXTURE(client_fixture, "An answer with a malformed head does not reach the caller") {
  for (const auto& it : test::malformed_answers()) {
    CAPTURE(it);
    const test::raw_server server(it, test::then::end);
    const auto outcome = run(server);
    CHECK(outcome.result != attempt_result::answered);
    CHECK(outcome.answer.body.empty());
    CHECK(outcome.answer.headers.empty());
  }
}

TEST_CASE_FIXTURE(client_fixture, "An interim answer does not reach the caller as the final one") {
  for (const char* it : {"101 Switching Protocols", "103 Early Hints"}) {
    const test::raw_server server("HTTP/1.1 " + std::string(it) + "\r\nContent-Length: 0\r\n\r\n",
                                  test::then::end);
    CHECK(run(server).result == attempt_result::broken);
  }
}

// Guards against a library that takes any end of a chunked body for its last chunk.
TEST_CASE_FIXTURE(client_fixture, "A part of a body does not reach the caller as a whole one") {
  const std::string parts[] = {
      chunked + "4\r\npart\r\n",
      chunked + "4\r\npart\r\n8\r\nmore",
      chunked + "4\r\npart\r\nzz\r\n\r\n",
      chunked + "4\r\npart\r\n\r\n\r\n",
      chunked + "4\r\npartmore\r\n0\r\n\r\n",
      ok + "Content-Length: 8\r\n\r\npart",
      ok + "\r\npart",
  };
  for (const auto& it : parts) {
    CAPTURE(it);
    for (const auto after : {test::then::end, test::then::reset}) {
      const test::raw_server server(it, after);
      CHECK(run(server).result != attempt_result::answered);
    }
  }
}

TEST_CASE_FIXTURE(client_fixture, "A body that stops until the deadline is not a whole one") {
  const test::raw_server server(chunked + "4\r\npart\r\n", test::then::keep_open);
  CHECK(run(server, "", milliseconds(300)).result == attempt_result::timed_out);
}

TEST_CASE_FIXTURE(client_fixture,
                  "A part of an answer to an unfinished upload is not a whole one") {
  const std::string upload(12UL * 1024UL * 1024UL, 'u');
  for (const auto& it : {ok + "\r\npart", chunked + "4\r\npart\r\n"}) {
    const test::raw_server server(it, test::then::reset);
    CHECK(run(server, upload).result != attempt_result::answered);
  }
}

TEST_CASE_FIXTURE(client_fixture, "Whole answers are passed on and their connection is kept") {
  const std::string answers[] = {
      ok + "X-Word: =?UTF-8?Q?a=62c?=\r\nContent-Length: 5\r\n\r\nwhole",
      chunked + "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + ok +
          "Content-Length: 5\r\n\r\nwhole",
  };
  for (const auto& it : answers) {
    CAPTURE(it);
    const test::raw_server server(it, test::then::keep_open);
    for (int i = 0; i < 3; ++i) {
      const auto outcome = run(server);
      REQUIRE(outcome.result == attempt_result::answered);
      CHECK(outcome.answer.status == 200);
      CHECK(outcome.answer.body == "whole");
      if (const auto* word = find_header(outcome.answer.headers, "X-Word")) {
        CHECK(*word == "=?UTF-8?Q?a=62c?=");
      }
    }
    CHECK(server.connections() == 1);
  }
}

TEST_CASE_FIXTURE(client_fixture, "An answer above the limit and an early end are told as such") {
  const test::raw_server large(ok + "Content-Length: 1001\r\n\r\n" + std::string(1'001, 'x'),
                               test::then::end);
  CHECK(run(large).result == attempt_result::truncated);
  const test::raw_server none("", test::then::end);
  CHECK(run(none).result == attempt_result::broken);
}

} // namespace damaskledge::node
