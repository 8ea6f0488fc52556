#include "sidecar/agent.h"

#include <algorithm>
#include <utility>

namespace damaskledge::sidecar {

namespace {

/// Minimum interval between account usage reports that are sent ahead of the regular load message.
constexpr milliseconds early_report_pause{50};
/// Interval at which timeouts of the target's queue and connections are checked.
constexpr milliseconds check_interval{10};
/// Length, in checks, of the intervals in which calls of the target are counted.
constexpr std::uint64_t observe_every = 5;
/// Long-poll durations of the store watches. They are long because each call is billed. TCP
/// keep-alive detects a dead connection within 2 s.
constexpr milliseconds relay_configuration_wait{10'000};
constexpr milliseconds longest_wait{29'000};
/// Nodes that start together appear in the store within about half a second.
constexpr milliseconds node_watch_pause{500};
constexpr milliseconds store_timeout{1'500};
/// A target whose leave is not recorded within this time gets no acknowledgement, for which it
/// waits 1 s.
constexpr milliseconds leave_record_limit{600};
/// An announcement has some hundred bytes. A target in trouble may send bytes without end, and each
/// message is parsed at once, while all other connections wait.
constexpr std::size_t max_announcement_bytes = 64UL * 1024UL;
/// While the record of leaves cannot be read, the target's health check is asked at this interval.
constexpr milliseconds identify_interval{1'000};
/// A node that is silent for longer than this is considered lost, and its shares are released.
constexpr seconds forget_after{20};
/// Two failed readiness probes, one second apart, take a VM out of rotation; new requests may
/// arrive until then.
constexpr milliseconds readiness_delay{2'500};
/// Part of the grace period that is reserved for sending the last answers.
constexpr milliseconds shutdown_margin{600};
/// Time in which requests on the last accepted connections arrive.
constexpr milliseconds last_read_delay{100};
/// What is still open after this fraction of the grace period is logged.
constexpr double slow_stop_fraction = 0.8;
/// A round of events that takes longer is logged: callers and other nodes wait meanwhile.
constexpr milliseconds stall_limit{100};
/// Fractions of the fleet's retry budget that the nodes use in total. They are below 1 because
/// requests are counted at other times than retries, and lost nodes may have used their part.
constexpr double retry_ratio_fraction = 0.7;
constexpr double retry_reserve_fraction = 0.5;

http_service::events handle_requests(std::function<void(request_handle, http::request&)> handler) {
  return {
      .on_request = std::move(handler),
      .on_caller_gone = [](request_handle) {},
      .may_overlap = {},
  };
}

} // namespace

agent::agent(event::loop& loop, const settings& values)
    : loop_(loop), timers_(loop), settings_(values), incarnation_(random_id().low),
      log_(loop, values.name), rates_(values.first_start, incarnation_), budget_({}), crashes_({}),
      writer_(loop, values.store_address), health_(loop, values.upstream_address),
      leaves_(
          loop, values.store_address, values.name,
          [this](const adapter::leave_record& record) { ask_peers_to_record(record); }, log_,
          counters_),
      peer_leaves_(loop, values.store_address, log_, counters_), configuration_fetch_(incarnation_),
      started_(loop.now()) {
  set_retry_budget();
  rates_.set_tolerance(values.account_tolerance);
  fleet::network_options network;
  network.node = values.name;
  network.data_centre = values.data_centre;
  network.address = values.peer_address;
  network.listen_address = values.peer_listen_address;
  nodes_ = std::make_unique<fleet::network>(
      loop, network,
      fleet::network_events{
          .on_call = [this](std::uint64_t from,
                            fleet::call_frame call) { on_peer_call(from, std::move(call)); },
          .on_cancel = [this](std::uint64_t from,
                              std::uint64_t call) { on_peer_cancel(from, call); },
          .on_caller_gone = [this](std::uint64_t from) { on_peer_gone(from); },
          .on_status = [this](const fleet::status_frame& status) { on_status(status); },
          .on_load = [this](const fleet::node_entry& node, const fleet::load_frame& load,
                            bool near) { on_load(node, load, near); },
          .on_summary = [this](const fleet::digest_frame& digest) { on_summary(digest); },
          .on_crash_report =
              [this](const admission::crash_report& report) {
                crashes_.heard_report(loop_.now(), report);
              },
          .on_status_request = [this] { return make_status(false); },
          .on_configuration_request =
              [this](std::uint64_t known) -> std::optional<fleet::configuration_frame> {
            if (!configuration_ || configuration_->version() <= known) {
              return std::nullopt;
            }
            return fleet::configuration_frame{configuration_->version(), configuration_text_};
          },
          .on_configuration =
              [this](const fleet::configuration_frame& frame) {
                measure("apply_configuration", [&] { apply_configuration(frame.text, "node"); });
              },
          .on_leave =
              [this](std::uint64_t from, const std::string& node, const fleet::leave_frame& leave) {
                peer_leaves_.write(node, {leave.instance, leave.started, leave.left},
                                   [this, from, leave] { nodes_->answer(from, leave); });
              },
          .on_leave_recorded =
              [this](const fleet::leave_frame& leave) {
                leaves_.recorded_by_peer({leave.instance, leave.started, leave.left});
              },
          .on_link =
              [this](const fleet::node_entry& node, bool connected) {
                log_.state(log_line(connected ? "node_connected" : "node_lost")
                               .field("peer", node.name)
                               .field("address", to_string(node.address)));
                if (connected) {
                  auto status = make_status(false);
                  status.whole_usage = true;
                  status.accounts = rates_.whole();
                  nodes_->send(node.name, status);
                }
              },
      });
  executor_options executor;
  executor.target = values.upstream_address;
  executor.service = values.service;
  executor.drain_limit = values.drain_limit;
  target_ = std::make_unique<upstream_executor>(loop, executor, log_, crashes_, [this] {
    record_leave();
    send_crash_report();
    send_status();
  });
  callers_ = std::make_unique<http_service>(
      loop, http_service::events{
                .on_request = [this](request_handle from,
                                     http::request& it) { router_->on_request(from, it); },
                .on_caller_gone = [this](request_handle from) { router_->on_caller_gone(from); },
                .may_overlap = [this](const http::request& it) { return router_->may_overlap(it); },
            });
  readiness_ = std::make_unique<http_service>(
      loop, handle_requests([this](request_handle from, http::request&) { on_ready(from); }));
  announcements_ = std::make_unique<http_service>(
      loop, handle_requests(
                [this](request_handle from, http::request& it) { on_announcement(from, it); }));
  http_service_options announcing;
  announcing.limits.body_bytes = max_announcement_bytes;
  announcements_->set_options(announcing);
  metrics_ = std::make_unique<http_service>(
      loop, handle_requests([this](request_handle from, http::request&) { on_metrics(from); }));
  router_options routing;
  routing.node = values.name;
  routing.service = values.service;
  router_ = std::make_unique<router>(loop, routing, *callers_, *nodes_, *target_, rates_, budget_,
                                     admission_, demand_, crashes_, log_, counters_);
  configuration_mirror_ = std::make_unique<object_mirror>(
      loop, values.store_address, std::string(adapter::configuration_kind),
      adapter::read_freshness::current, [this] { return configuration_terms(); },
      object_mirror::events{
          .on_object =
              [this](const adapter::stored_object& object) {
                if (object.name == adapter::configuration_name) {
                  measure("apply_configuration",
                          [&] { apply_configuration(object.content, "store"); });
                }
              },
          .on_removed = [](const std::string&) {},
          .on_listed = [] {},
          .on_restored =
              [this](std::uint64_t era) {
                leaves_.restored();
                node_mirror_->restored(era);
              },
      },
      log_, counters_);
  node_mirror_ = std::make_unique<object_mirror>(
      loop, values.store_address, std::string(adapter::node_kind), adapter::read_freshness::stale,
      [] {
        return watch_terms{longest_wait, adapter::read_freshness::stale, node_watch_pause};
      },
      object_mirror::events{
          .on_object = [this](const adapter::stored_object& object) { on_node_object(object); },
          .on_removed =
              [this](const std::string& name) {
                if (name == settings_.name) {
                  own_object_.reset();
                  register_node();
                }
              },
          .on_listed =
              [this] {
                register_node();
                forget_lost_nodes();
              },
          .on_restored =
              [this](std::uint64_t era) {
                leaves_.restored();
                configuration_mirror_->restored(era);
              },
      },
      log_, counters_);
}

agent::~agent() {
  loop_.report_failures({});
  loop_.report_slow_rounds(stall_limit, {});
}

leaf::result<void> agent::start() {
  loop_.report_failures([this](std::string_view where, std::string_view what) {
    counters_.unexpected_error(where);
    log_.state(log_line("unexpected_error").field("where", where).field("what", what));
  });
  loop_.report_slow_rounds(stall_limit, [this](duration taken) { log_stall(taken); });
  BOOST_LEAF_CHECK(nodes_->listen());
  BOOST_LEAF_CHECK(callers_->listen(settings_.caller_address));
  BOOST_LEAF_CHECK(readiness_->listen(settings_.ready_address));
  BOOST_LEAF_CHECK(announcements_->listen(settings_.announce_address));
  if (settings_.metrics_address.port != 0) {
    BOOST_LEAF_CHECK(metrics_->listen(settings_.metrics_address));
  }
  log_.state(log_line("started")
                 .field("service", settings_.service)
                 .field("data_centre", settings_.data_centre)
                 .field("incarnation", static_cast<std::int64_t>(incarnation_ >> 1U)));
  configuration_mirror_->start();
  node_mirror_->start();
  leaves_.load([this](const auto& record, bool delayed) { on_leave_loaded(record, delayed); });
  timers_.after(identify_interval, [this] { identify_without_store(); });
  run_checks();
  end_load_interval();
  log_sent_bytes();
  return {};
}

void agent::reply(http_service& service, request_handle to, int status, const std::string& body,
                  const std::string& type) {
  http::response answer;
  answer.status = status;
  answer.reason = http::reason_phrase(status);
  if (!type.empty()) {
    answer.fields.add("Content-Type", type);
  }
  service.respond(to, http::serialize_head(answer), body);
}

void agent::on_ready(request_handle from) {
  reply(*readiness_, from, configuration_ && !leaving_ ? 200 : 503, "", "");
}

void agent::on_metrics(request_handle from) {
  counters_.set("configuration_version",
                configuration_ ? static_cast<double>(configuration_->version()) : 0);
  counters_.set("target_in_flight", static_cast<double>(target_->in_flight()));
  counters_.set("target_queued", static_cast<double>(target_->queued()));
  counters_.set("requests_in_flight", static_cast<double>(router_->in_flight()));
  for (std::size_t i = 0; i < nodes_->sent().within_data_centre.size(); ++i) {
    counters_.bytes_sent(fleet::type_name(i), "within_data_centre",
                         nodes_->sent().within_data_centre[i]);
    counters_.bytes_sent(fleet::type_name(i), "between_data_centres",
                         nodes_->sent().between_data_centres[i]);
  }
  counters_.set("caller_connections", static_cast<double>(callers_->connections()));
  reply(*metrics_, from, 200, counters_.exposition(), "text/plain; version=0.0.4");
}

void agent::on_announcement(request_handle from, http::request& message) {
  const auto call = adapter::match_announcement(message.method, message.target);
  if (!call) {
    reply(*announcements_, from, 404, "", "");
    return;
  }
  if (call->farewell) {
    if (target_->farewell(call->instance)) {
      acknowledge_announcement(from);
    } else {
      // Nothing keeps this leave, so it must not be acknowledged.
      reply(*announcements_, from, 503, "{}", "application/json");
    }
    return;
  }
  const auto value = adapter::parse_announcement(call->instance, message.body);
  if (!value) {
    log_.state(log_line("announcement_malformed").field("instance", call->instance));
    reply(*announcements_, from, 400, "", "");
    return;
  }
  accept_announcement(*value);
  acknowledge_announcement(from);
}

void agent::accept_announcement(const adapter::target_announcement& value) {
  const auto& held = held_announcement_;
  // A target that has left is silent, so that a late announcement is not followed by another one.
  const bool goes_on = leaves_.loaded() && held && held->instance == value.instance &&
                       held->started == value.started && held->sequence < value.sequence;
  if (!may_have_left() || target_->known() || value.leaving || goes_on) {
    target_->announced(value);
    return;
  }
  const auto order = [](const adapter::target_announcement& it) {
    return std::pair(it.started, it.sequence);
  };
  if (!held_announcement_ || order(*held_announcement_) < order(value)) {
    held_announcement_ = value;
  }
  if (leaves_.loaded()) {
    identify_target();
  }
}

void agent::acknowledge_announcement(request_handle from) {
  const auto acknowledge = [this, from](bool binding) {
    reply(*announcements_, from, binding ? 200 : 503, "{}", "application/json");
  };
  if (!target_->leave()) {
    acknowledge(true);
    return;
  }
  // The acknowledgement of a leave binds a later process of this node, too, which knows only what
  // the store holds. Without it this process uses the target no more all the same.
  record_leave();
  leaves_.when_stored(leave_record_limit, acknowledge);
}

void agent::ask_peers_to_record(const adapter::leave_record& record) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, node] : nodes_->nodes()) {
    if (nodes_->reachable(node)) {
      (node.data_centre == settings_.data_centre ? near : far).push_back(name);
    }
  }
  // One of each kind, since the store may be out of reach for a whole data centre.
  for (const auto& names : {near, far}) {
    if (!names.empty()) {
      nodes_->send(names[record_requests_ % names.size()],
                   fleet::leave_frame{record.instance, record.started, record.left});
    }
  }
  ++record_requests_;
}

void agent::record_leave() {
  if (const auto leave = target_->leave()) {
    leaves_.store(*leave);
  }
}

void agent::on_leave_loaded(const std::optional<adapter::leave_record>& record, bool delayed) {
  if (record) {
    log_.state(log_line("leave_recalled")
                   .field("instance", record->instance)
                   .field("started", record->started)
                   .field("left", record->left));
    target_->recalled(*record);
  }
  // A store that came back from an older copy has lost records, and one that answers late may not
  // have answered the process before. Only the first process of a fleet has no predecessor.
  leave_may_be_missing_ = !record && (delayed || !settings_.first_start);
  if (held_announcement_ && !may_have_left()) {
    target_->announced(*std::exchange(held_announcement_, std::nullopt));
  }
  identify_target();
}

void agent::apply_configuration(const std::string& text, const std::string& source) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, adapter::parse_configuration(text));
        if (configuration_ && value->version() < configuration_->version()) {
          log_.state(log_line("configuration_ignored")
                         .field("version", static_cast<std::int64_t>(value->version()))
                         .field("in_force", static_cast<std::int64_t>(configuration_->version()))
                         .field("source", source));
          return {};
        }
        if (configuration_ && value->version() == configuration_->version()) {
          return {};
        }
        configuration_ = value;
        configuration_text_ = text;
        rates_.set_accounts(loop_.now(), value->accounts());
        router_->set_configuration(value);
        http_service_options options;
        options.limits.head_bytes = value->limits().header_bytes;
        options.limits.body_bytes = value->limits().body_bytes;
        options.header_timeout = value->limits().header_timeout;
        options.idle_timeout = value->limits().idle_timeout;
        callers_->set_options(options);
        log_.state(log_line("configuration_in_force")
                       .field("version", static_cast<std::int64_t>(value->version()))
                       .field("source", source));
        if (leaves_.loaded()) {
          identify_target();
        }
        announce_load();
        return {};
      },
      [&](const parse_error& error) {
        log_.state(log_line("configuration_rejected").field("why", to_string(error)));
      },
      [&] { log_.state(log_line("configuration_rejected").field("why", "unknown error")); });
}

void agent::identify_without_store() {
  if (may_have_left() && !target_->known()) {
    identify_target();
    timers_.after(identify_interval, [this] { identify_without_store(); });
  }
}

void agent::identify_target() {
  const traffic::service* service =
      configuration_ ? configuration_->find_service(settings_.service) : nullptr;
  if (service == nullptr || target_->known() || health_.busy()) {
    return;
  }
  http::request probe;
  probe.method = "GET";
  probe.target = service->health_path;
  health_.call(std::move(probe), store_timeout, [this](const store_answer& answer) {
    if (answer.status == 200 && !answer.instance.empty()) {
      target_->identified(answer.instance);
      if (held_announcement_ && held_announcement_->instance == answer.instance) {
        target_->announced(*std::exchange(held_announcement_, std::nullopt));
      }
    }
  });
}

void agent::on_node_object(const adapter::stored_object& object) {
  if (object.name == settings_.name) {
    own_object_ = object;
    // A list may be older than this node's object; an outdated object is replaced now.
    register_node();
    return;
  }
  if (const auto record = adapter::parse_node_record(object.name, object.content)) {
    nodes_->add_listed_node(record->name, record->data_centre, record->address);
  } else {
    log_.state(log_line("node_object_malformed").field("name", object.name));
  }
}

watch_terms agent::configuration_terms() const {
  // The relays receive a new version at once and announce it. The other nodes fetch it from them,
  // and their own watch serves for the case that no relay reaches the store.
  if (nodes_->relay_rank()) {
    return {relay_configuration_wait, adapter::read_freshness::current, milliseconds(0)};
  }
  return {longest_wait, adapter::read_freshness::stale, milliseconds(0)};
}

void agent::register_node() {
  const adapter::node_record record{settings_.name, settings_.data_centre, settings_.peer_address};
  if (writer_.busy() || leaving_) {
    return;
  }
  if (own_object_ &&
      adapter::parse_node_record(own_object_->name, own_object_->content) == record) {
    return;
  }
  auto call = own_object_ ? adapter::replace_object(adapter::node_kind, settings_.name,
                                                    adapter::to_json(record), own_object_->revision)
                          : adapter::create_object(adapter::node_kind, settings_.name,
                                                   adapter::to_json(record));
  writer_.call(std::move(call), store_timeout, [this](const store_answer& answer) {
    counters_.store_call("written");
    log_.state(log_line("node_registered")
                   .field("status", answer.status)
                   .field("era", static_cast<std::int64_t>(answer.era)));
    configuration_mirror_->restored(answer.era);
    node_mirror_->restored(answer.era);
    if (answer.status == 200 || answer.status == 201 || answer.status == 409) {
      // The mirror delivers the current object, also after a conflict. A list of a restored store
      // that was read meanwhile lacks what the store wrote before.
      if (answer.era < node_mirror_->era()) {
        register_node();
      }
      return;
    }
    constexpr milliseconds pause{700};
    timers_.after(pause, [this] { register_node(); });
  });
}

void agent::on_peer_call(std::uint64_t connection, fleet::call_frame call) {
  const auto key = std::pair(connection, call.id);
  fleet::answer_frame refused;
  refused.id = call.id;
  refused.result = static_cast<std::uint8_t>(fleet::call_result::not_run);
  if (call.service != settings_.service) {
    refused.reason = "another service is here";
    nodes_->answer(connection, refused);
    return;
  }
  upstream_call work;
  work.request_id = std::move(call.request_id);
  work.route = std::move(call.route);
  work.head = std::move(call.head);
  work.body = std::move(call.body);
  work.deadline = loop_.now() + milliseconds(call.remaining_ms);
  work.objective = milliseconds(call.objective_ms);
  work.priority = call.priority;
  work.idempotent = call.idempotent;
  work.inner = call.inner;
  work.repeat = call.repeat;
  work.fingerprint = {call.fingerprint_high, call.fingerprint_low};
  peer_calls_[key] = 0;
  const auto id = target_->submit(std::move(work), [this, key](fleet::answer_frame answer) {
    answer.id = key.second;
    peer_calls_.erase(key);
    nodes_->answer(key.first, answer);
  });
  if (const auto found = peer_calls_.find(key); found != peer_calls_.end()) {
    found->second = id;
  }
}

void agent::on_peer_cancel(std::uint64_t connection, std::uint64_t call) {
  const auto found = peer_calls_.find({connection, call});
  if (found != peer_calls_.end()) {
    const auto id = found->second;
    peer_calls_.erase(found);
    target_->cancel(id);
  }
}

void agent::on_peer_gone(std::uint64_t connection) {
  std::vector<upstream_executor::call_id> ended;
  for (auto it = peer_calls_.lower_bound({connection, 0});
       it != peer_calls_.end() && it->first.first == connection;) {
    ended.push_back(it->second);
    it = peer_calls_.erase(it);
  }
  for (const auto it : ended) {
    target_->cancel(it);
  }
}

void agent::forget_lost_nodes() {
  std::size_t present = 1;
  for (const auto& [name, node] : nodes_->nodes()) {
    const time_point last = std::max(node.heard, started_);
    if (loop_.now() - last > forget_after) {
      rates_.forget_node(name);
    } else {
      ++present;
    }
  }
  if (node_mirror_->synchronised()) {
    rates_.set_fleet_size(present);
    nodes_present_ = present;
    set_retry_budget();
  }
}

void agent::set_retry_budget() {
  traffic::retry_budget::options options;
  options.ratio = settings_.retry_ratio * retry_ratio_fraction;
  options.reserve =
      settings_.retry_reserve * retry_reserve_fraction / static_cast<double>(nodes_present_);
  options.window = settings_.retry_window;
  budget_.set_options(options);
}

void agent::reload(const settings& values) {
  settings_.drain_limit = values.drain_limit;
  settings_.grace = values.grace;
  settings_.retry_ratio = values.retry_ratio;
  settings_.retry_reserve = values.retry_reserve;
  settings_.retry_window = values.retry_window;
  settings_.account_tolerance = values.account_tolerance;
  set_retry_budget();
  rates_.set_tolerance(values.account_tolerance);
  const bool restart_needed = values != settings_;
  log_.state(log_line("settings_reloaded").field("restart_needed", restart_needed ? 1 : 0));
}

void agent::measure(std::string_view part, const std::function<void()>& work) {
  const time_point began = event::loop::read_clock();
  work();
  const duration taken = event::loop::read_clock() - began;
  if (longest_part_.round != loop_.round() || taken > longest_part_.taken) {
    longest_part_ = {part, taken, loop_.round()};
  }
}

void agent::log_stall(duration taken) {
  counters_.loop_stalled(taken);
  log_line line("event_loop_stalled");
  line.field("ms", std::chrono::duration_cast<milliseconds>(taken).count());
  if (longest_part_.round == loop_.round()) {
    line.field("longest_part", longest_part_.name)
        .field("part_ms", std::chrono::duration_cast<milliseconds>(longest_part_.taken).count());
  }
  log_.state(line);
}

void agent::run_checks() {
  // Armed first, so that an exception below doesn't end the periodic work.
  timers_.after(check_interval, [this] { run_checks(); });
  target_->tick();
  if (++ticks_ % observe_every == 0) {
    measure("observe_calls", [this] { target_->observer().end_interval(loop_.now()); });
  }
  if (rates_.report_due() && loop_.now() - usage_sent_at_ >= early_report_pause) {
    report_usage();
  }
  fetch_configuration();
  log_.flush();
  if (leaving_) {
    check_shutdown();
  }
}

void agent::shut_down() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  leaving_since_ = loop_.now();
  log_.state(log_line("stopping")
                 .field("requests_in_flight", static_cast<std::int64_t>(router_->in_flight())));
  callers_->close_after_answers();
  send_status();
}

void agent::check_shutdown() {
  const duration elapsed = loop_.now() - leaving_since_;
  if (elapsed > settings_.grace / 2) {
    // A request accepted from now on could still be in flight at the end of the grace period.
    router_->refuse_new_requests();
  }
  const bool idle =
      router_->in_flight() == 0 && target_->in_flight() == 0 && !callers_->receiving();
  if (idle && elapsed > readiness_delay && !listening_ended_) {
    // Requests on connections that wait to be accepted are read and answered before the end.
    callers_->stop_listening();
    listening_ended_ = loop_.now();
  }
  const bool quiet = idle && listening_ended_ && loop_.now() - *listening_ended_ > last_read_delay;
  if (elapsed > settings_.grace * slow_stop_fraction && !slow_stop_logged_) {
    slow_stop_logged_ = true;
    log_.state(log_line("stopping_slowly")
                   .field("requests", static_cast<std::int64_t>(router_->in_flight()))
                   .field("at_target", static_cast<std::int64_t>(target_->in_flight()))
                   .field("queued", static_cast<std::int64_t>(target_->queued()))
                   .field("connections", static_cast<std::int64_t>(callers_->connections()))
                   .field("receiving", callers_->receiving() ? 1 : 0));
  }
  if (quiet || elapsed > settings_.grace - shutdown_margin) {
    log_.state(
        log_line("stopped").field("requests_cut", static_cast<std::int64_t>(router_->in_flight())));
    log_.flush();
    loop_.stop();
  }
}

} // namespace damaskledge::sidecar
