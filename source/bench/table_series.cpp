#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "bench/meter.h"
#include "bench/population.h"
#include "config/config.h"
#include "core/core.h"
#include "routing/routing.h"
#include "wire/wire.h"

namespace damaskledge::bench {

namespace {

constexpr seconds clock_start{100'000};

std::uint64_t repetitions(const options& wanted, std::uint64_t full) {
  return wanted.quick ? full / 10 : full;
}

/// Keeps results in use, so that the measured calls are not removed.
void keep(std::uint64_t value) {
  static volatile std::uint64_t sink = 0;
  sink = sink + value;
}

/// A core with both documents in force.
std::unique_ptr<core::control_core> core_with(const std::string& lists, const std::string& keys) {
  const time_point now(clock_start);
  auto result = std::make_unique<core::control_core>(node_settings(0), 1, wall_start);
  result->tick(now, wall_start, {});
  const auto give = [&](std::string_view name, const std::string& content) {
    const std::string document(name);
    result->on_document_answer(now, document, platform::found{{"config/" + document, 1, content}});
    // A starting node may wait for the answer that its first version is the current one.
    result->on_document_answer(now, document, platform::unchanged{});
  };
  give(config::lists_document, lists);
  give(config::keys_document, keys);
  result->tick(now + milliseconds(10), wall_start, {});
  return result;
}

/// A document above the limit of an object never gets in force, so its costs are left out.
void measure_documents(const std::string& name, const std::string& x_unit, double x,
                       const config::lists& lists, const config::keys& keys, collector& into) {
  const std::string lists_text = object_of(lists, 0);
  const std::string keys_text = object_of(keys, 0);
  const double start = processor_seconds();
  const double before = allocated_bytes();
  const auto core = core_with(lists_text, keys_text);
  if (core->rules()) {
    into.add("memory." + name, x_unit, "B", x, allocated_bytes() - before);
    into.add("apply." + name, x_unit, "us", x, 1e6 * (processor_seconds() - start));
  }
  into.add("check.rules_in_force." + name, x_unit, "1 or 0", x, core->rules() ? 1 : 0);
}

} // namespace

void measure_rules(const options& wanted, collector& into) {
  const std::vector<std::size_t> key_counts =
      wanted.quick ? std::vector<std::size_t>{100, 500, 1'000}
                   : std::vector<std::size_t>{100, 1'000, 3'000, 6'000, 10'000};
  for (const std::size_t n : key_counts) {
    const auto x = static_cast<double>(n);
    const config::lists lists = make_lists(8);
    const config::keys keys = make_keys(n, 8);
    into.add("object.keys", "keys", "B", x, static_cast<double>(object_of(keys, 0).size()));
    measure_documents("keys", "keys", x, lists, keys, into);
    const admission::rule_book book(lists, keys);
    std::vector<std::string> texts;
    texts.reserve(n);
    for (std::size_t it = 0; it < n; ++it) {
      texts.push_back(key_text(it));
    }
    std::uint64_t accepted = 0;
    into.add("authenticate", "keys", "us", x,
             microseconds_per_call(repetitions(wanted, 100'000), [&](std::uint64_t it) {
               accepted += book.authenticate(texts[it * 7'919 % n]).index() == 0 ? 1U : 0U;
             }));
    keep(accepted);
  }
  const std::vector<std::size_t> account_counts =
      wanted.quick ? std::vector<std::size_t>{8, 100, 500}
                   : std::vector<std::size_t>{8, 100, 1'000, 5'000};
  for (const std::size_t n : account_counts) {
    const auto x = static_cast<double>(n);
    const config::lists lists = make_lists(n);
    into.add("object.accounts", "accounts", "B", x,
             static_cast<double>(object_of(lists, 0).size()));
    measure_documents("accounts", "accounts", x, lists, make_keys(100, n), into);
  }
}

void measure_request_path(const options& wanted, collector& into) {
  const time_point start(clock_start);
  const std::vector<std::size_t> targets = wanted.quick
                                               ? std::vector<std::size_t>{12, 110, 300}
                                               : std::vector<std::size_t>{12, 137, 300, 820};
  for (const std::size_t n : targets) {
    std::vector<routing::target_record> records;
    for (std::size_t it = 0; it < n; ++it) {
      const wire::member_record member = record_of(it);
      const wire::service_record& service = member.services.front();
      routing::target_record record;
      record.id = member.name + ":" + std::to_string(service.port);
      record.service = service.service;
      record.data_centre = member.data_centre;
      record.address = {member.address, service.port};
      record.slots = service.slots;
      record.connections = service.connections;
      record.incarnation = service.instance;
      records.push_back(std::move(record));
    }
    const auto x = static_cast<double>(n);
    const double before = allocated_bytes();
    routing::target_table table({}, "dc1", 7);
    const double set_start = processor_seconds();
    table.set_targets(start, records, 137);
    into.add("targets.set", "targets", "us", x, 1e6 * (processor_seconds() - set_start));
    into.add("memory.targets", "targets", "B", x, allocated_bytes() - before);
    std::vector<std::string> services;
    for (std::size_t it = 0; it < std::min(n, service_count); ++it) {
      services.push_back(service_name(it));
    }
    std::uint64_t chosen = 0;
    into.add("targets.acquire_release", "targets", "us", x,
             microseconds_per_call(repetitions(wanted, 200'000), [&](std::uint64_t it) {
               // 350 calls a second, as at the design size.
               const time_point now = start + std::chrono::microseconds(2'857 * it);
               const auto found = table.acquire(now, services[it % services.size()], {});
               if (found) {
                 ++chosen;
                 table.release(now + milliseconds(2), found->id, routing::attempt_end::answered,
                               milliseconds(2));
               }
             }));
    keep(chosen);
    const time_point later = start + seconds(1'000);
    into.add("targets.tick", "targets", "us", x,
             microseconds_per_call(repetitions(wanted, 2'000), [&](std::uint64_t it) {
               table.tick(later + milliseconds(10 * it));
             }));
  }

  routing::context token;
  token.id = {1, 2};
  token.request = {3, 4};
  token.account = account_name(1);
  token.key_id = std::string(12, 'a');
  token.deadline = wall_start;
  token.vm_address = "10.1.0.1";
  token.issuer = {"10.1.0.1", peer_port};
  const std::vector<std::string> secrets{node_settings(0).cluster_secret};
  // The account's name is the only field that grows.
  for (const std::size_t length : {12, 32, 64}) {
    const auto x = static_cast<double>(length);
    token.account = std::string(length, 'a');
    std::uint64_t size = 0;
    into.add("context.issue", "bytes of account name", "us", x,
             microseconds_per_call(repetitions(wanted, 50'000), [&](std::uint64_t it) {
               token.id.low = it;
               size += routing::encode_context(token, secrets.front()).size();
             }));
    const std::string text = routing::encode_context(token, secrets.front());
    into.add("context.check", "bytes of account name", "us", x,
             microseconds_per_call(repetitions(wanted, 50'000), [&](std::uint64_t) {
               size += routing::decode_context(text, secrets) ? 1U : 0U;
             }));
    into.add("context.size", "bytes of account name", "B", x, static_cast<double>(text.size()));
    keep(size);
  }

  for (const std::size_t records : {1, 3, 7}) {
    wire::probe body;
    for (std::size_t it = 0; it < records; ++it) {
      body.facts.members.push_back(record_of(it));
    }
    const wire::message message(body);
    const endpoint self{"10.1.0.1", peer_port};
    const std::string frame = wire::encode(secrets.front(), "dc1-vm000", self, message);
    const auto x = static_cast<double>(frame.size());
    std::uint64_t size = 0;
    into.add("frame.encode", "bytes", "us", x,
             microseconds_per_call(repetitions(wanted, 50'000), [&](std::uint64_t) {
               size += wire::encode(secrets.front(), "dc1-vm000", self, message).size();
             }));
    into.add("frame.decode", "bytes", "us", x,
             microseconds_per_call(repetitions(wanted, 50'000), [&](std::uint64_t) {
               size += wire::decode(secrets, frame) ? 1U : 0U;
             }));
    keep(size);
  }
}

} // namespace damaskledge::bench
