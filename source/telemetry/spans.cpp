#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "http/http.h"
#include "telemetry/telemetry.h"

namespace damaskledge::telemetry {

namespace {

using nlohmann::json;

/// Number of an error in the Status message of OTLP.
constexpr int error_status = 2;

json to_json(const attribute_value& value) {
  struct visitor {
    json operator()(const std::string& text) const { return {{"stringValue", redact_keys(text)}}; }
    // The JSON encoding of protocol buffers writes 64-bit integers as strings.
    json operator()(std::int64_t number) const { return {{"intValue", std::to_string(number)}}; }
    json operator()(bool flag) const { return {{"boolValue", flag}}; }
  };
  return std::visit(visitor{}, value);
}

json to_json(const span& value) {
  // The two ids in the form of the header: 32 and 16 hexadecimal digits.
  const std::string parent = to_traceparent(value.context);
  json result{{"traceId", parent.substr(3, 32)},
              {"spanId", parent.substr(36, 16)},
              {"name", redact_keys(value.name)},
              {"kind", static_cast<int>(value.kind)},
              {"startTimeUnixNano", std::to_string(value.start_unix_nano)},
              {"endTimeUnixNano", std::to_string(value.end_unix_nano)}};
  if (value.parent_span_id != 0) {
    const trace_context above{value.context.trace_id, value.parent_span_id, 0};
    result["parentSpanId"] = to_traceparent(above).substr(36, 16);
  }
  json& attributes = result["attributes"] = json::array();
  for (const auto& [key, attribute] : value.attributes) {
    attributes.push_back({{"key", key}, {"value", to_json(attribute)}});
  }
  if (value.failed) {
    result["status"] = {{"code", error_status}};
  }
  return result;
}

} // namespace

std::string to_otlp_json(const std::vector<span>& spans,
                         const std::vector<std::pair<std::string, std::string>>& resource) {
  json attributes = json::array();
  for (const auto& [key, value] : resource) {
    attributes.push_back({{"key", key}, {"value", to_json(attribute_value(value))}});
  }
  json list = json::array();
  for (const span& it : spans) {
    list.push_back(to_json(it));
  }
  json scope{{"scope", {{"name", "damaskledge"}}}, {"spans", std::move(list)}};
  json group{{"resource", {{"attributes", std::move(attributes)}}}};
  group["scopeSpans"] = json::array({std::move(scope)});
  json request;
  request["resourceSpans"] = json::array({std::move(group)});
  return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

span_exporter::span_exporter(exporter_settings options) : options_(std::move(options)) {
  if (options_.collector.port != 0) {
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
  }
}

span_exporter::~span_exporter() {
  thread_.request_stop();
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void span_exporter::record(span value) {
  if (options_.collector.port == 0 || !value.context.sampled()) {
    return;
  }
  bool full_batch = false;
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= options_.max_queue) {
      ++dropped_;
      return;
    }
    queue_.push_back(std::move(value));
    full_batch = queue_.size() == options_.max_batch;
  }
  if (full_batch) {
    wake_.notify_one();
  }
}

void span_exporter::run(const std::stop_token& stop) {
  milliseconds pause{0};
  while (true) {
    std::vector<span> batch;
    {
      std::unique_lock lock(mutex_);
      if (pause > milliseconds{0}) {
        wake_.wait_for(lock, stop, pause, [] { return false; });
      }
      wake_.wait_for(lock, stop, options_.interval,
                     [&] { return queue_.size() >= options_.max_batch; });
      const auto n = std::min(queue_.size(), options_.max_batch);
      const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(n);
      batch.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
      queue_.erase(queue_.begin(), end);
    }
    if (batch.empty()) {
      if (stop.stop_requested()) {
        return;
      }
      continue;
    }
    if (send(batch)) {
      exported_ += batch.size();
      pause = milliseconds{0};
      continue;
    }
    dropped_ += batch.size();
    pause = std::clamp(pause * 2, options_.backoff, options_.backoff_max);
    if (stop.stop_requested()) {
      const std::lock_guard lock(mutex_);
      dropped_ += queue_.size();
      queue_.clear();
      return;
    }
  }
}

bool span_exporter::send(const std::vector<span>& batch) const {
  const std::string body = to_otlp_json(batch, options_.resource);
  http::outgoing_request request{"POST", "/v1/traces", {}, body};
  request.fields.add("Content-Type", "application/json");
  const auto answer =
      http::fetch(options_.collector, std::move(request), options_.timeout, http::message_limits{})
          .answer;
  return answer && answer->status >= 200 && answer->status < 300;
}

} // namespace damaskledge::telemetry
