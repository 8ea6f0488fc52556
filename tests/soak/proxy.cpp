#include "soak/proxy.h"

#include <vector>

namespace damaskledge::soak {

namespace {

event::stream_options patient() {
  // Only the programs under test may notice a silent peer.
  event::stream_options options;
  options.silence_timeout = seconds(60);
  return options;
}

} // namespace

proxy::proxy(event::loop& loop, const endpoint& at, endpoint to) : loop_(loop), to_(std::move(to)) {
  if (auto opened = event::listener::open(loop_, at, [this](int fd) { accept(fd); })) {
    listener_ = std::move(opened.value());
  }
}

void proxy::accept(int fd) {
  const std::uint64_t id = next_id_++;
  auto it = std::make_shared<connection>();
  it->client.stream = std::make_unique<event::stream>(loop_, fd, patient());
  it->server.stream = std::make_unique<event::stream>(loop_, to_, patient());
  it->client.stream->handle({{},
                             [this, id] { forward(id, true); },
                             [this, id](event::close_reason) { drop(id, false); }});
  it->server.stream->handle({{},
                             [this, id] { forward(id, false); },
                             [this, id](event::close_reason) { drop(id, false); }});
  connections_.emplace(id, std::move(it));
  if (state_ == link_state::refused) {
    drop(id, true);
  }
}

bool proxy::blocked(bool from_client) const {
  return state_ == link_state::silent || (state_ == link_state::one_way && !from_client);
}

void proxy::forward(std::uint64_t id, bool from_client) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  side& from = from_client ? found->second->client : found->second->server;
  side& to = from_client ? found->second->server : found->second->client;
  std::string bytes;
  bytes.swap(from.stream->input());
  from.stream->resume_reading();
  if (blocked(from_client)) {
    from.held += bytes;
  } else if (state_ == link_state::delayed) {
    loop_.after(delay_, [this, id, from_client, bytes = std::move(bytes)] {
      const auto it = connections_.find(id);
      if (it != connections_.end()) {
        (from_client ? it->second->server : it->second->client).stream->send(bytes);
      }
    });
  } else {
    to.stream->send(bytes);
  }
}

void proxy::release(std::uint64_t id) {
  const auto it = connections_.find(id)->second;
  it->server.stream->send(it->client.held);
  it->client.stream->send(it->server.held);
  it->client.held.clear();
  it->server.held.clear();
}

void proxy::set(link_state state, milliseconds delay) {
  state_ = state;
  delay_ = delay;
  if (state != link_state::open) {
    return;
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, it] : connections_) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    release(id);
  }
}

void proxy::reset() {
  while (!connections_.empty()) {
    drop(connections_.begin()->first, true);
  }
}

void proxy::drop(std::uint64_t id, bool abort) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const auto it = found->second;
  connections_.erase(found);
  // A blocked direction must not deliver the end of the connection either.
  const bool hide_end = state_ == link_state::silent;
  if (hide_end && !abort) {
    loop_.after(seconds(60), [it] {});
    return;
  }
  it->client.stream->close(abort);
  it->server.stream->close(abort);
  loop_.defer([it] {});
}

} // namespace damaskledge::soak
