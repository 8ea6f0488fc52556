#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "coordination/coordination.h"

namespace damaskledge::coordination {

namespace {

using json = nlohmann::json;

/// Low bits of an acting coordinator's rank are random per process, so that two processes that
/// act for the same epoch without knowing of each other never hold the same term. The high bits
/// rise by one each time.
constexpr std::uint32_t process_bit_count = 24;
constexpr std::uint32_t process_bit_mask = (1U << process_bit_count) - 1;
constexpr std::uint32_t max_round = (1U << (32 - process_bit_count)) - 1;
constexpr std::size_t max_own_writes = 64;
/// Candidates take over one after another, so that the conditional updates seldom collide.
constexpr milliseconds position_delay{150};
constexpr std::int64_t jitter_ms = 100;
/// A call without an answer for this many lease terms is given up; its write id stays known.
constexpr int abandoned_after_terms = 3;
/// Renewal periods for which a living holder is left alone after an outage of the platform.
constexpr int renewals_after_outage = 2;

/// Epochs of an era of the platform begin above those of earlier eras, which a restored platform
/// has lost and a process that has just started does not know.
constexpr unsigned epochs_per_era_bits = 20;

std::uint64_t first_epoch(std::uint64_t era) {
  return (era - 1) << epochs_per_era_bits;
}

std::string object_name(const std::string& data_centre) {
  return "coordinator/" + data_centre;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

election::election(settings options, std::string node, endpoint address, std::string data_centre,
                   std::uint64_t seed)
    : options_(options), node_(std::move(node)), address_(std::move(address)),
      data_centre_(std::move(data_centre)), random_(seed),
      process_bits_(static_cast<std::uint32_t>(random_id().low) & process_bit_mask) {}

std::string election::to_content(const lease& value) {
  return json{
      {"write_id", value.write_id}, {"holder", value.holder}, {"address", value.address.address},
      {"port", value.address.port}, {"epoch", value.epoch},   {"counter", value.counter},
      {"settled", value.settled}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Malformed content counts as a lease of an unknown holder: it is replaced after the usual wait.
election::lease election::parse_content(const std::string& content) {
  lease result;
  result.holder.assign(1, '?');
  const auto value = json::parse(content, nullptr, false);
  if (!value.is_object()) {
    return result;
  }
  const auto text = [&value](const char* key) {
    const auto it = value.find(key);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  const auto number = [&value](const char* key) {
    const auto it = value.find(key);
    return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
  };
  result.write_id = text("write_id");
  if (value.contains("holder") && value["holder"].is_string()) {
    result.holder = text("holder");
  }
  result.address = {text("address"), static_cast<std::uint16_t>(number("port"))};
  result.epoch = number("epoch");
  result.counter = number("counter");
  const auto settled = value.find("settled");
  result.settled = settled != value.end() && settled->is_boolean() && settled->get<bool>();
  return result;
}

std::size_t election::position() const {
  return static_cast<std::size_t>(std::count_if(seen_.alive.begin(), seen_.alive.end(),
                                                [this](const auto& it) { return it < node_; }));
}

/// A member that runs may be reported as dead for a moment, for example by a data centre that was
/// cut off. Only the end of its messages shows that it no longer continues a term by majority.
bool election::may_run(const std::string& member) const {
  return contains(seen_.alive, member) || contains(seen_.in_contact, member);
}

bool election::lease_valid(time_point now) const {
  return owned_epoch_ > 0 && now < std::max(lease_until_, continued_until_);
}

bool election::object_is_own() const {
  return owned_epoch_ > 0 && object_known_ && object_.holder == node_ &&
         object_.epoch == owned_epoch_;
}

bool election::majority() const {
  const auto heard = std::count_if(base_members_.begin(), base_members_.end(), [this](auto& it) {
    return it == node_ || contains(seen_.heard_recently, it);
  });
  return 2 * static_cast<std::size_t>(heard) > base_members_.size();
}

wire::coordinator_record election::own_record() const {
  return {data_centre_, node_, address_, own_term()};
}

void election::note_known(const wire::coordinator_record& record) {
  const auto found = known_.find(record.data_centre);
  if (found == known_.end()) {
    known_.emplace(record.data_centre, record);
  } else if (record.held > found->second.held) {
    found->second = record;
  }
}

void election::adopt(time_point now, const lease& content, time_point sent_at) {
  if (content.holder != node_) {
    return;
  }
  if (content.epoch != owned_epoch_) {
    owned_epoch_ = content.epoch;
    lease_until_ = time_point::min();
    continued_until_ = time_point::min();
    acting_term_.reset();
    act_from_ = now;
    // A predecessor that is alive may continue by the majority rule until it hears of this term.
    if (!predecessor_.empty() && may_run(predecessor_)) {
      act_from_ = now + options_.lease_term + options_.clock_margin;
    } else {
      predecessor_.clear();
    }
    term_started_ = act_from_;
  }
  lease_until_ = std::max(lease_until_, sent_at + options_.lease_term);
  note_known(own_record());
}

void election::observe(time_point now, const platform::object& value) {
  platform_era_ = std::max(platform_era_, platform::era_of(value.version));
  if (value.version >= object_version_) {
    object_read_at_ = now;
  }
  if (value.version < object_version_ || (value.version == object_version_ && object_known_)) {
    return;
  }
  object_version_ = value.version;
  object_known_ = true;
  object_changed_at_ = now;
  object_ = parse_content(value.content);
  take_delay_ = milliseconds(std::uniform_int_distribution<std::int64_t>(0, jitter_ms)(random_));
  const auto own = own_writes_.find(object_.write_id);
  if (own != own_writes_.end()) {
    adopt(now, object_, own->second);
    return;
  }
  owned_epoch_ = 0;
  if (!object_.holder.empty() && object_.epoch > 0) {
    heard(now, {data_centre_, object_.holder, object_.address, {object_.epoch, 0}});
  }
}

void election::send_read(time_point now, call_list& out) {
  read_wanted_ = false;
  pending_ = pending_call{next_tag_++, purpose::read, now, {}};
  out.push_back({pending_->tag, platform::read{object_name(data_centre_)}});
}

void election::send_write(time_point now, purpose what, lease content, call_list& out) {
  content.write_id = to_string(random_id());
  content.counter = object_.counter + 1;
  if (own_writes_.size() >= max_own_writes) {
    own_writes_.erase(
        std::min_element(own_writes_.begin(), own_writes_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  own_writes_[content.write_id] = now;
  pending_ = pending_call{next_tag_++, what, now, content};
  out.push_back({pending_->tag,
                 platform::write{object_name(data_centre_), object_version_, to_content(content)}});
}

bool election::may_take(time_point now) const {
  if (!object_known_ || !seen_.may_stand) {
    return false;
  }
  if (object_is_own()) {
    return true;
  }
  // The outage of the platform hid the holder's renewals as well; a holder that is alive needs
  // time for the first one after it. A takeover from it would leave the data centre without a
  // coordinator until the holder's term has ended.
  if (may_run(object_.holder) &&
      now - reachable_since_ < renewals_after_outage * options_.renew_period) {
    return false;
  }
  const auto place = position();
  auto wait = take_delay_ + position_delay * static_cast<int>(place);
  if (place >= options_.candidates) {
    wait += options_.lease_term;
  }
  if (object_version_ > 0 && !object_.holder.empty()) {
    wait += options_.lease_term + options_.clock_margin;
  }
  return now - object_changed_at_ >= wait;
}

void election::drive_platform(time_point now, call_list& out) {
  if (pending_) {
    if (now - pending_->sent_at < abandoned_after_terms * options_.lease_term) {
      return;
    }
    pending_.reset();
    reachable_ = false;
    next_call_ = now;
  }
  if (!seen_.may_stand && object_is_own()) {
    if (now < next_call_) {
      return;
    }
    // The term ends before the write: a successor does not wait once it sees the release.
    lease_until_ = time_point::min();
    continued_until_ = time_point::min();
    auto content = object_;
    content.holder.clear();
    send_write(now, purpose::release, std::move(content), out);
    return;
  }
  const auto known = known_.find(data_centre_);
  const auto highest = known == known_.end() ? term{} : known->second.held;
  const bool fenced = highest > term{owned_epoch_, 0};
  if (object_is_own() && lease_valid(now) && !fenced) {
    if (now >= next_call_) {
      auto content = object_;
      content.address = address_;
      content.settled = now - term_started_ >= options_.settle_time;
      send_write(now, purpose::renew, std::move(content), out);
    }
    return;
  }
  if (may_take(now) && now >= next_call_) {
    // A member that reads seldom must not write on the strength of an old read.
    if (!object_is_own() && now - object_read_at_ > options_.renew_period * 3 / 2) {
      send_read(now, out);
      return;
    }
    const bool other_acted = highest.rank > 0 && highest.epoch >= object_.epoch;
    predecessor_ = other_acted ? known->second.holder : object_.holder;
    if (predecessor_ == node_) {
      predecessor_.clear();
    }
    previous_settled_ = object_version_ > 0 && object_.settled && !other_acted;
    lease content;
    content.holder = node_;
    content.address = address_;
    content.epoch = std::max({object_.epoch, highest.epoch, first_epoch(platform_era_)}) + 1;
    send_write(now, purpose::take, std::move(content), out);
    return;
  }
  const bool candidate = position() < options_.candidates || owned_epoch_ > 0;
  const auto period = candidate ? options_.renew_period : options_.idle_read_period;
  const bool due = read_wanted_ || !last_success_ || now - *last_success_ >= period;
  if (due && now >= next_call_) {
    send_read(now, out);
  }
}

void election::note_view(time_point now, const view& seen) {
  seen_ = seen;
  if (!last_success_) {
    for (const auto& it : seen_.alive) {
      if (!contains(base_members_, it)) {
        base_members_.push_back(it);
      }
    }
  }
  const auto known = known_.find(data_centre_);
  // A record of this node's own name while it holds no valid term tells of a term that has lapsed.
  const bool lapsed = known != known_.end() && known->second.holder == node_ && !lease_valid(now);
  const bool gone =
      lapsed || (known != known_.end() && !contains(seen_.alive, known->second.holder));
  if (!gone) {
    holder_gone_since_.reset();
  } else if (!holder_gone_since_) {
    holder_gone_since_ = now;
  }
  if (!predecessor_.empty() && now < act_from_ && !may_run(predecessor_)) {
    act_from_ = now;
    term_started_ = now;
    predecessor_.clear();
  }
}

void election::update_acting(time_point now) {
  const auto known = known_.find(data_centre_);
  if (acting_term_) {
    // An interruption ends the part; a new one needs a new rank.
    const bool superseded = known != known_.end() && known->second.held > *acting_term_;
    if (superseded || now >= acting_until_ || !seen_.may_stand || !majority()) {
      acting_term_.reset();
      holder_gone_since_.reset();
    } else {
      acting_until_ = now + options_.renew_period;
    }
    return;
  }
  if (known == known_.end() || !holder_gone_since_ || !seen_.may_stand || lease_valid(now)) {
    return;
  }
  const auto place = position();
  const auto patience = options_.lease_term + options_.clock_margin;
  const bool platform_down =
      !reachable_ && (!last_success_ || now - *last_success_ >= patience) && (next_tag_ > 1);
  if (!platform_down || place >= options_.candidates ||
      now - *holder_gone_since_ < patience * static_cast<int>(place + 1) || !majority()) {
    return;
  }
  const auto highest = known->second.held;
  const auto round = (highest.rank >> process_bit_count) + 1;
  if (round > max_round) {
    return;
  }
  acting_term_ = term{highest.epoch, (round << process_bit_count) | process_bits_};
  acting_until_ = now + options_.renew_period;
  term_started_ = now;
  previous_settled_ =
      highest.rank == 0 && object_known_ && object_.epoch == highest.epoch && object_.settled;
  note_known(own_record());
}

std::vector<platform::requested_call> election::tick(time_point now, const view& seen) {
  call_list out;
  note_view(now, seen);
  // Before the lease's end is reached, so that there is no gap between lease and continuation; a
  // pause past the end leaves one, and then only a renewal restores the part.
  if (lease_valid(now) && object_is_own() && seen_.may_stand && majority()) {
    continued_until_ = now + options_.renew_period;
  }
  drive_platform(now, out);
  update_acting(now);
  return out;
}

std::vector<platform::requested_call> election::on_answer(time_point now, std::uint64_t tag,
                                                          const platform::answer& result) {
  call_list out;
  if (!pending_ || pending_->tag != tag) {
    return out;
  }
  const auto call = *std::exchange(pending_, std::nullopt);
  const auto succeed = [&] {
    if (!reachable_) {
      reachable_since_ = now;
    }
    reachable_ = true;
    last_success_ = now;
    base_members_ = seen_.alive;
    if (!contains(base_members_, node_)) {
      base_members_.push_back(node_);
    }
  };
  const auto jitter =
      milliseconds(std::uniform_int_distribution<std::int64_t>(0, jitter_ms)(random_));
  next_call_ = now;
  if (const auto* value = std::get_if<platform::found>(&result)) {
    succeed();
    if (call.what == purpose::read) {
      observe(now, value->value);
    } else if (value->value.version > object_version_) {
      object_version_ = value->value.version;
      object_known_ = true;
      object_changed_at_ = now;
      object_ = call.content;
      adopt(now, call.content, call.sent_at);
      if (call.what == purpose::release) {
        owned_epoch_ = 0;
      }
    }
    if (call.what == purpose::renew || call.what == purpose::take) {
      next_call_ = call.sent_at + options_.renew_period;
    }
  } else if (const auto* none = std::get_if<platform::absent>(&result)) {
    succeed();
    platform_era_ = std::max(platform_era_, none->era);
    if (object_version_ > 0 && none->era > platform::era_of(object_version_)) {
      // A restored platform has lost the object. Epochs go on from the highest one known.
      object_version_ = 0;
      object_ = {};
      object_known_ = false;
      owned_epoch_ = 0;
    }
    // A read that shows no object after one has been seen is stale, or an operator removed it;
    // creation is conditional either way.
    if (!object_known_) {
      object_known_ = true;
      object_changed_at_ = now;
    }
    if (object_version_ == 0) {
      object_read_at_ = now;
    }
  } else if (const auto* current = std::get_if<platform::conflict>(&result)) {
    succeed();
    if (current->current.version > 0) {
      observe(now, current->current);
    } else {
      send_read(now, out);
    }
  } else if (const auto* error = std::get_if<platform::unavailable>(&result)) {
    own_writes_.erase(call.content.write_id);
    reachable_ = false;
    next_call_ = now + std::max(error->retry_after, options_.renew_period / 2) + jitter;
  } else if (std::holds_alternative<platform::unresolved>(result)) {
    reachable_ = false;
    send_read(now, out);
  } else {
    succeed();
  }
  return out;
}

void election::heard(time_point now, const wire::coordinator_record& record,
                     const std::string& sender) {
  note_known(record);
  if (record.data_centre != data_centre_) {
    return;
  }
  if (owned_epoch_ > 0 && record.held > term{owned_epoch_, 0}) {
    lease_until_ = time_point::min();
    continued_until_ = time_point::min();
    next_call_ = std::min(next_call_, now);
    read_wanted_ = true;
  }
  if (acting_term_ && record.held > *acting_term_) {
    acting_term_.reset();
    holder_gone_since_.reset();
  }
  if (!predecessor_.empty() && sender == predecessor_ && owned_epoch_ > 0 && now < act_from_ &&
      record.held >= term{owned_epoch_, 0}) {
    act_from_ = now;
    term_started_ = now;
    predecessor_.clear();
  }
}

part election::current_part(time_point now) const {
  if (!seen_.may_stand) {
    return part::follower;
  }
  if (lease_valid(now) && now >= act_from_) {
    return part::coordinator;
  }
  if (acting_term_ && now < acting_until_) {
    return part::acting;
  }
  return part::follower;
}

term election::own_term() const {
  return acting_term_ ? *acting_term_ : term{owned_epoch_, 0};
}

time_point election::term_started() const {
  return term_started_;
}

bool election::previous_settled() const {
  return previous_settled_;
}

std::vector<wire::coordinator_record> election::known() const {
  std::vector<wire::coordinator_record> result;
  for (const auto& [data_centre, record] : known_) {
    result.push_back(record);
  }
  return result;
}

std::optional<wire::coordinator_record> election::known(const std::string& data_centre) const {
  const auto found = known_.find(data_centre);
  return found == known_.end() ? std::nullopt : std::optional(found->second);
}

bool election::platform_reachable() const {
  return reachable_;
}

bool election::needs_majority() const {
  return !reachable_ && (owned_epoch_ > 0 || acting_term_ || position() < options_.candidates);
}

} // namespace damaskledge::coordination
