#include "node/reporter.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace damaskledge::node {

namespace {

telemetry::exporter_settings exporter_settings(const config::node_settings& settings) {
  telemetry::exporter_settings result;
  result.collector = settings.collector;
  result.resource = {{"service.name", "damaskledge-node"},
                     {"service.instance.id", settings.name},
                     {"cloud.availability_zone", settings.data_centre}};
  return result;
}

std::int64_t milliseconds_of(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

reporter::reporter(const config::node_settings& settings)
    : exporter_(exporter_settings(settings)) {}

void reporter::start_trace(request_report& report, std::string_view traceparent) const {
  if (const auto parent = telemetry::parse_traceparent(traceparent)) {
    report.trace = telemetry::child_of(*parent);
    report.parent_span_id = parent->span_id;
  } else {
    report.trace = telemetry::new_trace();
  }
  report.started_unix_nano = telemetry::unix_nanoseconds();
}

std::string reporter::traceparent_of(const request_report& report) const {
  return telemetry::to_traceparent(report.trace);
}

void reporter::finished(const request_report& report) {
  const std::string request = to_string(report.request);
  if (report.refused) {
    const refusal& why = *report.refused;
    // A route is known only for services of the configuration; other names come from callers
    // and would make metrics without bound.
    metrics_.refused(report.route.empty() ? "" : report.service, why.reason, why.state);
    refusals_.add(
        {request, unix_now(), report.account, report.route, why.reason, why.state, why.detail});
    telemetry::log_event("refused")
        .request(request)
        .account(report.account)
        .reason(why.reason)
        .field("outcome", to_string(why.state))
        .field("route", report.route)
        .field("attempts", static_cast<std::int64_t>(report.attempts))
        .info();
  } else {
    metrics_.served(report.service);
    metrics_.added_latency(report.ended - report.started - report.upstream_time -
                           report.queue_time);
  }
  for (std::uint32_t it = 0; it < report.retries; ++it) {
    metrics_.retried(report.service);
  }
  if (!report.route.empty()) {
    metrics_.queue_delay(report.service, report.queue_time);
  }
  telemetry::span span;
  span.name = report.route.empty() ? "unknown route" : report.route;
  span.context = report.trace;
  span.parent_span_id = report.parent_span_id;
  span.kind = telemetry::span_kind::server;
  span.start_unix_nano = report.started_unix_nano;
  span.end_unix_nano = report.started_unix_nano +
                       static_cast<std::uint64_t>(
                           std::max<duration::rep>((report.ended - report.started).count(), 0));
  span.failed = report.status >= 500;
  span.attributes = {{"damaskledge.request", request},
                     {"damaskledge.account", report.account},
                     {"damaskledge.service", report.service},
                     {"http.response.status_code", std::int64_t{report.status}},
                     {"damaskledge.attempts", std::int64_t{report.attempts}},
                     {"damaskledge.queue_ms", milliseconds_of(report.queue_time)},
                     {"damaskledge.inner", report.inner}};
  if (report.refused) {
    span.attributes.emplace_back("damaskledge.reason",
                                 std::string(to_string(report.refused->reason)));
  }
  exporter_.record(std::move(span));
}

void reporter::refused_early(refusal_reason reason) {
  metrics_.refused("", reason, outcome::not_run);
}

std::optional<std::string> reporter::explain(const std::string& request) const {
  const auto found = refusals_.find(request);
  if (!found) {
    return std::nullopt;
  }
  return nlohmann::json{{"request", found->request},
                        {"time_ms", found->at},
                        {"account", found->account},
                        {"route", found->route},
                        {"reason", to_string(found->reason)},
                        {"outcome", to_string(found->state)},
                        {"detail", found->detail}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace damaskledge::node
