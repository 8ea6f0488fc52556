#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include "http/http.h"
#include "platform/http_answer.h"
#include "platform/platform.h"

namespace damaskledge::platform {

namespace {

using Poco::Net::HTTPResponse;

constexpr std::size_t kind_count = std::variant_size_v<call>;
constexpr std::size_t result_count = std::variant_size_v<answer>;
/// Connections kept per endpoint while nothing uses them.
constexpr std::size_t max_idle_connections = 8;
/// Servers commonly close connections after 15 s or more without a request; reusing one
/// that is about to be closed loses the answer.
constexpr seconds max_idle_time{5};
/// Bound on the head of an answer.
constexpr std::size_t max_answer_head_bytes = 64UL * 1024UL;
/// Sends of one write, including the one whose answer was lost.
constexpr int max_write_sends = 2;

/// What became of one HTTP exchange.
enum class exchange_state : std::uint8_t {
  /// Nothing was sent.
  not_sent,
  /// The request may have reached the server, but there is no usable answer.
  lost,
  /// `status` and the other members are valid.
  answered
};

struct exchange_result {
  exchange_state state = exchange_state::not_sent;
  int status = 0;
  /// Version of a valid ETag; 0 when there is none.
  std::uint64_t version = 0;
  std::uint64_t era = 1;
  milliseconds retry_after{0};
  std::string body;
  std::string reason;
};

struct request_parts {
  std::string method;
  std::string path;
  std::string condition_name;
  std::string condition_value;
  std::string body;
  milliseconds timeout{0};
};

struct idle_connection {
  std::unique_ptr<http::client_connection> connection;
  time_point since;
};

struct endpoint_state {
  endpoint address;
  backoff pause;
  std::vector<idle_connection> idle;
};

std::string object_path(std::string_view name) {
  // Everything with a meaning in a URI except '/', which separates the parts of a name.
  std::string encoded;
  Poco::URI::encode(std::string(name), "?#:;+@&=", encoded);
  return "/v1/objects/" + encoded;
}

std::string quoted(std::uint64_t version) {
  return "\"" + std::to_string(stored_version(version)) + "\"";
}

milliseconds until(time_point then, time_point now) {
  return std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(then - now));
}

Poco::Timespan to_timespan(milliseconds value) {
  return {std::max<Poco::Timespan::TimeDiff>(1, value.count()) * Poco::Timespan::MILLISECONDS};
}

} // namespace

std::string_view to_string(call_kind kind) {
  constexpr std::array<std::string_view, kind_count> names{"read", "write", "erase", "watch"};
  return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(call_result result) {
  constexpr std::array<std::string_view, result_count> names{
      "found", "absent", "conflict", "unchanged", "unavailable", "unresolved"};
  return names.at(static_cast<std::size_t>(result));
}

class http_client::implementation {
 public:
  implementation(const std::vector<endpoint>& endpoints, milliseconds timeout,
                 double calls_per_second, std::uint64_t seed, endpoint_predicate refuse)
      : timeout_(timeout), refuse_(std::move(refuse)),
        budget_(calls_per_second, clock_type::now()) {
    for (const endpoint& it : endpoints) {
      const std::string text = to_string(it);
      endpoints_.push_back({it, backoff(hash64(text) ^ seed), {}});
    }
  }

  answer execute(const call& what) {
    answer result = make(what);
    counts_[what.index() * result_count + result.index()].fetch_add(1);
    return result;
  }

  void stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (http::client_connection* it : active_) {
      try {
        it->socket().shutdown();
      } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
        // The peer has closed the connection already; the call ends by itself.
      }
    }
  }

  [[nodiscard]] std::vector<call_count> counts() const {
    std::vector<call_count> result;
    for (std::size_t it = 0; it < counts_.size(); ++it) {
      if (const std::uint64_t n = counts_.at(it).load(); n > 0) {
        result.push_back({static_cast<call_kind>(it / result_count),
                          static_cast<call_result>(it % result_count), n});
      }
    }
    return result;
  }

 private:
  answer make(const call& what) {
    {
      const std::lock_guard lock(mutex_);
      if (const duration wait = budget_.take(clock_type::now()); wait > duration{0}) {
        return unavailable{"the calls per second allowed by platform_calls_per_second are used up",
                           std::chrono::ceil<milliseconds>(wait)};
      }
    }
    return std::visit([this](const auto& it) { return perform(it); }, what);
  }

  answer perform(const read& what) {
    const exchange_result it = get(what.name, false);
    return from_get(what.name, it);
  }

  answer perform(const watch& what) {
    if (what.known_version > 0 && (may_be_restored_ || era_of(what.known_version) < era_)) {
      const exchange_result now = get(what.name, false);
      answer result = from_get(what.name, now);
      const auto* value = std::get_if<found>(&result);
      if (value == nullptr || value->value.version > what.known_version) {
        return result;
      }
    }
    const exchange_result it = exchange_in_turn(
        {"GET",
         object_path(what.name) + "?watch=" + std::to_string(stored_version(what.known_version)) +
             "&timeout_ms=" + std::to_string(std::max<std::int64_t>(0, what.timeout.count())),
         "", "", "", what.timeout + watch_margin},
        false, false);
    if (it.state == exchange_state::answered && it.status == HTTPResponse::HTTP_NOT_MODIFIED) {
      return unchanged{};
    }
    answer result = from_get(what.name, it);
    if (const auto* value = std::get_if<found>(&result);
        value != nullptr && value->value.version <= what.known_version) {
      // A replica of the platform that lags. The caller would otherwise ask again at once.
      return unavailable{"the watch returned a version that is not newer", timeout_};
    }
    return result;
  }

  answer perform(const erase& what) {
    const exchange_result it = exchange_in_turn(
        {"DELETE", object_path(what.name), "If-Match", quoted(what.expected_version), "", timeout_},
        false, false);
    if (it.state == exchange_state::lost) {
      const exchange_result now = get(what.name, true);
      if (now.state == exchange_state::answered && now.status == HTTPResponse::HTTP_NOT_FOUND) {
        return absent{now.era};
      }
      if (now.state == exchange_state::answered && now.status == HTTPResponse::HTTP_OK &&
          now.version > what.expected_version) {
        return conflict{{what.name, now.version, now.body}};
      }
      return unresolved{it.reason};
    }
    if (it.state == exchange_state::not_sent || refused(it.status)) {
      return unavailable{it.reason, it.retry_after};
    }
    switch (it.status) {
    case HTTPResponse::HTTP_OK:
    case HTTPResponse::HTTP_NO_CONTENT:
    case HTTPResponse::HTTP_NOT_FOUND:
      return absent{it.era};
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
      return conflict{current(what.name)};
    default:
      return unavailable{
          "the platform answered the removal with status " + std::to_string(it.status), timeout_};
    }
  }

  answer perform(const write& what) {
    const std::string own_id = write_id_of(what.content);
    std::string reason;
    if (what.expected_version > 0 && era_of(what.expected_version) < era_) {
      // The version may have been given out again, to another content.
      return conflict{current(what.name)};
    }
    for (int sends = 0; sends < max_write_sends; ++sends) {
      const bool again = sends > 0;
      const exchange_result it = put(what, again);
      if (it.state == exchange_state::answered) {
        if (it.status == HTTPResponse::HTTP_OK || it.status == HTTPResponse::HTTP_CREATED) {
          if (it.version > what.expected_version) {
            return found{{what.name, it.version, what.content}};
          }
          reason = "the answer to the write has a version that is not newer";
        } else if (it.status == HTTPResponse::HTTP_PRECONDITION_FAILED) {
          object now = current(what.name);
          if (now.version > 0 && !own_id.empty() && write_id_of(now.content) == own_id) {
            return found{std::move(now)};
          }
          return conflict{std::move(now)};
        } else if (again) {
          // The first copy of the write may still take effect.
          return unresolved{it.reason};
        } else if (refused(it.status)) {
          return unavailable{it.reason, it.retry_after};
        } else {
          return unavailable{
              "the platform answered the write with status " + std::to_string(it.status), timeout_};
        }
      } else if (it.state == exchange_state::not_sent) {
        if (again) {
          return unresolved{it.reason};
        }
        return unavailable{it.reason, it.retry_after};
      } else {
        reason = it.reason;
      }

      const exchange_result seen = get(what.name, true);
      if (seen.state != exchange_state::answered ||
          (seen.status != HTTPResponse::HTTP_OK && seen.status != HTTPResponse::HTTP_NOT_FOUND)) {
        return unresolved{reason + "; reading it back: " + seen.reason};
      }
      if (seen.status == HTTPResponse::HTTP_OK && seen.version > what.expected_version) {
        object now{what.name, seen.version, seen.body};
        if (!own_id.empty() && write_id_of(now.content) == own_id) {
          return found{std::move(now)};
        }
        return conflict{std::move(now)};
      }
    }
    return unresolved{reason};
  }

  static answer from_get(const std::string& name, const exchange_result& it) {
    if (it.state != exchange_state::answered || refused(it.status)) {
      return unavailable{it.reason, it.retry_after};
    }
    switch (it.status) {
    case HTTPResponse::HTTP_OK:
      return found{{name, it.version, it.body}};
    case HTTPResponse::HTTP_NOT_FOUND:
      return absent{it.era};
    default:
      return unavailable{"the platform answered with status " + std::to_string(it.status),
                         backoff::highest_bound};
    }
  }

  exchange_result put(const write& what, bool follow_up) {
    request_parts parts{"PUT", object_path(what.name), "If-None-Match",
                        "*",   what.content,           timeout_};
    if (stored_version(what.expected_version) > 0) {
      parts.condition_name = "If-Match";
      parts.condition_value = quoted(what.expected_version);
    }
    return exchange_in_turn(parts, false, follow_up);
  }

  exchange_result get(const std::string& name, bool follow_up) {
    return exchange_in_turn({"GET", object_path(name), "", "", "", timeout_}, true, follow_up);
  }

  /// @return the object as it is now; version 0 when it cannot be read or does not exist.
  object current(const std::string& name) {
    const exchange_result it = get(name, true);
    if (it.state == exchange_state::answered && it.status == HTTPResponse::HTTP_OK) {
      return {name, it.version, it.body};
    }
    return {name, 0, {}};
  }

  /// Tries the endpoints in turn, from the one that answered last.
  /// @param repeatable goes on to the next endpoint after a lost answer too.
  /// @param follow_up part of a call that has been sent already: it is charged to the
  /// budget without waiting, and does not wait for the backoff of an endpoint either.
  exchange_result exchange_in_turn(const request_parts& parts, bool repeatable, bool follow_up) {
    std::size_t first = 0;
    {
      const std::lock_guard lock(mutex_);
      first = preferred_;
      if (follow_up) {
        budget_.charge(clock_type::now());
      }
    }
    exchange_result result;
    result.reason = "no platform endpoint is configured";
    std::optional<time_point> earliest;
    for (std::size_t it = 0; it < endpoints_.size(); ++it) {
      const std::size_t index = (first + it) % endpoints_.size();
      endpoint_state& target = endpoints_[index];
      const time_point now = clock_type::now();
      {
        const std::lock_guard lock(mutex_);
        if (stopped_) {
          result.reason = "the platform client is stopped";
          return result;
        }
        const time_point retry_at = target.pause.retry_at();
        if (!follow_up && retry_at > now) {
          earliest = earliest ? std::min(*earliest, retry_at) : retry_at;
          result.reason =
              "the platform at " + to_string(target.address) + " failed and is not tried again yet";
          continue;
        }
      }
      if (refuse_ && refuse_(target.address)) {
        result.reason = "no connection to " + to_string(target.address) + ": cut for a test";
        note_failure(target, milliseconds{0}, earliest);
        continue;
      }
      exchange_result answered = exchange(target, parts);
      note_era(answered);
      if (answered.state == exchange_state::answered && refuse_ && refuse_(target.address)) {
        answered = {exchange_state::lost,
                    0,
                    0,
                    1,
                    milliseconds{0},
                    "",
                    "no answer from " + to_string(target.address) + ": cut for a test"};
      }
      if (answered.state == exchange_state::answered && !refused(answered.status)) {
        const std::lock_guard lock(mutex_);
        target.pause.succeeded();
        preferred_ = index;
        return answered;
      }
      const milliseconds asked = answered.retry_after;
      std::optional<time_point> retry_at;
      note_failure(target, asked, retry_at);
      answered.retry_after = until(*retry_at, clock_type::now());
      if (answered.state == exchange_state::answered) {
        // A refusal speaks for the whole platform; asking elsewhere would evade its limit.
        return answered;
      }
      if (answered.state == exchange_state::lost && !repeatable) {
        return answered;
      }
      earliest = earliest ? std::min(*earliest, *retry_at) : *retry_at;
      result = std::move(answered);
    }
    result.retry_after = earliest ? until(*earliest, clock_type::now()) : backoff::highest_bound;
    return result;
  }

  void note_era(const exchange_result& result) {
    const bool answered = result.state == exchange_state::answered && !refused(result.status);
    if (answered) {
      const std::lock_guard lock(mutex_);
      era_ = std::max<std::uint64_t>(era_, result.era);
    }
    may_be_restored_ = !answered;
  }

  void note_failure(endpoint_state& target, milliseconds asked,
                    std::optional<time_point>& earliest) {
    const std::lock_guard lock(mutex_);
    const time_point retry_at = target.pause.failed(clock_type::now(), asked);
    earliest = earliest ? std::min(*earliest, retry_at) : retry_at;
  }

  /// @return a kept connection that the server has not closed, or nothing.
  std::unique_ptr<http::client_connection> take_idle(endpoint_state& target) {
    const std::lock_guard lock(mutex_);
    const time_point now = clock_type::now();
    while (!target.idle.empty()) {
      idle_connection it = std::move(target.idle.back());
      target.idle.pop_back();
      if (now - it.since <= max_idle_time && !it.connection->stale()) {
        return std::move(it.connection);
      }
    }
    return nullptr;
  }

  /// One HTTP exchange with one endpoint. Never throws.
  exchange_result exchange(endpoint_state& target, const request_parts& parts) {
    exchange_result result;
    std::unique_ptr<http::client_connection> connection;
    const time_point deadline = clock_type::now() + parts.timeout;
    try {
      connection = take_idle(target);
      if (!connection) {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(target.address.address, target.address.port),
                       to_timespan(std::min(parts.timeout, timeout_)));
        socket.setNoDelay(true);
        connection = std::make_unique<http::client_connection>(
            socket, http::message_limits{max_answer_head_bytes, max_answer_bytes});
      }
    } catch (const Poco::Exception& error) {
      result.reason = "no connection to " + to_string(target.address) + ": " + error.displayText();
      return result;
    }
    if (!activate(connection.get())) {
      result.reason = "the platform client is stopped";
      return result;
    }
    bool reusable = false;
    try {
      result.state = exchange_state::lost;
      connection->send(make_request(target.address, parts), deadline);
      const auto failure = connection->receive(deadline);
      http::response& response = connection->message();
      result.reason = failure ? http::to_string(*failure) : check_body(response);
      if (result.reason.empty()) {
        accept(response, result);
        result.body = std::move(response.body);
        reusable = result.state == exchange_state::answered && connection->reusable();
      }
    } catch (const Poco::Exception& error) {
      result.reason = error.displayText();
    } catch (const std::exception& error) {
      result.reason = error.what();
    }
    if (result.state == exchange_state::lost) {
      result.reason = "no usable answer from " + to_string(target.address) + ": " + result.reason;
    }
    release(target, std::move(connection), reusable);
    return result;
  }

  static http::outgoing_request make_request(const endpoint& to, const request_parts& parts) {
    http::outgoing_request request{parts.method, parts.path, {}, parts.body};
    request.fields.add("Host", to_string(to));
    if (!parts.condition_name.empty()) {
      request.fields.add(parts.condition_name, parts.condition_value);
    }
    if (parts.method == "PUT") {
      request.fields.add("Content-Type", "application/json");
    }
    return request;
  }

  /// Takes over what the head of a complete response says.
  static void accept(const http::response& response, exchange_result& result) {
    answer_head head = check_head(response);
    result.status = head.status;
    result.version = head.version;
    result.era = head.era;
    result.retry_after = head.retry_after;
    result.reason = std::move(head.reason);
    if (head.usable) {
      result.state = exchange_state::answered;
    }
  }

  bool activate(http::client_connection* connection) {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return false;
    }
    active_.insert(connection);
    return true;
  }

  void release(endpoint_state& target, std::unique_ptr<http::client_connection> connection,
               bool reusable) {
    const std::lock_guard lock(mutex_);
    active_.erase(connection.get());
    if (reusable && !stopped_ && target.idle.size() < max_idle_connections) {
      target.idle.push_back({std::move(connection), clock_type::now()});
    }
  }

  const milliseconds timeout_;
  const endpoint_predicate refuse_;
  /// Guards all members below except the counters; never held during input or output.
  std::mutex mutex_;
  call_budget budget_;
  std::vector<endpoint_state> endpoints_;
  std::size_t preferred_ = 0;
  bool stopped_ = false;
  std::set<http::client_connection*> active_;
  /// Latest era that an answer has shown.
  std::atomic<std::uint64_t> era_{1};
  /// The last call failed.
  std::atomic<bool> may_be_restored_{false};
  std::array<std::atomic<std::uint64_t>, kind_count * result_count> counts_{};
};

http_client::http_client(std::unique_ptr<implementation> value)
    : implementation_(std::move(value)) {}

http_client::~http_client() = default;

answer http_client::execute(const call& what) {
  return implementation_->execute(what);
}

void http_client::stop() {
  implementation_->stop();
}

std::vector<call_count> http_client::counts() const {
  return implementation_->counts();
}

http_client::builder& http_client::builder::endpoints(std::vector<endpoint> value) {
  endpoints_ = std::move(value);
  return *this;
}

http_client::builder& http_client::builder::timeout(milliseconds value) {
  timeout_ = value;
  return *this;
}

http_client::builder& http_client::builder::calls_per_second(double value) {
  calls_per_second_ = value;
  return *this;
}

http_client::builder& http_client::builder::seed(std::uint64_t value) {
  seed_ = value;
  return *this;
}

http_client::builder& http_client::builder::refuse(endpoint_predicate value) {
  refuse_ = std::move(value);
  return *this;
}

std::unique_ptr<http_client> http_client::builder::build() const {
  return std::unique_ptr<http_client>(new http_client(
      std::make_unique<implementation>(endpoints_, timeout_, calls_per_second_, seed_, refuse_)));
}

} // namespace damaskledge::platform
