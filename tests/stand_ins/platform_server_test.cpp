#include <string>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>

#include "stand_ins/platform_server.h"

namespace damaskledge::stand_ins {
namespace {

struct http_answer {
  int status = 0;
  std::string etag;
  std::string body;
};

http_answer send(const platform_server& server, const std::string& method, const std::string& path,
                 const std::string& body = "", const std::string& condition_name = "",
                 const std::string& condition = "") {
  Poco::Net::HTTPClientSession session("127.0.0.1", server.port());
  Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
  request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  if (!condition_name.empty()) {
    request.set(condition_name, condition);
  }
  session.sendRequest(request) << body << std::flush;
  Poco::Net::HTTPResponse response;
  http_answer result;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), result.body);
  result.status = response.getStatus();
  result.etag = response.get("ETag", "");
  return result;
}

// The client tests cover the answers that the client understands; these cover the rest of
// the protocol, which other developers use directly.
TEST_CASE("updates need a condition and a well-formed version") {
  const platform_server server({});
  CHECK(send(server, "PUT", "/v1/objects/x", "{}").status == 428);
  CHECK(send(server, "PUT", "/v1/objects/x", "{}", "If-Match", "1").status == 400);
  CHECK(send(server, "PUT", "/v1/objects/x", "{}", "If-Match", "\"1\"").status == 412);
  const auto created = send(server, "PUT", "/v1/objects/x", "{}", "If-None-Match", "*");
  CHECK(created.status == 201);
  CHECK(created.etag == "\"1\"");
  CHECK(send(server, "PUT", "/v1/objects/x", "{}", "If-None-Match", "*").status == 412);
  CHECK(send(server, "PUT", "/v1/objects/x", "{}", "If-Match", "\"1\"").etag == "\"2\"");
  CHECK(send(server, "DELETE", "/v1/objects/x", "", "If-Match", "\"1\"").status == 412);
  CHECK(send(server, "DELETE", "/v1/objects/x", "", "If-Match", "\"2\"").status == 200);
  CHECK(send(server, "PATCH", "/v1/objects/x").status == 405);
  CHECK(send(server, "GET", "/v2/objects/x").status == 404);
  CHECK(send(server, "GET", "/v1/objects/x?watch=a&timeout_ms=1").status == 400);
}

TEST_CASE("content above a megabyte is refused") {
  const platform_server server({});
  CHECK(send(server, "PUT", "/v1/objects/x", std::string(1'048'576, ' '), "If-None-Match", "*")
            .status == 201);
  CHECK(send(server, "PUT", "/v1/objects/y", std::string(1'048'577, ' '), "If-None-Match", "*")
            .status == 413);
  CHECK(server.version("y") == 0);
}

TEST_CASE("a listing holds names with the prefix and their versions") {
  const platform_server server({});
  for (const char* it : {"claims/1/head", "claims/1/a", "claims/10/head", "config/lists"}) {
    send(server, "PUT", std::string("/v1/objects/") + it, "{}", "If-None-Match", "*");
  }
  send(server, "PUT", "/v1/objects/claims/1/a", "{}", "If-Match", "\"1\"");
  send(server, "DELETE", "/v1/objects/claims/1/head", "", "If-Match", "\"1\"");
  const auto listed = send(server, "GET", "/v1/objects?prefix=claims/1/");
  CHECK(nlohmann::json::parse(listed.body).at("objects") ==
        nlohmann::json::array({{{"name", "claims/1/a"}, {"version", 2}}}));
  CHECK(nlohmann::json::parse(send(server, "GET", "/v1/objects").body).at("objects").size() == 3);
}

TEST_CASE("calls are counted by kind and limited per second") {
  const platform_server server({.reads_per_second = 3, .writes_per_second = 1});
  for (int it = 0; it < 5; ++it) {
    const int status = send(server, "GET", "/v1/objects/x").status;
    CHECK(status == (it < 3 ? 404 : 429));
  }
  CHECK(send(server, "PUT", "/v1/objects/x", "{}", "If-None-Match", "*").status == 201);
  CHECK(send(server, "PUT", "/v1/objects/x", "{}", "If-Match", "\"1\"").status == 429);
  CHECK(server.version("x") == 1);
  const auto counts = nlohmann::json::parse(send(server, "GET", "/control").body);
  CHECK(counts.at("reads") == 5);
  CHECK(counts.at("writes") == 2);
  CHECK(counts.at("rate_limited") == 3);
}

TEST_CASE("faults are set one by one at the control interface") {
  platform_server server({});
  CHECK(send(server, "POST", "/control", R"({"outage":true})").status == 200);
  CHECK(send(server, "POST", "/control", R"({"latency_ms":5})").status == 200);
  CHECK(server.faults().outage);
  CHECK(server.faults().latency_ms == 5);
  CHECK_THROWS_AS(send(server, "GET", "/v1/objects/x"), Poco::Exception);
  CHECK(send(server, "POST", "/control", R"({"outage":false})").status == 200);
  CHECK(send(server, "GET", "/v1/objects/x").status == 404);
  CHECK(send(server, "POST", "/control", R"({"outage":"yes"})").status == 400);
  CHECK(send(server, "POST", "/control", "[]").status == 400);
  CHECK(server.counters().closed_in_outage == 1);
}

TEST_CASE("stale reads return the version before the current one") {
  platform_server server({});
  send(server, "PUT", "/v1/objects/x", "{\"n\":1}", "If-None-Match", "*");
  send(server, "PUT", "/v1/objects/x", "{\"n\":2}", "If-Match", "\"1\"");
  server.set_faults({.stale_reads = 1});
  const auto stale = send(server, "GET", "/v1/objects/x");
  CHECK(stale.etag == "\"1\"");
  CHECK(stale.body == "{\"n\":1}");
  CHECK(send(server, "GET", "/v1/objects/x").etag == "\"2\"");
}

} // namespace
} // namespace damaskledge::stand_ins
