#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>

#include "stand_ins/collector_server.h"

namespace damaskledge::stand_ins {
namespace {

const std::string trace_a(32, 'a');
const std::string trace_b(32, 'b');

std::string span_id(int number) {
  return "000000000000000" + std::to_string(number);
}

nlohmann::json span(const std::string& trace, int id, int parent, const std::string& name) {
  nlohmann::json result{{"traceId", trace},
                        {"spanId", span_id(id)},
                        {"name", name},
                        {"startTimeUnixNano", "1"},
                        {"endTimeUnixNano", "2"}};
  if (parent > 0) {
    result["parentSpanId"] = span_id(parent);
  }
  return result;
}

std::string export_request(const std::vector<nlohmann::json>& spans) {
  return nlohmann::json{{"resourceSpans", {{{"scopeSpans", {{{"spans", spans}}}}}}}}.dump();
}

std::pair<int, std::string> send(std::uint16_t port, const std::string& method,
                                 const std::string& path, const std::string& body = "") {
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
  request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  session.sendRequest(request) << body << std::flush;
  Poco::Net::HTTPResponse response;
  std::string content;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), content);
  return {response.getStatus(), content};
}

TEST_CASE("spans are counted and served as the tree of their trace") {
  const collector_server server({"127.0.0.1", 0}, 100);
  CHECK(send(server.port(), "POST", "/v1/traces",
             export_request({span(trace_a, 2, 1, "inner"), span(trace_a, 1, 0, "entry"),
                             span(trace_b, 3, 9, "orphan")}))
            .first == 200);
  CHECK(
      send(server.port(), "POST", "/v1/traces", export_request({span(trace_a, 4, 2, "innermost")}))
          .first == 200);
  const auto counts = nlohmann::json::parse(send(server.port(), "GET", "/control").second);
  CHECK(counts.at("requests") == 2);
  CHECK(counts.at("spans") == 4);
  const auto ids = nlohmann::json::parse(send(server.port(), "GET", "/control/traces").second);
  CHECK(ids.at("traces") == nlohmann::json{trace_a, trace_b});

  const auto tree =
      nlohmann::json::parse(send(server.port(), "GET", "/control/traces/" + trace_a).second)
          .at("spans");
  REQUIRE(tree.size() == 1);
  CHECK(tree[0].at("name") == "entry");
  REQUIRE(tree[0].at("children").size() == 1);
  CHECK(tree[0].at("children")[0].at("name") == "inner");
  CHECK(tree[0].at("children")[0].at("children")[0].at("name") == "innermost");
  // A span whose parent was never exported is still shown.
  CHECK(server.tree_of(trace_b).size() == 1);
  CHECK(server.tree_of("unknown").empty());
}

TEST_CASE("only the latest spans are kept") {
  const collector_server server({"127.0.0.1", 0}, 2);
  send(server.port(), "POST", "/v1/traces",
       export_request({span(trace_a, 1, 0, "first"), span(trace_a, 2, 1, "second"),
                       span(trace_a, 3, 2, "third")}));
  CHECK(server.spans_of(trace_a).size() == 2);
  CHECK(server.spans_of(trace_a).front().name == "second");
  CHECK(server.counters().dropped_spans == 1);
}

TEST_CASE("bodies that are not trace requests are rejected") {
  const collector_server server({"127.0.0.1", 0}, 10);
  auto short_id = span(trace_a, 1, 0, "x");
  short_id["traceId"] = "abc";
  auto no_name = span(trace_a, 1, 0, "x");
  no_name.erase("name");
  for (const std::string& it : {std::string("x"), std::string("{}"), export_request({short_id}),
                                export_request({no_name})}) {
    CAPTURE(it);
    CHECK(send(server.port(), "POST", "/v1/traces", it).first == 400);
  }
  CHECK(server.counters().rejected_requests == 4);
  CHECK(server.counters().spans == 0);
}

} // namespace
} // namespace damaskledge::stand_ins
