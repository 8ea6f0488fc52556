#include <algorithm>
#include <utility>

#include "node/control_plane.h"

namespace damaskledge::node {

namespace {

/// Share of the remaining time that one claim writer may use, so that another can be asked.
constexpr int writer_time_divisor = 2;
constexpr milliseconds max_writer_time{2'000};
constexpr milliseconds release_time{250};

} // namespace

claims::claim_result control_plane::claim(const id128& operation, std::uint64_t body_hash,
                                          const id128& request, time_point deadline) {
  std::vector<endpoint> writers;
  {
    const std::lock_guard lock(core_mutex_);
    writers = core_.claim_writers(operation);
  }
  std::vector<endpoint> asked;
  claims::claim_result result;
  for (const endpoint& writer : writers) {
    const time_point now = clock_type::now();
    if (now >= deadline) {
      break;
    }
    const time_point give_up =
        now + std::min<duration>((deadline - now) / writer_time_divisor, max_writer_time);
    auto pending = std::make_shared<pending_claim>();
    std::unique_lock lock(claims_mutex_);
    const std::uint64_t sequence = ++claim_sequence_;
    pending_claims_[sequence] = pending;
    lock.unlock();
    transport_->send({writer, wire::transport::stream,
                      wire::claim_request{sequence, operation, body_hash, request}});
    lock.lock();
    pending->wake.wait_until(lock, give_up, [&] { return pending->reply.has_value(); });
    pending_claims_.erase(sequence);
    asked.push_back(writer);
    if (!pending->reply) {
      continue;
    }
    const wire::claim_reply& reply = *pending->reply;
    result = {reply.decision, reply.status, reply.content_type, reply.answer, reply.answer_kept};
    if (reply.decision != wire::claim_decision::unavailable &&
        reply.decision != wire::claim_decision::not_writer) {
      break;
    }
  }
  if (result.decision != wire::claim_decision::granted) {
    // A writer that did not answer, or could not tell the fate of its write, may still record the
    // claim. The request will not run, so the record must go or a later submission would be
    // refused. A release removes only the claim of this request.
    for (const endpoint& writer : asked) {
      wire::claim_finish release;
      release.operation = operation;
      release.request = request;
      release.released = true;
      transport_->send({writer, wire::transport::stream, release});
    }
  }
  return result;
}

void control_plane::finish_claim(const wire::claim_finish& finish, bool wait, time_point deadline) {
  std::vector<endpoint> writers;
  {
    const std::lock_guard lock(core_mutex_);
    writers = core_.claim_writers(finish.operation);
  }
  for (const endpoint& writer : writers) {
    auto pending = std::make_shared<pending_claim>();
    wire::claim_finish message = finish;
    std::unique_lock lock(claims_mutex_);
    message.sequence = ++claim_sequence_;
    if (wait) {
      pending_claims_[message.sequence] = pending;
    }
    lock.unlock();
    const std::uint64_t sequence = message.sequence;
    transport_->send({writer, wire::transport::stream, std::move(message)});
    if (!wait) {
      return;
    }
    lock.lock();
    const time_point give_up = std::min(deadline, clock_type::now() + release_time);
    pending->wake.wait_until(lock, give_up, [&] { return pending->stored.has_value(); });
    pending_claims_.erase(sequence);
    if (pending->stored.value_or(false)) {
      return;
    }
  }
}

} // namespace damaskledge::node
