#include "sidecar/store_client.h"

#include <algorithm>
#include <random>
#include <utility>

namespace damaskledge::sidecar {

namespace {

/// The store usually answers within 4 ms, and within 1 s when it is slow.
constexpr milliseconds call_timeout{1'500};
/// A watch that takes longer than its wait by this much is treated as hung.
constexpr milliseconds watch_margin{1'000};
/// Wait of the first watch after a failed call, whose answer tells whether the revision is still
/// valid. A restored store gives out revisions again, and then accepts those of before.
constexpr milliseconds resuming_wait{1};
/// Stale data may be some seconds old, so for this long it may show the store before a restoration.
constexpr milliseconds stale_data_age{10'000};
/// A connection is closed when the store's TCP stack has not responded for this long. TCP
/// keep-alive allows no shorter time.
constexpr milliseconds store_silence{2'000};

} // namespace

store_channel::~store_channel() {
  loop_.cancel(timer_);
}

void store_channel::open() {
  event::stream_options options;
  options.silence_timeout = store_silence;
  options.read_limit = 8UL * 1024UL * 1024UL;
  stream_ = std::make_unique<event::stream>(loop_, store_, options);
  stream_->handle({
      .on_connected = {},
      .on_data =
          [this] {
            if (!done_) {
              // Unsolicited data must not be read as the answer to the next call.
              finish({}, false);
              return;
            }
            const auto state = reader_.feed(stream_->input());
            if (state == http::read_state::failed) {
              finish({}, false);
            } else if (state == http::read_state::complete) {
              const bool keep = reader_.message().keep_alive && !reader_.until_close() &&
                                stream_->input().empty();
              finish(take_answer(), keep);
            }
          },
      .on_closed =
          [this](event::close_reason reason) {
            if (reason == event::close_reason::end_of_stream && done_ &&
                reader_.end_of_stream() == http::read_state::complete) {
              finish(take_answer(), false);
            } else {
              finish({}, false);
            }
          },
  });
}

void store_channel::call(http::request value, milliseconds timeout, completion done) {
  done_ = std::move(done);
  if (!stream_ || stream_->closed()) {
    open();
  }
  reader_.start(false);
  value.fields.add("Host", to_string(store_));
  std::string wire = http::serialize_head(value);
  if (!value.body.empty()) {
    wire += "Content-Length: " + std::to_string(value.body.size()) + "\r\n";
  }
  wire += "\r\n";
  wire += value.body;
  timer_ = loop_.after(timeout, [this] { finish({}, false); });
  stream_->send(wire);
}

void store_channel::cancel() {
  done_ = nullptr;
  finish({}, false);
}

store_answer store_channel::take_answer() {
  auto& message = reader_.message();
  const std::string* instance = message.fields.find(adapter::header::instance);
  const std::string* era = message.fields.find(adapter::header::store_era);
  return {message.status, std::move(message.body), instance == nullptr ? "" : *instance,
          era == nullptr ? 0 : http::parse_number(*era).value_or(0)};
}

void store_channel::finish(store_answer answer, bool keep) {
  loop_.cancel(timer_);
  if (!keep && stream_) {
    stream_->close();
    loop_.defer([old = std::shared_ptr<event::stream>(std::move(stream_))] {});
  }
  auto done = std::exchange(done_, nullptr);
  if (done) {
    done(std::move(answer));
  }
}

milliseconds backoff::next() {
  static std::minstd_rand random{std::random_device{}()};
  const milliseconds result(
      std::uniform_int_distribution<std::int64_t>(current_.count() / 2, current_.count())(random));
  current_ = std::min(current_ * 2, last);
  return result;
}

object_mirror::object_mirror(event::loop& loop, const endpoint& store, std::string kind,
                             adapter::read_freshness list_freshness,
                             std::function<watch_terms()> terms, events callbacks, event_log& log,
                             instruments& counters)
    : timers_(loop), channel_(loop, store), kind_(std::move(kind)), list_freshness_(list_freshness),
      terms_(std::move(terms)), callbacks_(std::move(callbacks)), log_(log), counters_(counters) {}

void object_mirror::list(const std::string& after) {
  channel_.call(adapter::list_objects(kind_, after, list_freshness_), call_timeout,
                [this](const store_answer& answer) { on_page(answer); });
}

bool object_mirror::era_changed(const std::string& call, const store_answer& answer) {
  if (answer.era == 0 || answer.era == era_) {
    return false;
  }
  const std::uint64_t before = era_;
  set_era(call, answer.era);
  if (before == 0) {
    return false;
  }
  if (answer.era > before) {
    callbacks_.on_restored(answer.era);
  }
  return true;
}

void object_mirror::set_era(const std::string& call, std::uint64_t era) {
  if (era_ != 0) {
    log_.state(log_line("store_restored")
                   .field("kind", kind_)
                   .field("call", call)
                   .field("era", static_cast<std::int64_t>(era))
                   .field("era_before", static_cast<std::int64_t>(era_))
                   .field("revision", static_cast<std::int64_t>(revision_)));
    list_freshness_ = adapter::read_freshness::current;
    list_needed_ = true;
    ++recent_restorations_;
    timers_.after(stale_data_age, [this] { --recent_restorations_; });
  }
  era_ = era;
  counters_.set("store_era", static_cast<double>(era_));
}

void object_mirror::restored(std::uint64_t era) {
  if (era <= era_) {
    return;
  }
  const bool known = era_ != 0;
  set_era("other", era);
  if (known && channel_.busy()) {
    channel_.cancel();
    waiting_watch_.reset();
    proceed();
  }
}

void object_mirror::proceed() {
  if (list_needed_) {
    listed_names_.clear();
    listed_revision_.reset();
    list("");
  } else {
    watch();
  }
}

void object_mirror::proceed_after(milliseconds pause) {
  timers_.after(pause, [this] { proceed(); });
}

void object_mirror::note_available() {
  if (!available_) {
    available_ = true;
    log_.state(log_line("store_regained")
                   .field("kind", kind_)
                   .field("era", static_cast<std::int64_t>(era_))
                   .field("revision", static_cast<std::int64_t>(revision_)));
  }
}

void object_mirror::retry_later(const std::string& what, int status) {
  counters_.store_call("failed");
  if (available_) {
    available_ = false;
    log_.state(
        log_line("store_lost").field("kind", kind_).field("call", what).field("status", status));
  }
  resuming_ = true;
  proceed_after(backoff_.next());
}

void object_mirror::on_page(const store_answer& answer) {
  const bool restored = era_changed("list", answer);
  const auto page = answer.status == 200 ? adapter::parse_page(answer.body) : std::nullopt;
  if (!page) {
    list_needed_ = true;
    retry_later("list", answer.status);
    return;
  }
  counters_.store_call("listed");
  if (restored) {
    // Pages of two copies are not one list, and a stale page may show the older one.
    proceed_after(backoff_.next());
    return;
  }
  if (!listed_revision_) {
    listed_revision_ = page->revision;
  }
  for (const auto& it : page->objects) {
    listed_names_.insert(it.name);
    callbacks_.on_object(it);
  }
  if (page->has_more && !page->objects.empty()) {
    list(page->objects.back().name);
    return;
  }
  // An object may change after its page was read and before the last page.
  revision_ = *listed_revision_;
  note_available();
  list_needed_ = false;
  resuming_ = false;
  synchronised_ = true;
  take_listed_names();
  callbacks_.on_listed();
  watch();
}

void object_mirror::take_listed_names() {
  const auto before = std::exchange(names_, std::exchange(listed_names_, {}));
  for (const auto& it : before) {
    if (!names_.contains(it)) {
      callbacks_.on_removed(it);
    }
  }
}

void object_mirror::watch() {
  watch_terms terms = terms_();
  if (resuming_) {
    log_.state(log_line("watch_resumed")
                   .field("kind", kind_)
                   .field("era", static_cast<std::int64_t>(era_))
                   .field("revision", static_cast<std::int64_t>(revision_)));
    terms.wait = resuming_wait;
  }
  if (resuming_ || recent_restorations_ > 0) {
    terms.freshness = adapter::read_freshness::current;
  }
  waiting_watch_ = terms.freshness;
  channel_.call(adapter::watch_objects(kind_, revision_, terms.wait, terms.freshness),
                terms.wait + watch_margin,
                [this](const store_answer& answer) { on_changes(answer); });
}

void object_mirror::renew_watch() {
  if (waiting_watch_ == adapter::read_freshness::stale &&
      terms_().freshness == adapter::read_freshness::current) {
    channel_.cancel();
    watch();
  }
}

void object_mirror::on_changes(const store_answer& answer) {
  waiting_watch_.reset();
  const std::uint64_t era_before = era_;
  if (era_changed("watch", answer)) {
    if (answer.status == 200 && era_ > era_before) {
      proceed();
    } else {
      proceed_after(backoff_.next());
    }
    return;
  }
  if (answer.status == 410) {
    log_.state(log_line("store_history_gone")
                   .field("kind", kind_)
                   .field("revision", static_cast<std::int64_t>(revision_)));
    // A stale list may be older than the history that the store has kept, so that its revision
    // could not be watched either.
    list_freshness_ = adapter::read_freshness::current;
    list_needed_ = true;
    proceed_after(backoff_.next());
    return;
  }
  const auto page = answer.status == 200 ? adapter::parse_changes(answer.body) : std::nullopt;
  if (!page) {
    retry_later("watch", answer.status);
    return;
  }
  counters_.store_call("watched");
  backoff_.reset();
  resuming_ = false;
  revision_ = std::max(revision_, page->revision);
  note_available();
  for (const auto& it : page->changes) {
    if (it.removed) {
      names_.erase(it.object.name);
      callbacks_.on_removed(it.object.name);
    } else {
      names_.insert(it.object.name);
      callbacks_.on_object(it.object);
    }
  }
  if (const auto pause = terms_().pause; !page->changes.empty() && pause > milliseconds(0)) {
    proceed_after(pause);
  } else {
    watch();
  }
}

} // namespace damaskledge::sidecar
