#include <array>
#include <map>
#include <sstream>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "telemetry/telemetry.h"

namespace damaskledge::telemetry {

namespace {

/// Names of services come from announcements; a faulty announcer must not fill the memory.
constexpr std::size_t max_children = 4'096;

constexpr std::array<std::string_view, 5> token_names{"requested", "granted", "spent", "expired",
                                                      "transferred"};
constexpr std::array<std::string_view, 6> claim_names{
    "claimed", "already-claimed", "already-run", "body-differs", "released", "unavailable"};
constexpr std::array<std::string_view, 5> platform_names{"succeeded", "conflict", "refused",
                                                         "failed", "deferred"};

/// In seconds; 0.47 ms is the bound on the added latency.
const prometheus::Histogram::BucketBoundaries added_latency_bounds{
    0.0001, 0.0002, 0.0003, 0.0004, 0.00047, 0.0006, 0.001, 0.002, 0.005, 0.01, 0.05, 0.25};
const prometheus::Histogram::BucketBoundaries queue_delay_bounds{0.0005, 0.001, 0.002, 0.005,
                                                                 0.01,   0.02,  0.05};

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/// Children of a family by the values of their labels. The library's own look-up hashes and
/// copies the label map on each call.
template <class Metric>
class children {
 public:
  template <class... Extra>
  Metric& get(prometheus::Family<Metric>& family, std::string_view key,
              const prometheus::Labels& labels, const Extra&... extra) {
    auto found = by_key_.find(key);
    if (found == by_key_.end()) {
      if (by_key_.size() >= max_children) {
        prometheus::Labels other = labels;
        for (auto& [name, value] : other) {
          value = "other";
        }
        return family.Add(other, extra...);
      }
      found = by_key_.emplace(std::string(key), &family.Add(labels, extra...)).first;
    }
    return *found->second;
  }

 private:
  std::map<std::string, Metric*, std::less<>> by_key_;
};

template <class Builder>
auto& family(Builder builder, prometheus::Registry& registry, const std::string& name,
             const std::string& help) {
  return builder.Name("damaskledge_" + name).Help(help).Register(registry);
}

} // namespace

struct metrics::state {
  mutable std::mutex mutex;
  mutable prometheus::Registry registry;

  prometheus::Family<prometheus::Counter>& request_family =
      family(prometheus::BuildCounter(), registry, "requests_total",
             "Requests by service, outcome and reason of refusal");
  prometheus::Family<prometheus::Counter>& refusal_family =
      family(prometheus::BuildCounter(), registry, "refusals_total", "Refused requests by reason");
  prometheus::Family<prometheus::Counter>& retry_family =
      family(prometheus::BuildCounter(), registry, "retries_total",
             "Attempts after the first, by service");
  prometheus::Family<prometheus::Counter>& token_family =
      family(prometheus::BuildCounter(), registry, "tokens_total", "Tokens of accounts by event");
  prometheus::Family<prometheus::Counter>& claim_family =
      family(prometheus::BuildCounter(), registry, "claims_total", "Claims by result");
  prometheus::Family<prometheus::Counter>& platform_family = family(
      prometheus::BuildCounter(), registry, "platform_calls_total", "Platform calls by result");
  prometheus::Counter& dropped_frames =
      family(prometheus::BuildCounter(), registry, "frames_dropped_total",
             "Frames between nodes that failed a check")
          .Add({});
  prometheus::Counter& dropped_spans =
      family(prometheus::BuildCounter(), registry, "spans_dropped_total", "Spans not exported")
          .Add({});
  prometheus::Gauge& violations = family(prometheus::BuildGauge(), registry, "invariant_violations",
                                         "Invariant violations since the start of the process")
                                      .Add({});
  prometheus::Family<prometheus::Gauge>& shed_family =
      family(prometheus::BuildGauge(), registry, "shed_level",
             "Steps of importance and sub-level that are refused, by service");
  prometheus::Family<prometheus::Gauge>& limit_family =
      family(prometheus::BuildGauge(), registry, "target_limit",
             "Concurrency limit of this node by target");
  prometheus::Family<prometheus::Gauge>& in_flight_family =
      family(prometheus::BuildGauge(), registry, "target_in_flight",
             "Requests of this node in flight by target");
  prometheus::Family<prometheus::Histogram>& queue_family =
      family(prometheus::BuildHistogram(), registry, "queue_delay_seconds",
             "Wait for a target by service");
  prometheus::Histogram& added =
      family(prometheus::BuildHistogram(), registry, "added_latency_seconds",
             "Time that the node added to served requests")
          .Add({}, added_latency_bounds);

  std::map<std::string, prometheus::Gauge*> gauges;
  children<prometheus::Counter> requests;
  children<prometheus::Counter> refusals;
  children<prometheus::Counter> retries;
  children<prometheus::Counter> token_events;
  children<prometheus::Counter> claims;
  children<prometheus::Counter> platform_calls;
  children<prometheus::Gauge> shed_levels;
  children<prometheus::Histogram> queue_delays;
  std::map<std::string, std::pair<prometheus::Gauge*, prometheus::Gauge*>> targets;

  void count_request(std::string_view service, std::string_view outcome_name,
                     std::string_view reason) {
    std::string key(service);
    key.append(1, '\n').append(outcome_name).append(1, '\n').append(reason);
    requests
        .get(request_family, key,
             {{"service", std::string(service)},
              {"outcome", std::string(outcome_name)},
              {"reason", std::string(reason)}})
        .Increment();
  }
};

void metrics::set(const std::string& name, const std::string& help, double value) {
  const std::lock_guard lock(state_->mutex);
  prometheus::Gauge*& row = state_->gauges[name];
  if (row == nullptr) {
    row = &prometheus::BuildGauge().Name(name).Help(help).Register(state_->registry).Add({});
  }
  row->Set(value);
}

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::served(std::string_view service) {
  const std::lock_guard lock(state_->mutex);
  state_->count_request(service, "served", "");
}

void metrics::refused(std::string_view service, refusal_reason reason, outcome outcome_state) {
  const std::lock_guard lock(state_->mutex);
  state_->count_request(service, to_string(outcome_state), to_string(reason));
  state_->refusals
      .get(state_->refusal_family, to_string(reason), {{"reason", std::string(to_string(reason))}})
      .Increment();
}

void metrics::retried(std::string_view service) {
  const std::lock_guard lock(state_->mutex);
  state_->retries.get(state_->retry_family, service, {{"service", std::string(service)}})
      .Increment();
}

void metrics::tokens(token_event event, double n) {
  const std::lock_guard lock(state_->mutex);
  const std::string_view name = token_names.at(static_cast<std::size_t>(event));
  state_->token_events.get(state_->token_family, name, {{"event", std::string(name)}}).Increment(n);
}

void metrics::claim(claim_event event) {
  const std::lock_guard lock(state_->mutex);
  const std::string_view name = claim_names.at(static_cast<std::size_t>(event));
  state_->claims.get(state_->claim_family, name, {{"result", std::string(name)}}).Increment();
}

void metrics::platform_call(platform_event event) {
  const std::lock_guard lock(state_->mutex);
  const std::string_view name = platform_names.at(static_cast<std::size_t>(event));
  state_->platform_calls.get(state_->platform_family, name, {{"result", std::string(name)}})
      .Increment();
}

void metrics::frame_dropped() {
  state_->dropped_frames.Increment();
}

void metrics::spans_dropped(std::uint64_t n) {
  state_->dropped_spans.Increment(static_cast<double>(n));
}

void metrics::shed_level(std::string_view service, std::uint32_t level) {
  const std::lock_guard lock(state_->mutex);
  state_->shed_levels.get(state_->shed_family, service, {{"service", std::string(service)}})
      .Set(level);
}

void metrics::limits(const std::vector<limit_sample>& samples) {
  const std::lock_guard lock(state_->mutex);
  std::map<std::string, std::pair<prometheus::Gauge*, prometheus::Gauge*>> kept;
  for (const limit_sample& it : samples) {
    const auto found = state_->targets.find(it.target);
    if (found != state_->targets.end()) {
      kept[it.target] = found->second;
      state_->targets.erase(found);
    } else if (!kept.contains(it.target)) {
      kept[it.target] = {&state_->limit_family.Add({{"target", it.target}}),
                         &state_->in_flight_family.Add({{"target", it.target}})};
    }
    kept[it.target].first->Set(it.limit);
    kept[it.target].second->Set(it.in_flight);
  }
  for (const auto& [target, gauges] : state_->targets) {
    state_->limit_family.Remove(gauges.first);
    state_->in_flight_family.Remove(gauges.second);
  }
  state_->targets = std::move(kept);
}

void metrics::queue_delay(std::string_view service, duration waited) {
  const std::lock_guard lock(state_->mutex);
  state_->queue_delays
      .get(state_->queue_family, service, {{"service", std::string(service)}}, queue_delay_bounds)
      .Observe(in_seconds(waited));
}

void metrics::added_latency(duration added) {
  state_->added.Observe(in_seconds(added));
}

std::string metrics::exposition() const {
  state_->violations.Set(static_cast<double>(violation_count()));
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, state_->registry.Collect());
  return out.str();
}

} // namespace damaskledge::telemetry
