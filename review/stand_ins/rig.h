// Stand-ins for the platform's store, targets and clients, and the start of real nodes as separate
// processes with the command and the template of the deploy file.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

// Exit codes that a case must use.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline const steady::time_point started = steady::now();
inline double seconds() {
  return std::chrono::duration<double>(steady::now() - started).count();
}
inline void sleep_ms(long n) {
  std::this_thread::sleep_for(ms(n));
}

// Writes record.txt, and the same lines to standard output.
class record_file {
 public:
  void open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f s  ", seconds());
    out_ << at << text << '\n' << std::flush;
  }
  void verdict(const std::string& text) {
    line(text);
    std::cout << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline record_file record;

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

struct address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
  sockaddr_in raw() const {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
    return it;
  }
};

// ---- HTTP/1.1 over blocking sockets -----------------------------------------------------------

struct message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // Bytes of the body; the body itself is not kept when it is long.
  std::size_t body_bytes = 0;

  std::string find(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& it) {
      return ::strcasecmp(it.first.c_str(), name.c_str()) == 0;
    });
  }
  std::string method() const { return start_line.substr(0, start_line.find(' ')); }
  std::string path() const {
    const auto a = start_line.find(' ');
    const auto b = start_line.find(' ', a + 1);
    return start_line.substr(a + 1, b - a - 1);
  }
  int status() const { return std::atoi(start_line.substr(start_line.find(' ') + 1).c_str()); }
};

// One socket with a read buffer.
class connection {
 public:
  connection() = default;
  explicit connection(int fd) : fd_(fd) {}
  ~connection() { close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // receive_buffer and segment are the client's own socket options; 0 leaves the default.
  bool connect(const address& to, int receive_buffer = 0, int segment = 0) {
    close();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    if (segment > 0) {
      ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const auto it = to.raw();
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0) {
      close();
      return false;
    }
    return true;
  }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
    fd_ = -1;
    buffer_.clear();
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void read_timeout(long n) {
    const timeval it{n / 1000, (n % 1000) * 1000};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof(it));
  }
  bool send(const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const auto n = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads one message. With bytes_per_s, the body is read at that rate.
  // Returns false when the connection ends, resets or times out before the message is whole.
  bool read(message& out, double bytes_per_s = 0, std::size_t keep = 1 << 20) {
    out = {};
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!more(16384)) {
        return false;
      }
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, out.start_line);
    strip(out.start_line);
    while (std::getline(head, line)) {
      strip(line);
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      out.fields.emplace_back(line.substr(0, colon), value);
    }
    std::size_t left = std::strtoull(out.find("Content-Length").c_str(), nullptr, 10);
    const auto began = steady::now();
    while (left > 0) {
      if (buffer_.empty() && !more(bytes_per_s > 0 ? 4096 : 65536)) {
        return false;
      }
      const std::size_t n = std::min(left, buffer_.size());
      if (out.body.size() < keep) {
        out.body.append(buffer_, 0, n);
      }
      out.body_bytes += n;
      buffer_.erase(0, n);
      left -= n;
      if (bytes_per_s > 0) {
        std::this_thread::sleep_until(
            began + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(
                        static_cast<double>(out.body_bytes) / bytes_per_s)));
      }
    }
    return true;
  }
  std::string why() const { return why_; }
  // For targets: second copies of answers that are sent later.
  std::string held_back;
  // For targets: requests that have come on this connection.
  int requests = 0;

 private:
  static void strip(std::string& it) {
    while (!it.empty() && (it.back() == '\r' || it.back() == ' ')) {
      it.pop_back();
    }
  }
  bool more(std::size_t n) {
    std::string chunk(n, '\0');
    const auto got = ::recv(fd_, chunk.data(), n, 0);
    if (got <= 0) {
      why_ = got == 0 ? "the connection was closed"
                      : std::string("reading failed: ") + std::strerror(errno);
      return false;
    }
    buffer_.append(chunk, 0, static_cast<std::size_t>(got));
    return true;
  }
  int fd_ = -1;
  std::string buffer_;
  std::string why_;
};

inline std::string serialize(const std::string& start_line,
                             const std::vector<std::pair<std::string, std::string>>& fields,
                             const std::string& body, bool with_length = true) {
  std::string out = start_line + "\r\n";
  for (const auto& [name, value] : fields) {
    out += name + ": " + value + "\r\n";
  }
  if (with_length) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}

// Accepts connections and serves each on a thread of its own.
class server {
 public:
  // The handler answers one request; it returns false to end the connection.
  using handler = std::function<bool(connection&, message&)>;
  server(const address& at, handler serve, double read_rate = 0)
      : at_(at), serve_(std::move(serve)), read_rate_(read_rate) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto it = at.raw();
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0 ||
        ::listen(fd_, 1024) != 0) {
      std::cerr << "cannot listen at " << at.text() << '\n';
      std::_Exit(could_not_run);
    }
    std::thread([this] { accept(); }).detach();
  }
  // Ends the listener and all connections, as the end of a process does.
  void stop() {
    stopped_ = true;
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void accept() {
    while (!stopped_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        connection it(fd);
        message request;
        while (!stopped_ && it.read(request, read_rate_) && serve_(it, request)) {
        }
        std::lock_guard lock(mutex_);
        open_.erase(fd);
      }).detach();
    }
  }
  address at_;
  handler serve_;
  double read_rate_;
  int fd_ = -1;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<int> open_;
};

// ---- The platform's store ---------------------------------------------------------------------

class store {
 public:
  explicit store(const address& at)
      : server_(at, [this](connection& to, message& it) { return serve(to, it); }) {}

  // The operator writes an object.
  void put(const std::string& kind, const std::string& name, const json& spec) {
    std::lock_guard lock(mutex_);
    write(kind, name, spec);
  }

 private:
  struct object {
    std::uint64_t revision = 0;
    json spec;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    json object;
    bool removed = false;
  };
  static json show(const std::string& name, const object& it) {
    return {{"metadata",
             {{"name", name},
              {"revision", it.revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", it.spec},
            {"status", nullptr}};
  }
  json write(const std::string& kind, const std::string& name, const json& spec) {
    object& it = objects_[{kind, name}];
    if (it.revision == 0 || it.spec != spec) {
      it.revision = ++revision_;
      it.spec = spec;
      changes_.push_back({revision_, kind, show(name, it), false});
      changed_.notify_all();
    }
    return show(name, it);
  }
  static std::string parameter(const std::string& query, const std::string& name) {
    const auto at = query.find(name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const auto from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
  }
  static bool reply(connection& to, int status, const json& body) {
    return to.send(serialize("HTTP/1.1 " + std::to_string(status) + " Answer",
                             {{"Content-Type", "application/json"}}, body.dump()));
  }
  bool serve(connection& to, message& it) {
    const std::string target = it.path();
    const auto mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    if (path.rfind("/objects/", 0) != 0) {
      return reply(to, 404, json::object());
    }
    std::string kind = path.substr(9);
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind = kind.substr(0, slash);
    }
    std::unique_lock lock(mutex_);
    if (it.method() == "GET" && !parameter(query, "watch").empty()) {
      const auto from = std::stoull(parameter(query, "watch"));
      const auto until = steady::now() + ms(std::stoll("0" + parameter(query, "wait-ms")));
      auto events = json::array();
      while (true) {
        for (const auto& change : changes_) {
          if (change.kind == kind && change.revision > from) {
            events.push_back({{"removed", change.removed}, {"object", change.object}});
          }
        }
        if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
          break;
        }
      }
      const auto at = revision_;
      lock.unlock();
      return reply(to, 200, {{"events", events}, {"at", at}});
    }
    if (it.method() == "GET" && name.empty()) {
      auto items = json::array();
      const std::string after = parameter(query, "after");
      for (const auto& [key, value] : objects_) {
        if (key.first == kind && key.second > after) {
          items.push_back(show(key.second, value));
        }
      }
      return reply(to, 200, {{"items", items}, {"has-more", false}, {"at", revision_}});
    }
    if (it.method() == "GET") {
      const auto found = objects_.find({kind, name});
      return found == objects_.end() ? reply(to, 404, json::object())
                                     : reply(to, 200, show(name, found->second));
    }
    const json body = json::parse(it.body, nullptr, false);
    const json meta = body.value("metadata", json::object());
    if (name.empty()) {
      name = meta.value("name", "");
    }
    const auto found = objects_.find({kind, name});
    if (it.method() == "POST") {
      return found != objects_.end() ? reply(to, 409, show(name, found->second))
                                     : reply(to, 200, write(kind, name, body["spec"]));
    }
    if (it.method() == "PUT") {
      if (found == objects_.end()) {
        return reply(to, 404, json::object());
      }
      if (meta.contains("revision") && meta["revision"] != found->second.revision) {
        return reply(to, 409, show(name, found->second));
      }
      return reply(to, 200, write(kind, name, body["spec"]));
    }
    return reply(to, 404, json::object());
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, object> objects_;
  std::vector<change> changes_;
  std::uint64_t revision_ = 10;
  server server_;
};

// ---- Targets ----------------------------------------------------------------------------------

// One run of a request, as the target saw it.
struct run {
  double at = 0;
  std::string id;
  std::string method;
  std::string path;
  message request;
};

class target {
 public:
  // What a request costs and what is answered.
  struct work {
    long work_ms = 50;
    std::size_t answer_bytes = 1000;
    // The target is full and rejects the request.
    bool full = false;
    // A second copy of the answer is sent late, when `flush` says so on the same connection.
    bool second_copy = false;
    // Second copies that are held back are sent before this answer.
    bool flush = false;
  };
  target(std::string service, std::string zone, const address& at, const address& control,
         std::string id, std::function<work(const message&, connection&)> plan)
      : service_(std::move(service)), zone_(std::move(zone)), at_(at), control_(control),
        id_(std::move(id)), plan_(std::move(plan)),
        born_(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        server_(at, [this](connection& to, message& it) { return serve(to, it); }) {
    std::thread([this] {
      while (!silent) {
        beat(heartbeat());
        sleep_ms(1500);
      }
    }).detach();
  }

  // The body of a heartbeat of now.
  json heartbeat() {
    return {{"address", at_.text()},
            {"born", born_},
            {"info", {{"service", service_}, {"version", "v1"}, {"zone", zone_}, {"slots", 68}}},
            {"status",
             {{"state", leaving ? "draining" : "ready"},
              {"sequence", ++sequence_},
              {"cold-remaining-ms", 0}}}};
  }
  // Delivers a heartbeat to the node beside this target.
  int beat(const json& body) { return tell("/instances/" + id_ + "/heartbeat", body.dump()); }
  int deregister() { return tell("/instances/" + id_ + "/deregister", ""); }
  // The process ends.
  void end() {
    silent = true;
    server_.stop();
  }
  std::vector<run> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  const std::string& id() const { return id_; }
  std::string answer_body(std::size_t n) const { return std::string(n, 'm'); }

  std::atomic<bool> leaving{false};
  std::atomic<bool> silent{false};

 private:
  int tell(const std::string& path, const std::string& body) {
    connection to;
    if (!to.connect(control_)) {
      return 0;
    }
    to.read_timeout(1000);
    to.send(serialize("POST " + path + " HTTP/1.1",
                      {{"Host", control_.text()}, {"Content-Type", "application/json"}}, body));
    message answer;
    return to.read(answer) ? answer.status() : 0;
  }
  bool serve(connection& to, message& it) {
    if (it.path() == "/health") {
      return to.send(serialize(leaving ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK",
                               {{"X-Instance-Id", id_}}, ""));
    }
    const std::string id = it.find("X-Request-Id");
    if (id.empty()) {
      return to.send(serialize("HTTP/1.1 400 Bad Request", {{"X-Not-Executed", "1"}}, ""));
    }
    if (it.has("X-Expect-Instance") && it.find("X-Expect-Instance") != id_) {
      return to.send(serialize("HTTP/1.1 421 Misdirected Request",
                               {{"X-Request-Id", id}, {"X-Instance-Id", id_}}, ""));
    }
    ++to.requests;
    const work todo = plan_(it, to);
    if (todo.full) {
      record.line("target " + id_ + " rejects id " + id);
      return answer(to, todo,
                    serialize("HTTP/1.1 503 Service Unavailable",
                              {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, ""));
    }
    {
      std::lock_guard lock(mutex_);
      runs_.push_back({seconds(), id, it.method(), it.path(), it});
    }
    std::string text = "target " + id_ + " runs " + it.method() + " " + it.path() + " id " + id +
                       ", body " + std::to_string(it.body_bytes) + " bytes";
    if (it.has("X-Tenant")) {
      text += ", X-Tenant " + it.find("X-Tenant");
    }
    record.line(text);
    if (todo.flush) {
      record.line("target " + id_ + " sends late second copies of earlier answers, " +
                  std::to_string(to.held_back.size()) + " bytes");
      to.send(to.held_back);
      to.held_back.clear();
    }
    sleep_ms(todo.work_ms);
    return answer(to, todo,
                  serialize("HTTP/1.1 200 OK",
                            {{"X-Request-Id", id},
                             {"X-Response-Stamp", id_ + "." + id},
                             {"Keep-Alive", "timeout=10"}},
                            answer_body(todo.answer_bytes)));
  }
  bool answer(connection& to, const work& todo, const std::string& bytes) {
    if (todo.second_copy) {
      to.held_back += bytes;
    }
    return to.send(bytes);
  }

  std::string service_;
  std::string zone_;
  address at_;
  address control_;
  std::string id_;
  std::function<work(const message&, connection&)> plan_;
  long long born_;
  std::atomic<std::uint64_t> sequence_{0};
  std::mutex mutex_;
  std::vector<run> runs_;
  server server_;
};

// ---- Machines with real nodes -----------------------------------------------------------------

// A free block of addresses: each machine has an address of its own in 127.0.0.0/8, and the ports
// are the same on all machines.
struct plan_of_addresses {
  std::string net;
  int outbound = 0, ready = 0, control = 0, inbound = 0, app = 0, range = 0;
};

inline bool port_free(const address& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto it = at.raw();
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) == 0;
  ::close(fd);
  return free;
}

inline plan_of_addresses choose_addresses() {
  std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 100; ++i) {
    plan_of_addresses it;
    it.net =
        "127." + std::to_string(10 + random() % 200) + "." + std::to_string(random() % 250) + ".";
    const int base = 8100 + static_cast<int>(random() % 1500) * 10;
    it.outbound = base;
    it.ready = base + 1;
    it.control = base + 2;
    it.inbound = base + 3;
    it.app = base + 4;
    it.range = 7000;
    bool free = true;
    for (int machine = 1; machine < 12; ++machine) {
      for (const int port : {base, base + 1, base + 2, base + 3, base + 4, 7000, 7001}) {
        free = free && port_free({it.net + std::to_string(machine), port});
      }
    }
    if (free) {
      return it;
    }
  }
  std::cerr << "no free addresses\n";
  std::_Exit(could_not_run);
}

inline std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

class machine {
 public:
  machine(const plan_of_addresses& plan, int number, std::string service, std::string zone,
          const address& store, std::string folder)
      : number_(number), service_(std::move(service)), zone_(std::move(zone)), store_(store),
        folder_(std::move(folder)), plan_(plan) {
    name_ = "sidecar-" + zone_ + "-" + std::to_string(number);
    ip_ = plan.net + std::to_string(number);
  }
  ~machine() { kill(); }

  address outbound() const { return {ip_, plan_.outbound}; }
  address ready() const { return {ip_, plan_.ready}; }
  address control() const { return {ip_, plan_.control}; }
  address app() const { return {ip_, plan_.app}; }
  const std::string& name() const { return name_; }
  const std::string& service() const { return service_; }
  const std::string& zone() const { return zone_; }
  pid_t pid() const { return pid_; }

  // Writes the settings anew with another service.
  void assign(const std::string& service) {
    service_ = service;
    write_settings(false);
  }
  // Starts the node with the command, the template and the environment of the deploy file.
  void start(bool first) {
    const std::string deploy = read_file("deploy/system.toml");
    const auto at = deploy.find("run = \"");
    const auto from = at + 7;
    const std::string program = deploy.substr(from, deploy.find('"', from) - from);
    const std::string settings = write_settings(first);
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string boot = "DAMASKLEDGE_BOOT=" + settings;
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const char* args[] = {program.c_str(), nullptr};
      const char* environment[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8", boot.c_str(), nullptr};
      ::execve(program.c_str(), const_cast<char**>(args), const_cast<char**>(environment));
      ::_exit(127);
    }
    record.line("node " + name_ + " is started, process " + std::to_string(pid_));
  }
  void signal(int number) {
    if (pid_ > 0) {
      record.line("node " + name_ + " gets signal " + std::to_string(number));
      ::kill(pid_, number);
    }
  }
  // Ends the process at once and waits for its end.
  void kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // True once the process has ended.
  bool ended() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
      record.line("node " + name_ + " has ended");
      pid_ = -1;
    }
    return pid_ <= 0;
  }
  bool is_ready() const {
    connection to;
    if (!to.connect(ready())) {
      return false;
    }
    to.read_timeout(500);
    to.send(serialize("GET /ready HTTP/1.1", {{"Host", ready().text()}}, "", false));
    message answer;
    return to.read(answer) && answer.status() == 200;
  }
  // Memory of the process now and at its peak, in MB.
  struct memory {
    double now_mb = 0;
    double peak_mb = 0;
  };
  memory memory_used() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    memory result;
    while (std::getline(in, line)) {
      if (line.rfind("VmRSS:", 0) == 0) {
        result.now_mb = std::atof(line.c_str() + 6) * 1024 / 1e6;
      }
      if (line.rfind("VmHWM:", 0) == 0) {
        result.peak_mb = std::atof(line.c_str() + 6) * 1024 / 1e6;
      }
    }
    return result;
  }

 private:
  std::string write_settings(bool first) const {
    const std::string path = folder_ + "/" + name_ + ".settings";
    std::ofstream(path + ".new") << fill(read_file("deploy/node.json.template"), first);
    std::rename((path + ".new").c_str(), path.c_str());
    return path;
  }
  std::string fill(std::string text, bool first) const {
    const std::map<std::string, json> values{
        {"node-name", name_},
        {"zone", zone_},
        {"service", service_},
        {"ip-address", ip_},
        {"listen-addrs.outbound", outbound().text()},
        {"listen-addrs.ready", ready().text()},
        {"listen-addrs.control", control().text()},
        {"listen-addrs.inbound", address{ip_, plan_.inbound}.text()},
        {"port-range.0", plan_.range},
        {"app-addr", app().text()},
        {"platform.address", store_.text()},
        {"bootstrap", first},
        {"bounds.drain-ms", 2000},
        {"bounds.grace-s", 6},
        {"bounds.retry-budget-ratio", 0.2},
        {"bounds.retry-budget-slack", 47},
        {"bounds.budget-window-s", 10},
        {"bounds.quota-slack", 20},
    };
    std::string out;
    std::size_t at = 0;
    while (true) {
      const auto open = text.find("{{", at);
      if (open == std::string::npos) {
        return out + text.substr(at);
      }
      const auto close = text.find("}}", open);
      out += text.substr(at, open - at);
      std::string name = text.substr(open + 2, close - open - 2);
      bool as_json = false;
      if (const auto bar = name.find("|json"); bar != std::string::npos) {
        as_json = true;
        name = name.substr(0, bar);
      }
      const auto found = values.find(name);
      if (found == values.end()) {
        std::cerr << "the template has an unknown field: " << name << '\n';
        std::_Exit(could_not_run);
      }
      out += !as_json && found->second.is_string() ? found->second.get<std::string>()
                                                   : found->second.dump();
      at = close + 2;
    }
  }

  int number_;
  std::string service_;
  std::string zone_;
  address store_;
  std::string folder_;
  plan_of_addresses plan_;
  std::string name_;
  std::string ip_;
  pid_t pid_ = -1;
};

// Route of the configuration.
struct route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 5000;
};

inline json configuration(const std::string& version, const std::vector<route>& routes,
                          const std::vector<std::string>& services) {
  auto rules = json::array();
  for (const auto& it : routes) {
    rules.push_back(
        {{"name", it.name},
         {"kind", it.kind},
         {"aim-ms", 1500},
         {"priority", 1},
         {"public", false},
         {"match", {{"path-prefix", it.prefix}}},
         {"action",
          {{"service", it.service}, {"timeout-ms", it.timeout_ms}, {"max-attempts", 2}}}});
  }
  auto clusters = json::array();
  for (const auto& it : services) {
    clusters.push_back({{"name", it},
                        {"health-path", "/health"},
                        {"max-connections", 508},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {{"version", version},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 67108864},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants",
           {{{"name", "pulo780"},
             {"api-keys", {"6wsjnbanfqasnmgkcuyj"}},
             {"priority", 1},
             {"rate-per-s", 400},
             {"burst", 400}},
            {{"name", "teno311"},
             {"api-keys", {"8pjbvk9m68k7b2ex5wa5"}},
             {"priority", 1},
             {"rate-per-s", 400},
             {"burst", 400}}}},
          {"listeners", {{{"host", "hulo84.example"}, {"rules", rules}}}},
          {"clusters", clusters}};
}

inline const std::string key = "6wsjnbanfqasnmgkcuyj";

// Header fields of a client's request.
inline std::vector<std::pair<std::string, std::string>> client_fields(const std::string& id,
                                                                      long deadline_ms) {
  return {{"Host", "hulo84.example"},
          {"X-Request-Id", id},
          {"X-Deadline-Ms", std::to_string(deadline_ms)},
          {"X-Key", key}};
}

// Waits until all nodes are ready, and then until they have heard of the targets.
inline bool wait_until_ready(const std::vector<std::unique_ptr<machine>>& machines) {
  for (int i = 0; i < 100; ++i) {
    if (std::all_of(machines.begin(), machines.end(),
                    [](const auto& it) { return it->is_ready(); })) {
      sleep_ms(4000);
      return true;
    }
    sleep_ms(100);
  }
  record.verdict("could not run: the nodes do not become ready");
  return false;
}

// Folder for settings and logs of nodes; removed unless KEEP is set.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name = "/tmp/review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) {
      std::_Exit(could_not_run);
    }
    path_ = name;
  }
  void remove() const {
    if (std::getenv("KEEP") == nullptr) {
      const int ignored = std::system(("rm -r " + path_).c_str());
      (void)ignored;
    } else {
      std::cout << "logs are in " << path_ << std::endl;
    }
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Ends the nodes and the program. Threads of the stand-ins may still run, so nothing else is
// destroyed.
[[noreturn]] inline void finish(int code, std::vector<std::unique_ptr<machine>>& machines,
                                temporary_folder& folder) {
  for (const auto& it : machines) {
    it->kill();
  }
  folder.remove();
  std::cout.flush();
  std::_Exit(code);
}

} // namespace rig
