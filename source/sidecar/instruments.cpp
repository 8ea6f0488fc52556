#include "sidecar/instruments.h"

#include <prometheus/text_serializer.h>

namespace damaskledge::sidecar {

namespace {

const prometheus::Histogram::BucketBoundaries latency_bounds{0.01, 0.03, 0.1, 0.2, 0.4,
                                                             0.8,  1.5,  3.0, 6.0};
const prometheus::Histogram::BucketBoundaries stall_bounds{0.1, 0.2, 0.5, 1.0, 2.0};

prometheus::Family<prometheus::Counter>& counter_family(prometheus::Registry& registry,
                                                        const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

instruments::instruments()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(counter_family(*registry_, "damaskledge_answers_total",
                              "Answers of targets delivered, by route and status.")),
      failures_(counter_family(*registry_, "damaskledge_failures_total",
                               "Requests that the node ended itself, by route, status, reason.")),
      repeats_(counter_family(*registry_, "damaskledge_repeats_total",
                              "Requests sent to a further target, by route.")),
      store_calls_(counter_family(*registry_, "damaskledge_store_calls_total",
                                  "Calls to the store, by result.")),
      errors_(counter_family(*registry_, "damaskledge_unexpected_errors_total",
                             "Exceptions that interrupted an event, by its kind.")),
      latency_(prometheus::BuildHistogram()
                   .Name("damaskledge_answer_seconds")
                   .Help("Time from a request's arrival to the delivery of its answer.")
                   .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("damaskledge_node")
                  .Help("State of the node, by value.")
                  .Register(*registry_)),
      bytes_sent_(prometheus::BuildGauge()
                      .Name("damaskledge_peer_sent_bytes")
                      .Help("Bytes sent to other nodes since the start, by frame and scope.")
                      .Register(*registry_)),
      callers_left_(counter_family(*registry_, "damaskledge_callers_left_total",
                                   "Callers that left before their answer.")
                        .Add({})),
      stalls_(prometheus::BuildHistogram()
                  .Name("damaskledge_loop_stall_seconds")
                  .Help("Rounds of events that occupied the event loop for too long.")
                  .Register(*registry_)
                  .Add({}, stall_bounds)) {}

void instruments::answered(const std::string& route, int status, duration taken) {
  auto& counter = counters_["a" + route + ':' + std::to_string(status)];
  if (counter == nullptr) {
    counter = &answers_.Add({{"route", route}, {"status", std::to_string(status)}});
  }
  counter->Increment();
  auto& histogram = histograms_[route];
  if (histogram == nullptr) {
    histogram = &latency_.Add({{"route", route}}, latency_bounds);
  }
  histogram->Observe(std::chrono::duration<double>(taken).count());
}

void instruments::loop_stalled(duration taken) {
  stalls_.Observe(std::chrono::duration<double>(taken).count());
}

void instruments::failed(const std::string& route, int status, const std::string& reason) {
  auto& counter = counters_["f" + route + ':' + std::to_string(status) + reason];
  if (counter == nullptr) {
    counter =
        &failures_.Add({{"route", route}, {"status", std::to_string(status)}, {"reason", reason}});
  }
  counter->Increment();
}

void instruments::repeated(const std::string& route) {
  auto& counter = counters_["r" + route];
  if (counter == nullptr) {
    counter = &repeats_.Add({{"route", route}});
  }
  counter->Increment();
}

void instruments::store_call(const std::string& result) {
  auto& counter = counters_["s" + result];
  if (counter == nullptr) {
    counter = &store_calls_.Add({{"result", result}});
  }
  counter->Increment();
}

void instruments::unexpected_error(std::string_view where) {
  errors_.Add({{"where", std::string(where)}}).Increment();
}

void instruments::bytes_sent(std::string_view frame, const std::string& scope,
                             std::uint64_t total) {
  bytes_sent_.Add({{"frame", std::string(frame)}, {"scope", scope}})
      .Set(static_cast<double>(total));
}

void instruments::set(const std::string& name, double value) {
  gauges_.Add({{"value", name}}).Set(value);
}

std::string instruments::exposition() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace damaskledge::sidecar
