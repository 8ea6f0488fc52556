#include "stand_ins/collector_server.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damaskledge::stand_ins {

namespace {

constexpr std::size_t max_body_bytes = 16'777'216;
constexpr std::uint32_t max_connections = 1'024;

bool is_hex_of_length(const std::string& text, std::size_t length) {
  return text.size() == length && from_hex(text).has_value();
}

nlohmann::json subtree(const collected_span& span, const std::vector<collected_span>& all) {
  nlohmann::json children = nlohmann::json::array();
  for (const collected_span& it : all) {
    if (it.parent_span_id == span.span_id && it.span_id != span.span_id) {
      children.push_back(subtree(it, all));
    }
  }
  return {{"span_id", span.span_id},
          {"parent_span_id", span.parent_span_id},
          {"name", span.name},
          {"start_time", span.start_time},
          {"end_time", span.end_time},
          {"attributes", span.attributes},
          {"children", std::move(children)}};
}

} // namespace

std::optional<std::vector<collected_span>> parse_spans(const std::string& text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("resourceSpans")) {
    return std::nullopt;
  }
  std::vector<collected_span> result;
  try {
    for (const auto& resource : document.at("resourceSpans")) {
      for (const auto& scope : resource.at("scopeSpans")) {
        for (const auto& it : scope.at("spans")) {
          collected_span span{it.at("traceId"),
                              it.at("spanId"),
                              it.value("parentSpanId", ""),
                              it.at("name"),
                              it.at("startTimeUnixNano"),
                              it.at("endTimeUnixNano"),
                              it.value("attributes", nlohmann::json::array())};
          const bool parent_valid =
              span.parent_span_id.empty() || is_hex_of_length(span.parent_span_id, 16);
          if (!is_hex_of_length(span.trace_id, 32) || !is_hex_of_length(span.span_id, 16) ||
              !parent_valid) {
            return std::nullopt;
          }
          result.push_back(std::move(span));
        }
      }
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return result;
}

collector_server::collector_server(const endpoint& address, std::size_t kept_spans)
    : kept_spans_(kept_spans),
      server_(std::make_unique<http_server>(address, max_connections,
                                            [this](http_exchange& it) { handle(it); })) {}

collector_counters collector_server::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

std::vector<collected_span> collector_server::spans_of(const std::string& trace_id) const {
  const std::lock_guard lock(mutex_);
  std::vector<collected_span> result;
  std::copy_if(spans_.begin(), spans_.end(), std::back_inserter(result),
               [&](const collected_span& it) { return it.trace_id == trace_id; });
  return result;
}

nlohmann::json collector_server::tree_of(const std::string& trace_id) const {
  const auto spans = spans_of(trace_id);
  std::set<std::string> ids;
  for (const collected_span& it : spans) {
    ids.insert(it.span_id);
  }
  nlohmann::json result = nlohmann::json::array();
  for (const collected_span& it : spans) {
    if (!ids.contains(it.parent_span_id)) {
      result.push_back(subtree(it, spans));
    }
  }
  return result;
}

void collector_server::accept(http_exchange& exchange) {
  const auto text = exchange.body(max_body_bytes);
  const auto spans = text ? parse_spans(*text) : std::nullopt;
  {
    const std::lock_guard lock(mutex_);
    ++counters_.requests;
    if (spans) {
      counters_.spans += spans->size();
      spans_.insert(spans_.end(), spans->begin(), spans->end());
      while (spans_.size() > kept_spans_) {
        spans_.pop_front();
        ++counters_.dropped_spans;
      }
    } else {
      ++counters_.rejected_requests;
    }
  }
  if (spans) {
    exchange.answer(200, "{}");
  } else {
    exchange.answer(400, R"({"code":3,"message":"the body is not an OTLP trace request"})");
  }
}

void collector_server::handle(http_exchange& exchange) {
  const std::string path = exchange.path();
  constexpr std::string_view traces_path = "/control/traces";
  if (path == "/v1/traces" && exchange.method() == "POST") {
    accept(exchange);
    return;
  }
  exchange.body(max_body_bytes);
  if (path == "/control") {
    const collector_counters seen = counters();
    exchange.answer(200, nlohmann::json{{"requests", seen.requests},
                                        {"rejected_requests", seen.rejected_requests},
                                        {"spans", seen.spans},
                                        {"dropped_spans", seen.dropped_spans}});
  } else if (path == traces_path) {
    std::set<std::string> ids;
    {
      const std::lock_guard lock(mutex_);
      for (const collected_span& it : spans_) {
        ids.insert(it.trace_id);
      }
    }
    exchange.answer(200, nlohmann::json{{"traces", ids}});
  } else if (path.starts_with(std::string(traces_path) + "/")) {
    exchange.answer(200, nlohmann::json{{"spans", tree_of(path.substr(traces_path.size() + 1))}});
  } else {
    exchange.answer(404, R"({"error":"no such path"})");
  }
}

} // namespace damaskledge::stand_ins
