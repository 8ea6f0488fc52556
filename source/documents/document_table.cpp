#include <algorithm>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "documents/documents.h"

namespace damaskledge::documents {

namespace {

using json = nlohmann::json;

/// Deeper JSON is kept as text without patches: writing it out recurses on a small stack.
constexpr int max_json_depth = 64;
/// Peers remembered as holders of the highest version.
constexpr std::size_t max_sources = 8;
constexpr milliseconds retry_pause{100};
constexpr milliseconds start_retry{2'000};
/// Versions in force are reported to the coordinator again this often, for a new coordinator.
constexpr milliseconds report_period{10'000};
/// Bounds an age from the network, so that subtracting it from the clock cannot overflow.
constexpr std::uint64_t max_age_ms = 365ULL * 24 * 3'600 * 1'000;

/// Depth of nesting, without parsing: brackets outside strings.
int depth_of(std::string_view text) {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (std::size_t it = 0; it < text.size(); ++it) {
    const char c = text[it];
    if (in_string) {
      if (c == '\\') {
        ++it;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return deepest;
}

std::optional<json> parse(std::string_view text) {
  if (depth_of(text) > max_json_depth) {
    return std::nullopt;
  }
  auto value = json::parse(text, nullptr, false);
  return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

/// Text that is equal for equal JSON values; other text stays as it is.
std::string canonical(const std::string& text) {
  const auto value = parse(text);
  return value ? value->dump(-1, ' ', false, json::error_handler_t::replace) : text;
}

/// JSON merge patch (RFC 7386) that turns `from` into `to`. A null member of `to` cannot be
/// expressed; the caller checks the result.
json merge_patch_between(const json& from, const json& to) {
  if (!from.is_object() || !to.is_object()) {
    return to;
  }
  auto patch = json::object();
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) {
      patch[key] = nullptr;
    }
  }
  for (const auto& [key, value] : to.items()) {
    const auto old = from.find(key);
    if (old == from.end()) {
      patch[key] = value;
    } else if (*old != value) {
      patch[key] = merge_patch_between(*old, value);
    }
  }
  return patch;
}

std::optional<std::string> apply_patch(const std::string& base, const std::string& patch) {
  auto value = parse(base);
  const auto change = parse(patch);
  if (!value || !change) {
    return std::nullopt;
  }
  value->merge_patch(*change);
  return value->dump(-1, ' ', false, json::error_handler_t::replace);
}

id128 hash_of(const std::string& content) {
  return hash_parts({content});
}

std::uint64_t age_ms(time_point now, time_point since) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - since).count()));
}

/// Added to every age that comes from the network, for the time in transit. Without it each hop
/// would make a confirmation look younger, and nodes cut off from the platform could keep each
/// other's documents fresh without end.
constexpr milliseconds transit_allowance{1'000};

time_point before(time_point now, std::uint64_t age) {
  return now - milliseconds(std::min(age, max_age_ms));
}

time_point told_time(time_point now, std::uint64_t age) {
  return before(now, age) - transit_allowance;
}

} // namespace

document_table::document_table(settings options, std::string data_centre,
                               std::vector<std::string> names, std::uint64_t seed)
    : options_(options), data_centre_(std::move(data_centre)), random_(seed) {
  for (auto& it : names) {
    entries_[std::move(it)];
  }
}

document_table::entry* document_table::find(const std::string& name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

void document_table::set_peers(std::vector<peer> peers) {
  peers_ = std::move(peers);
}

void document_table::set_coordinator(std::optional<endpoint> address) {
  if (address == coordinator_) {
    return;
  }
  coordinator_ = std::move(address);
  for (auto& [name, row] : entries_) {
    row.next_report = {};
  }
}

void document_table::note_version(entry& row, std::uint64_t version, const endpoint* source) {
  if (version < row.highest || version == 0) {
    return;
  }
  if (version > row.highest) {
    row.highest = version;
    row.sources.clear();
  }
  if (source != nullptr && row.sources.size() < max_sources &&
      std::find(row.sources.begin(), row.sources.end(), *source) == row.sources.end()) {
    row.sources.push_back(*source);
  }
}

void document_table::pull_from(time_point now, const std::string& name, entry& row,
                               const endpoint& source, std::uint64_t have, outgoing_list& out) {
  row.pulling_from = source;
  row.pull_deadline = now + options_.pull_timeout;
  out.push_back({source, wire::transport::stream, wire::document_pull{name, have}});
}

void document_table::pull(time_point now, const std::string& name, entry& row, outgoing_list& out) {
  std::vector<endpoint> targets = row.sources;
  if (targets.empty()) {
    for (const auto& it : peers_) {
      targets.push_back(it.address);
    }
  }
  // Another peer than the one that failed, where there is another.
  if (targets.size() > 1 && row.pulling_from) {
    std::erase(targets, *row.pulling_from);
  }
  if (targets.empty()) {
    row.pulling_from.reset();
    row.pull_deadline = now + retry_pause;
    return;
  }
  const auto have = row.current ? row.current->version : row.staged ? row.staged->version : 0;
  pull_from(now, name, row, targets[random_() % targets.size()], have, out);
}

void document_table::pull_if_behind(time_point now, const std::string& name, entry& row,
                                    outgoing_list& out) {
  const auto have = row.current ? row.current->version : row.staged ? row.staged->version : 0;
  if (row.highest > have && now >= row.pull_deadline && row.start_pending.empty()) {
    pull(now, name, row, out);
  }
}

/// A starting node asks several peers before it trusts the first content: one of them may lag.
void document_table::start(time_point now, const std::string& name, entry& row,
                           outgoing_list& out) {
  row.started = true;
  auto targets = peers_;
  std::shuffle(targets.begin(), targets.end(), random_);
  targets.resize(std::min<std::size_t>(targets.size(), options_.start_peers));
  row.start_deadline = now + options_.pull_timeout;
  row.next_start = now + start_retry;
  for (const auto& it : targets) {
    row.start_pending.push_back(it.address);
    out.push_back({it.address, wire::transport::stream, wire::document_pull{name, 0}});
  }
}

void document_table::spread(const entry& row, outgoing_list& out) {
  const wire::document_rumour body{{row.current->name, row.current->version}};
  std::vector<const peer*> local;
  std::map<std::string, std::vector<const peer*>> remote;
  for (const auto& it : peers_) {
    (it.data_centre == data_centre_ ? local : remote[it.data_centre]).push_back(&it);
  }
  std::shuffle(local.begin(), local.end(), random_);
  local.resize(std::min<std::size_t>(local.size(), options_.rumour_fanout));
  for (const auto& [data_centre, members] : remote) {
    if (!members.empty()) {
      local.push_back(members[random_() % members.size()]);
    }
  }
  for (const auto* it : local) {
    out.push_back({it->address, wire::transport::datagram, body});
  }
}

void document_table::report(time_point now, const std::string& name, entry& row,
                            outgoing_list& out) {
  row.next_report = now + report_period;
  if (coordinator_ && row.current) {
    out.push_back({*coordinator_, wire::transport::datagram,
                   wire::document_confirmation{{name, row.current->version},
                                               age_ms(now, row.current->confirmed_at)}});
  }
}

/// @return true for a content that was in force before, under a version of a later era of the
/// platform: the platform was restored from an older copy. Each write has an id of its own, so that
/// equal contents are one write.
bool document_table::is_old_copy(const entry& row, const document& value) {
  return platform::era_of(value.version) > platform::era_of(row.current->version) &&
         std::any_of(row.history.begin(), row.history.end(),
                     [&](const auto& it) { return it.second == value.content; });
}

void document_table::put_in_force(time_point now, entry& row, document value, outgoing_list& out) {
  if (row.current && value.version <= row.current->version) {
    report_violation("document-version", "document " + value.name + " would go from version " +
                                             std::to_string(row.current->version) + " to " +
                                             std::to_string(value.version));
    return;
  }
  if (row.current && is_old_copy(row, value)) {
    // Its version counts as known, so that the next one written is newer. The content stays.
    LOG(WARNING) << "event=configuration-copy-ignored document=" << value.name
                 << " version=" << value.version << " in_force=" << row.current->version;
    row.current->version = value.version;
    row.current->confirmed_at = std::max(row.current->confirmed_at, value.confirmed_at);
    row.patches.clear();
    note_version(row, value.version, nullptr);
    report(now, row.current->name, row, out);
    return;
  }
  if (row.current) {
    row.history[row.current->version] = std::move(row.current->content);
    while (row.history.size() > options_.patch_history) {
      row.history.erase(row.history.begin());
    }
  }
  row.patches.clear();
  row.staged.reset();
  row.current = std::move(value);
  note_version(row, row.current->version, nullptr);
  ++changes_;
  spread(row, out);
  report(now, row.current->name, row, out);
}

/// Takes a checked content: in force, staged, or ignored when it is not newer.
void document_table::offer(time_point now, entry& row, document value, outgoing_list& out) {
  note_version(row, value.version, nullptr);
  if (row.current) {
    if (value.version > row.current->version) {
      put_in_force(now, row, std::move(value), out);
    }
    return;
  }
  if (!row.staged || value.version > row.staged->version) {
    row.staged = std::move(value);
  }
  settle(now, row, out);
}

/// Puts the staged first version in force once no higher one is known.
void document_table::settle(time_point now, entry& row, outgoing_list& out) {
  const bool asking = !row.start_pending.empty() || (!row.started && !peers_.empty());
  if (!row.current && row.staged && !asking && row.staged->version >= row.highest) {
    put_in_force(now, row, *std::exchange(row.staged, std::nullopt), out);
  }
}

const std::string& document_table::patch_from(entry& row, std::uint64_t base) {
  const auto known = row.patches.find(base);
  if (known != row.patches.end()) {
    return known->second;
  }
  auto& patch = row.patches[base];
  const auto old = row.history.find(base);
  if (old == row.history.end()) {
    return patch;
  }
  const auto from = parse(old->second);
  const auto to = parse(row.current->content);
  if (!from || !to) {
    return patch;
  }
  auto text = merge_patch_between(*from, *to).dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() < row.current->content.size() &&
      apply_patch(old->second, text) == row.current->content) {
    patch = std::move(text);
  }
  return patch;
}

void document_table::on_pull(time_point now, const wire::incoming& from,
                             const wire::document_pull& body, outgoing_list& out) {
  auto* row = find(body.name);
  if (row == nullptr) {
    return;
  }
  if (!row->current || row->current->version <= body.have) {
    const wire::document_version what{body.name, row->current ? row->current->version : 0};
    out.push_back({from.from, wire::transport::stream,
                   wire::document_confirmation{
                       what, row->current ? age_ms(now, row->current->confirmed_at) : max_age_ms}});
    return;
  }
  wire::document_content reply{
      body.name, row->current->version, 0,
      {},        row->current->hash,    age_ms(now, row->current->confirmed_at)};
  if (body.have > 0) {
    const auto& patch = patch_from(*row, body.have);
    if (!patch.empty()) {
      reply.base = body.have;
      reply.content = patch;
    }
  }
  if (reply.base == 0) {
    reply.content = row->current->content;
  }
  out.push_back({from.from, wire::transport::stream, std::move(reply)});
}

void document_table::on_content(time_point now, const wire::incoming& from,
                                const wire::document_content& body, outgoing_list& out) {
  auto* row = find(body.name);
  if (row == nullptr || body.version == 0) {
    return;
  }
  std::erase(row->start_pending, from.from);
  const bool asked = row->pulling_from == from.from;
  if (asked) {
    row->pull_deadline = now;
  }
  const auto& base = row->current ? row->current : row->staged;
  const auto have = base ? base->version : 0;
  if (body.version > have && body.content.size() <= max_document_bytes) {
    note_version(*row, body.version, &from.from);
    std::optional<std::string> content;
    if (body.base == 0) {
      content = body.content;
    } else if (base && body.base == base->version) {
      content = apply_patch(base->content, body.content);
    }
    if (content && content->size() <= max_document_bytes && hash_of(*content) == body.hash) {
      const auto confirmed_at = ages_trusted(now) ? told_time(now, body.confirmed_age_ms)
                                : row->current    ? row->current->confirmed_at
                                                  : before(now, max_age_ms);
      document value{body.name, body.version, std::move(*content), body.hash, confirmed_at};
      offer(now, *row, std::move(value), out);
      if (body.base != 0 && row->current && row->current->version == body.version) {
        row->patches[body.base] = body.content;
      }
    } else if (body.base != 0) {
      // The patch does not fit what this node has; the whole content always does.
      pull_from(now, body.name, *row, from.from, 0, out);
      return;
    } else {
      // This peer's content does not match its hash; retried elsewhere after a pause.
      std::erase(row->sources, from.from);
      row->pull_deadline = now + retry_pause;
    }
  }
  settle(now, *row, out);
  pull_if_behind(now, body.name, *row, out);
}

void document_table::on_confirmation(time_point now, const wire::incoming& from,
                                     const wire::document_confirmation& body, outgoing_list& out) {
  auto* row = find(body.what.name);
  if (row == nullptr) {
    return;
  }
  row->reported[from.sender] = body.what.version;
  std::erase(row->start_pending, from.from);
  if (row->pulling_from == from.from && body.what.version < row->highest) {
    // The peer has heard of the version but does not hold it.
    std::erase(row->sources, from.from);
    row->pull_deadline = std::min(row->pull_deadline, now + retry_pause);
  }
  note_version(*row, body.what.version, &from.from);
  if (row->current) {
    auto& current = *row->current;
    if (body.what.version == current.version && ages_trusted(now)) {
      current.confirmed_at = std::max(current.confirmed_at, told_time(now, body.confirmed_age_ms));
    } else if (body.what.version < current.version && body.what.version > 0) {
      out.push_back({from.from, wire::transport::datagram,
                     wire::document_rumour{{current.name, current.version}}});
    }
  }
  settle(now, *row, out);
  pull_if_behind(now, body.what.name, *row, out);
}

std::vector<wire::outgoing> document_table::receive(time_point now, const wire::incoming& from) {
  outgoing_list out;
  if (const auto* rumour = std::get_if<wire::document_rumour>(&from.body)) {
    return heard(now, rumour->what, from.from);
  }
  if (const auto* request = std::get_if<wire::document_pull>(&from.body)) {
    on_pull(now, from, *request, out);
  } else if (const auto* content = std::get_if<wire::document_content>(&from.body)) {
    on_content(now, from, *content, out);
  } else if (const auto* confirmation = std::get_if<wire::document_confirmation>(&from.body)) {
    on_confirmation(now, from, *confirmation, out);
  }
  return out;
}

std::vector<wire::outgoing>
document_table::heard(time_point now, const wire::document_version& what, const endpoint& from) {
  outgoing_list out;
  auto* row = find(what.name);
  if (row == nullptr) {
    return out;
  }
  const bool higher = what.version > row->highest;
  note_version(*row, what.version, &from);
  if (higher) {
    // A pull in flight asks for an older version; its answer would be a step behind.
    row->pull_deadline = std::min(row->pull_deadline, now);
  }
  pull_if_behind(now, what.name, *row, out);
  return out;
}

std::vector<wire::outgoing> document_table::from_platform(time_point now,
                                                          const platform::object& value) {
  outgoing_list out;
  auto* row = find(value.name);
  if (row == nullptr || value.version == 0 || value.content.size() > max_document_bytes) {
    return out;
  }
  const bool is_highest = value.version >= row->highest;
  if (row->current && value.version <= row->current->version) {
    if (is_highest) {
      row->current->confirmed_at = std::max(row->current->confirmed_at, now);
    }
    return out;
  }
  auto content = canonical(value.content);
  const auto hash = hash_of(content);
  // A stale read says nothing about the present.
  const auto confirmed_at = is_highest     ? now
                            : row->current ? row->current->confirmed_at
                                           : before(now, max_age_ms);
  offer(now, *row, {value.name, value.version, std::move(content), hash, confirmed_at}, out);
  pull_if_behind(now, value.name, *row, out);
  return out;
}

std::vector<wire::outgoing> document_table::confirmed(time_point now, const std::string& name) {
  auto* row = find(name);
  if (row != nullptr && row->current && row->current->version >= row->highest) {
    row->current->confirmed_at = std::max(row->current->confirmed_at, now);
  }
  return {};
}

bool document_table::ages_trusted(time_point now) const {
  return !last_tick_ || (now - *last_tick_ <= transit_allowance && now >= ages_distrusted_until_);
}

std::vector<wire::outgoing> document_table::tick(time_point now) {
  outgoing_list out;
  if (last_tick_ && now - *last_tick_ > transit_allowance) {
    // Messages of the pause may still be read for a while.
    ages_distrusted_until_ = now + transit_allowance;
  }
  last_tick_ = now;
  for (auto& [name, row] : entries_) {
    if (!row.started && !row.current && !peers_.empty()) {
      start(now, name, row, out);
    }
    if (row.start_deadline && now >= *row.start_deadline) {
      row.start_deadline.reset();
      row.start_pending.clear();
    }
    if (row.started && !row.current && !row.staged && now >= row.next_start) {
      // No peer had the document; ask again, as the platform may be out of reach.
      row.started = false;
    }
    settle(now, row, out);
    pull_if_behind(now, name, row, out);
    if (!row.current) {
      continue;
    }
    if (now >= row.next_report) {
      report(now, name, row, out);
    }
    if (now >= row.next_confirmation && !peers_.empty()) {
      row.next_confirmation = now + options_.confirm_period;
      out.push_back({peers_[random_() % peers_.size()].address, wire::transport::datagram,
                     wire::document_confirmation{{name, row.current->version},
                                                 age_ms(now, row.current->confirmed_at)}});
    }
  }
  return out;
}

std::optional<document> document_table::in_force(const std::string& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? std::nullopt : found->second.current;
}

const document* document_table::find_in_force(const std::string& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() || !found->second.current ? nullptr : &*found->second.current;
}

std::vector<wire::document_version> document_table::versions_in_force() const {
  std::vector<wire::document_version> result;
  for (const auto& [name, row] : entries_) {
    if (row.current) {
      result.push_back({name, row.current->version});
    }
  }
  return result;
}

std::vector<wire::document_version> document_table::highest_heard() const {
  std::vector<wire::document_version> result;
  for (const auto& [name, row] : entries_) {
    if (row.highest > 0) {
      result.push_back({name, row.highest});
    }
  }
  return result;
}

std::map<std::string, std::uint64_t>
document_table::reported_versions(const std::string& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? std::map<std::string, std::uint64_t>() : found->second.reported;
}

std::uint64_t document_table::change_count() const {
  return changes_;
}

} // namespace damaskledge::documents
