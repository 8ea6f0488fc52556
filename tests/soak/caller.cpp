#include "soak/caller.h"

#include "soak/soak.h"

namespace damaskledge::soak {

namespace {

constexpr milliseconds deadline{1'500};
/// A caller leaves this long after its deadline at the latest.
constexpr milliseconds patience{2'000};

} // namespace

caller::caller(surroundings& all, soak_run& run, vm& at, std::string account, std::string name)
    : all_(all), run_(run), vm_(at), account_(std::move(account)), name_(std::move(name)) {
  send_later();
}

void caller::send_later() {
  if (stopped_) {
    return;
  }
  std::exponential_distribution<double> pause(1.0 / static_cast<double>(pause_.count()));
  all_.loop.after(milliseconds(1 + static_cast<std::int64_t>(pause(all_.random))),
                  [this] { send(); });
}

void caller::send() {
  if (!stream_ || stream_->closed()) {
    event::stream_options options;
    options.silence_timeout = seconds(10);
    stream_ = std::make_unique<event::stream>(all_.loop, vm_.caller_address(), options);
    stream_->handle({{}, [this] { on_data(); }, [this](event::close_reason) { on_closed(); }});
  }
  const std::uint64_t kind = all_.random() % 4;
  const bool once = kind >= 2;
  const std::string path = kind == 0   ? "/front/read/x"
                           : kind == 1 ? "/deep/read/x"
                           : kind == 2 ? "/front/once/x"
                                       : "/deep/once/x";
  id_ = name_ + "-" + std::to_string(++sent_);
  request_record record;
  record.id = id_;
  record.vm = vm_.number();
  record.account = account_;
  record.key = key_;
  record.once = once;
  record.in_touch = vm_.in_touch() && run_.store_stable();
  all_.seen.sent(all_.loop.now(), std::move(record));
  reader_.start(false);
  const std::string body = once ? "deposit " + id_ : "";
  stream_->send(std::string(once ? "POST " : "GET ") + path +
                " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id_ +
                "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\nX-Key: " + key_ +
                "\r\nX-Tenant: forged\r\nX-Caller-Service: forged\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  patience_ = all_.loop.after(patience, [this] {
    patience_ = 0;
    stream_->close();
    finish(0, false);
  });
}

void caller::on_data() {
  if (id_.empty()) {
    all_.seen.violated(all_.loop.now(), "whole answers", name_ + " got bytes it did not ask for");
    stream_->close();
    return;
  }
  const auto state = reader_.feed(stream_->input());
  if (state == http::read_state::failed) {
    all_.seen.violated(all_.loop.now(), "whole answers", id_ + " got bytes that are no answer");
    stream_->close();
    finish(0, false);
    return;
  }
  if (state != http::read_state::complete) {
    return;
  }
  const auto& answer = reader_.message();
  const std::string* id = answer.fields.find("X-Request-Id");
  const std::string* stamp = answer.fields.find("X-Response-Stamp");
  const bool whole = id != nullptr && *id == id_ && stamp != nullptr && *stamp == "stamp-" + id_ &&
                     answer.body == "body of " + id_;
  const int status = answer.status;
  if (!answer.keep_alive) {
    stream_->close();
  }
  finish(status, whole);
}

void caller::on_closed() {
  if (id_.empty()) {
    return;
  }
  const request_record* it = all_.seen.find(id_);
  if (it != nullptr && it->runs > 0 && run_.calm()) {
    all_.seen.violated(all_.loop.now(), "answers are delivered",
                       id_ + " has run and its connection ended without an answer");
  }
  finish(0, false);
}

void caller::finish(int status, bool whole) {
  all_.loop.cancel(patience_);
  patience_ = 0;
  all_.seen.answered(all_.loop.now(), id_, status, whole);
  id_.clear();
  send_later();
}

} // namespace damaskledge::soak
