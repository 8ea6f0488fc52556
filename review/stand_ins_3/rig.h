/// @file
/// What the cases of this review share: stand-ins for the platform's store, for targets and for
/// clients, and the node as a process of its own, started with the command of the deploy file and
/// with settings made from its template. Loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point began = clock_type::now();

inline double seconds_now() {
  return std::chrono::duration<double>(clock_type::now() - began).count();
}
inline void sleep_ms(int n) {
  std::this_thread::sleep_for(std::chrono::milliseconds(n));
}
inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The case cannot run: exit status 2.
[[noreturn]] void give_up(const std::string& why);

/// record.txt: what was sent, answered and run.
inline std::mutex record_mutex;
inline std::ofstream record_file;

inline void record(const char* format, ...) {
  char text[1024];
  va_list values;
  va_start(values, format);
  std::vsnprintf(text, sizeof(text), format, values);
  va_end(values);
  const std::lock_guard hold(record_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ", seconds_now());
  record_file << time << text << '\n' << std::flush;
}

struct message {
  /// Start line without its end.
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const auto at = start.find(' ');
    return start.substr(at + 1, start.find(' ', at + 1) - at - 1);
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/// One TCP connection, used by one thread at a time.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection() { close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  bool send(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// @return false at the end of the connection or after the time.
  bool receive(int wait_ms) {
    pollfd it{fd_, POLLIN, 0};
    if (::poll(&it, 1, wait_ms) <= 0) {
      timed_out_ = true;
      return false;
    }
    char chunk[16384];
    const ssize_t n = ::recv(fd_, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      timed_out_ = false;
      reset_ = n < 0;
      return false;
    }
    input.append(chunk, static_cast<std::size_t>(n));
    return true;
  }
  /// Reads a message with Content-Length or without a body.
  std::optional<message> read(int wait_ms) {
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(wait_ms)) {
        return std::nullopt;
      }
    }
    message result;
    std::istringstream head(input.substr(0, end));
    input.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (result.start.empty()) {
        result.start = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.fields.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
      }
    }
    const std::size_t length = std::strtoull(result.field("Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
      if (!receive(wait_ms)) {
        return std::nullopt;
      }
    }
    result.body = input.substr(0, length);
    input.erase(0, length);
    return result;
  }
  bool timed_out() const { return timed_out_; }
  bool was_reset() const { return reset_; }

  std::string input;

 private:
  int fd_;
  bool timed_out_ = false;
  bool reset_ = false;
};

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

/// @return a listening socket; port 0 in `at` is replaced by a free one. -1 when it is taken.
inline int listen_at(address& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in raw = at.raw();
  socklen_t length = sizeof(raw);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&raw), length) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &length);
  at.port = ntohs(raw.sin_port);
  return fd;
}

/// @return a free port of that address.
inline int free_port(const std::string& ip) {
  address at{ip, 0};
  const int fd = listen_at(at);
  if (fd < 0) {
    give_up("no free port at " + ip);
  }
  ::close(fd);
  return at.port;
}

/// @param prepare sets options before the connection is made.
inline int connect_to(const address& to, const std::function<void(int)>& prepare = {}) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (prepare) {
    prepare(fd);
  }
  const sockaddr_in raw = to.raw();
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

/// Serves each connection on a thread of its own.
class server {
 public:
  using handler = std::function<void(connection&)>;

  server(address at, handler serve) : at_(std::move(at)), serve_(std::move(serve)) {
    fd_ = listen_at(at_);
    if (fd_ < 0) {
      give_up("cannot listen at " + at_.text());
    }
    std::thread([this] { accept(); }).detach();
  }
  const address& at() const { return at_; }
  /// Ends as a process that crashes: no port listens, and all connections are gone.
  void crash() {
    const std::lock_guard hold(mutex_);
    crashed_ = true;
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    for (const int it : open_) {
      ::shutdown(it, SHUT_RDWR);
    }
  }

 private:
  void accept() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard hold(mutex_);
        if (crashed_) {
          ::close(fd);
          return;
        }
        open_.insert(fd);
      }
      std::thread([this, fd] {
        connection it(fd);
        serve_(it);
        const std::lock_guard hold(mutex_);
        open_.erase(fd);
        it.close();
      }).detach();
    }
  }
  std::mutex mutex_;
  bool crashed_ = false;
  std::set<int> open_;
  address at_;
  handler serve_;
  int fd_ = -1;
};

inline std::string answer_text(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: objects by kind and name, lists, conditional updates and watches.
class store {
 public:
  explicit store(address at)
      : server_(std::move(at), [this](connection& it) { serve(it); }) {}
  const address& at() const { return server_.at(); }

  void put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard hold(mutex_);
    put_locked(kind, name, spec);
  }
  /// Runs for each call before it is answered; returns false to end the connection without effect.
  std::function<bool(const message&)> on_call;

 private:
  struct object {
    std::uint64_t revision = 0;
    json spec;
  };
  struct change {
    std::uint64_t revision;
    std::string kind;
    std::string name;
  };

  void put_locked(const std::string& kind, const std::string& name, const json& spec) {
    auto& it = objects_[{kind, name}];
    if (it.revision != 0 && it.spec == spec) {
      return;
    }
    it.revision = ++revision_;
    it.spec = spec;
    changes_.push_back({revision_, kind, name});
    changed_.notify_all();
  }
  static json to_json(const std::string& name, const object& it) {
    return {{"metadata", {{"name", name}, {"revision", it.revision}, {"created", 1}}},
            {"spec", it.spec},
            {"status", nullptr}};
  }
  static std::uint64_t parameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
  }
  void serve(connection& it) {
    while (const auto call = it.read(600'000)) {
      if (on_call && !on_call(*call)) {
        return;
      }
      int status = 200;
      const json body = handle(*call, status);
      if (!it.send(answer_text(status, "Content-Type: application/json\r\n", body.dump()))) {
        return;
      }
    }
  }
  json handle(const message& call, int& status) {
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    constexpr const char* prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      status = 404;
      return json::object();
    }
    const std::string rest = path.substr(std::strlen(prefix));
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    std::unique_lock hold(mutex_);
    if (call.method() == "GET" && target.find("watch=") != std::string::npos) {
      return watch(hold, kind, parameter(target, "watch"), parameter(target, "wait-ms"));
    }
    if (call.method() == "GET" && name.empty()) {
      json items = json::array();
      const auto at = target.find("after=");
      const std::string after =
          at == std::string::npos ? "" : target.substr(at + 6, target.find('&', at) - at - 6);
      for (const auto& [key, value] : objects_) {
        if (key.first == kind && key.second > after) {
          items.push_back(to_json(key.second, value));
        }
      }
      return {{"items", items}, {"has-more", false}, {"at", revision_}};
    }
    if (call.method() == "GET") {
      const auto found = objects_.find({kind, name});
      status = found == objects_.end() ? 404 : 200;
      return found == objects_.end() ? json::object() : to_json(name, found->second);
    }
    const json body = json::parse(call.body, nullptr, false);
    const std::string named = body["metadata"].value("name", name);
    const auto found = objects_.find({kind, named});
    const bool exists = found != objects_.end();
    if (call.method() == "POST" ? exists : !exists) {
      status = exists ? 409 : 404;
      return exists ? to_json(named, found->second) : json::object();
    }
    if (body["metadata"].contains("revision") && exists &&
        body["metadata"]["revision"] != found->second.revision) {
      status = 409;
      return to_json(named, found->second);
    }
    put_locked(kind, named, body["spec"]);
    return to_json(named, objects_[{kind, named}]);
  }
  json watch(std::unique_lock<std::mutex>& hold, const std::string& kind, std::uint64_t from,
             std::uint64_t wait_ms) {
    const auto until = clock_type::now() + std::chrono::milliseconds(wait_ms);
    while (true) {
      json events = json::array();
      for (const auto& it : changes_) {
        if (it.revision > from && it.kind == kind) {
          events.push_back(
              {{"object", to_json(it.name, objects_[{it.kind, it.name}])}, {"removed", false}});
        }
      }
      if (!events.empty() || clock_type::now() >= until) {
        return {{"events", events}, {"at", revision_}};
      }
      changed_.wait_until(hold, until);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, object> objects_;
  std::vector<change> changes_;
  std::uint64_t revision_ = 10;
  server server_;
};

/// How a node's settings differ from one to the other; the rest is the same for all.
struct node_options {
  std::string name;
  std::string zone = "zone-a";
  std::string service;
  std::string ip;
  address app;
  address store;
  bool bootstrap = true;
};

/// The command of the deploy file's role.
inline std::string deploy_value(const std::string& name) {
  std::ifstream in("deploy/system.toml");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind(name + " = \"", 0) == 0) {
      const auto first = line.find('"');
      return line.substr(first + 1, line.rfind('"') - first - 1);
    }
  }
  give_up("deploy/system.toml names no " + name);
}

inline std::string temporary_folder() {
  static const std::string folder = [] {
    const char* base = std::getenv("TMPDIR");
    std::string path = std::string(base == nullptr ? "/tmp" : base) + "/review-case-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr) {
      give_up("no temporary folder");
    }
    return path;
  }();
  return folder;
}

class node;
inline std::vector<node*> all_nodes;

/// One node as a process of its own.
class node {
 public:
  explicit node(node_options options) : options_(std::move(options)) {
    all_nodes.push_back(this);
    outbound_ = {options_.ip, free_port(options_.ip)};
    ready_ = {options_.ip, free_port(options_.ip)};
    control_ = {options_.ip, free_port(options_.ip)};
    inbound_ = {options_.ip, free_port(options_.ip)};
    file_ = temporary_folder() + "/" + options_.name + ".json";
  }
  const address& outbound() const { return outbound_; }
  const address& control() const { return control_; }
  const node_options& options() const { return options_; }
  const std::string& name() const { return options_.name; }
  pid_t pid() const { return pid_; }

  void start() {
    write_settings();
    std::vector<std::string> words;
    std::istringstream run(deploy_value("run"));
    for (std::string it; run >> it;) {
      words.push_back(it);
    }
    const std::string log = temporary_folder() + "/" + options_.name + ".log";
    pid_ = ::fork();
    if (pid_ == 0) {
      // The nodes end with this program, also when it is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      std::vector<char*> arguments;
      for (auto& it : words) {
        arguments.push_back(it.data());
      }
      arguments.push_back(nullptr);
      const char* path = std::getenv("PATH");
      std::string path_value = std::string("PATH=") + (path == nullptr ? "" : path);
      std::string settings = "DAMASKLEDGE_BOOT=" + file_;
      std::vector<char*> environment{path_value.data(), settings.data(), nullptr};
      ::execve(arguments[0], arguments.data(), environment.data());
      ::_exit(127);
    }
    record("%s: process started", options_.name.c_str());
  }
  /// Waits until the node says that it is ready.
  void await_ready() {
    for (int i = 0; i < 100; ++i) {
      connection it(connect_to(ready_));
      if (it.open() && it.send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n")) {
        const auto answer = it.read(500);
        if (answer && answer->status() == 200) {
          return;
        }
      }
      if (exited(0)) {
        give_up("node " + options_.name + " ended at its start");
      }
      sleep_ms(100);
    }
    give_up("node " + options_.name + " is not ready in 10 s");
  }
  void signal(int number) {
    record("%s: signal %d (%s)", options_.name.c_str(), number, strsignal(number));
    ::kill(pid_, number);
  }
  /// @return true if the process has ended, waiting at most this long.
  bool exited(int wait_ms) {
    const double until = seconds_now() + wait_ms / 1000.0;
    while (pid_ > 0) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        record("%s: process ended, %s %d", options_.name.c_str(),
               WIFSIGNALED(status) ? "signal" : "status",
               WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        pid_ = 0;
        break;
      }
      if (seconds_now() >= until) {
        return false;
      }
      sleep_ms(10);
    }
    return true;
  }
  void end() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  void set_bootstrap(bool value) { options_.bootstrap = value; }

 private:
  void write_settings() {
    const json values = {
        {"node-name", options_.name},
        {"zone", options_.zone},
        {"service", options_.service},
        {"ip-address", options_.ip},
        {"app-addr", options_.app.text()},
        {"bootstrap", options_.bootstrap},
        {"listen-addrs",
         {{"inbound", inbound_.text()},
          {"outbound", outbound_.text()},
          {"ready", ready_.text()},
          {"control", control_.text()}}},
        {"port-range", {7000, 7015}},
        {"platform", {{"address", options_.store.text()}}},
        {"bounds",
         {{"drain-ms", 2000},
          {"grace-s", 6},
          {"retry-budget-ratio", 0.2},
          {"retry-budget-slack", 47},
          {"budget-window-s", 10},
          {"quota-slack", 20}}},
    };
    std::ifstream in(deploy_value("template"));
    std::stringstream text;
    text << in.rdbuf();
    std::string out = text.str();
    std::size_t at = 0;
    while ((at = out.find("{{", at)) != std::string::npos) {
      const auto end = out.find("}}", at);
      std::string path = out.substr(at + 2, end - at - 2);
      const auto bar = path.find("|json");
      const bool as_json = bar != std::string::npos;
      path = path.substr(0, bar);
      const json* value = &values;
      std::istringstream parts(path);
      for (std::string part; std::getline(parts, part, '.');) {
        value = value->is_array() ? &(*value)[std::stoul(part)] : &value->at(part);
      }
      const std::string filled =
          as_json || !value->is_string() ? value->dump() : value->get<std::string>();
      out.replace(at, end + 2 - at, filled);
      at += filled.size();
    }
    std::ofstream(file_) << out;
  }

  node_options options_;
  address outbound_;
  address ready_;
  address control_;
  address inbound_;
  std::string file_;
  pid_t pid_ = 0;
};

inline void end_all(bool keep_logs) {
  for (node* it : all_nodes) {
    it->end();
  }
  if (!keep_logs) {
    const std::string folder = temporary_folder();
    for (node* it : all_nodes) {
      ::unlink((folder + "/" + it->name() + ".json").c_str());
      ::unlink((folder + "/" + it->name() + ".log").c_str());
    }
    ::rmdir(folder.c_str());
  }
}

[[noreturn]] inline void finish(int status) {
  end_all(std::getenv("KEEP_LOGS") != nullptr);
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::cout << "logs in " << temporary_folder() << '\n';
  }
  std::cout << std::flush;
  ::_exit(status);
}

[[noreturn]] inline void give_up(const std::string& why) {
  record("the case cannot run: %s", why.c_str());
  std::cout << "the case cannot run: " << why << '\n';
  finish(2);
}

/// A target. `on_request` decides what happens to a request; by default it runs and is answered.
class target {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string ip;
    /// 0 for a free one.
    int port = 0;
    int slots = 20;
    int work_ms = 50;
    std::size_t body_bytes = 600;
  };

  explicit target(options value)
      : options_(std::move(value)), born_(unix_ms()),
        server_({options_.ip, options_.port}, [this](connection& it) { serve(it); }) {}
  const address& at() const { return server_.at(); }
  const options& values() const { return options_; }
  std::int64_t born() const { return born_; }

  void crash() {
    record("%s: crashes", options_.id.c_str());
    beating = false;
    server_.crash();
  }
  /// Sends a heartbeat now. @return status of the answer, 0 for none within 1 s.
  int beat(const address& control, const std::string& state) {
    const json body = {{"address", at().text()},
                       {"born", born_},
                       {"info",
                        {{"service", options_.service},
                         {"version", "v1"},
                         {"zone", options_.zone},
                         {"slots", options_.slots}}},
                       {"status",
                        {{"state", state}, {"sequence", ++sequence_}, {"cold-remaining-ms", 0}}}};
    return tell(control, "heartbeat", body.dump());
  }
  int tell(const address& control, const std::string& call, const std::string& body) {
    connection it(connect_to(control));
    const std::string head = "POST /instances/" + options_.id + "/" + call +
                             " HTTP/1.1\r\nHost: " + control.text() +
                             "\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    if (!it.open() || !it.send(head + body)) {
      return 0;
    }
    const auto answer = it.read(1'000);
    return answer ? answer->status() : 0;
  }
  /// Sends heartbeats until the end.
  void beat_always(const address& control) {
    std::thread([this, control] {
      while (beating) {
        beat(control, "ready");
        sleep_ms(1'500);
      }
    }).detach();
  }
  /// The target begins to work on the request.
  void begin_run(const message& it) {
    record("%s: runs request %s (%s %s)", options_.id.c_str(), it.field("X-Request-Id").c_str(),
           it.method().c_str(), it.target().c_str());
    const std::lock_guard hold(mutex_);
    ++runs_[it.field("X-Request-Id")];
  }
  std::string answer_to(const message& it) const {
    const std::string id = it.field("X-Request-Id");
    std::string body = id + "|";
    body.resize(std::max(options_.body_bytes, body.size()), 'x');
    return answer_text(200, "X-Request-Id: " + id + "\r\nX-Response-Stamp: " + options_.id + "." +
                                id + "\r\n",
                       body);
  }
  int runs(const std::string& id) {
    const std::lock_guard hold(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  std::atomic<bool> beating{true};
  /// @return false to end the connection.
  std::function<bool(connection&, const message&)> on_request;

 private:
  void serve(connection& it) {
    while (const auto call = it.read(60'000)) {
      if (call->target() == "/health") {
        it.send(answer_text(200, "X-Instance-Id: " + options_.id + "\r\n", ""));
        continue;
      }
      const std::string expected = call->field("X-Expect-Instance");
      if (!expected.empty() && expected != options_.id) {
        it.send(answer_text(421, "X-Instance-Id: " + options_.id + "\r\nX-Request-Id: " +
                                     call->field("X-Request-Id") + "\r\n",
                            ""));
        continue;
      }
      if (on_request) {
        if (!on_request(it, *call)) {
          return;
        }
        continue;
      }
      begin_run(*call);
      sleep_ms(options_.work_ms);
      if (!it.send(answer_to(*call))) {
        return;
      }
    }
  }

  options options_;
  std::int64_t born_;
  std::atomic<std::uint64_t> sequence_{0};
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  server server_;
};

inline const std::string client_key = "6wsjnbanfqasnmgkcuyj";
inline const std::string client_host = "hulo84.example";

struct route_options {
  std::string prefix;
  std::string service;
  std::string kind;
  int timeout_ms = 3'000;
};

/// A configuration as the operator writes it.
inline json configuration(const std::string& version, const std::vector<route_options>& routes) {
  json rules = json::array();
  json clusters = json::array();
  std::map<std::string, bool> known;
  for (const auto& it : routes) {
    rules.push_back({{"name", "r-" + it.service + "-" + it.kind},
                     {"kind", it.kind},
                     {"aim-ms", 1'500},
                     {"priority", 1},
                     {"public", false},
                     {"match", {{"path-prefix", it.prefix}}},
                     {"action",
                      {{"service", it.service},
                       {"timeout-ms", it.timeout_ms},
                       {"max-attempts", 2}}}});
    if (!std::exchange(known[it.service], true)) {
      clusters.push_back(
          {{"name", it.service}, {"health-path", "/health"}, {"max-connections", 508}});
    }
  }
  return {{"version", version},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 67108864},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants",
           json::array({{{"name", "pulo780"},
                         {"api-keys", json::array({client_key})},
                         {"priority", 1},
                         {"rate-per-s", 1000},
                         {"burst", 1000}}})},
          {"listeners", json::array({{{"host", client_host}, {"rules", rules}}})},
          {"clusters", clusters}};
}

/// A client's request.
inline std::string request_text(const std::string& method, const std::string& target,
                                const std::string& id, int deadline_ms,
                                const std::string& body = "") {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + client_host +
                     "\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\nX-Key: " + client_key + "\r\n";
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

inline std::string random_id() {
  static std::mt19937_64 random{std::random_device{}()};
  static std::mutex mutex;
  const std::lock_guard hold(mutex);
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

/// @return a loopback address at which the fixed ports of a node are free.
inline std::string node_ip() {
  static std::mt19937 random{std::random_device{}()};
  for (int i = 0; i < 200; ++i) {
    std::string ip = "127." + std::to_string(20 + random() % 200) + "." +
                     std::to_string(random() % 250) + "." + std::to_string(1 + random() % 250);
    address peers{ip, 7000};
    address metrics{ip, 7001};
    const int a = listen_at(peers);
    const int b = listen_at(metrics);
    if (a >= 0) {
      ::close(a);
    }
    if (b >= 0) {
      ::close(b);
    }
    if (a >= 0 && b >= 0) {
      return ip;
    }
  }
  give_up("no free loopback address");
}

/// Opens the record and takes TROUBLE. @return false with TROUBLE=0.
inline bool begin_case() {
  ::signal(SIGPIPE, SIG_IGN);
  const char* path = std::getenv("RECORD");
  record_file.open(path == nullptr ? "record.txt" : path, std::ios::trunc);
  const char* trouble = std::getenv("TROUBLE");
  const bool on = trouble == nullptr || std::string(trouble) != "0";
  record("TROUBLE=%d", on ? 1 : 0);
  return on;
}

} // namespace rig
