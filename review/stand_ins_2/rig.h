// Stand-ins for the platform's store, a target and callers, and the start of real nodes, for the
// cases of review/. All sockets are on loopback addresses. One program plays one case.
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
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <regex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using json = nlohmann::json;

inline double now_s() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleep_s(double s) {
  std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/// Ends the program because the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  throw std::runtime_error("cannot run: " + why);
}

/// record.txt: one line for each thing that was sent, answered or run.
class recorder {
 public:
  explicit recorder(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) {
      cannot_run("cannot write " + path);
    }
  }
  ~recorder() { std::fclose(file_); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[2048];
    va_list list;
    va_start(list, format);
    std::vsnprintf(text, sizeof(text), format, list);
    va_end(list);
    const std::lock_guard guard(mutex_);
    std::fprintf(file_, "%8.3f  %s\n", now_s(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

// ---- sockets -----------------------------------------------------------------------------------

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, ip.c_str(), &a.sin_addr) != 1 || ip.rfind("127.", 0) != 0) {
    cannot_run("no loopback address: " + ip);
  }
  return a;
}

inline int listen_on(const std::string& ip, int port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const auto a = address_of(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// @param segment largest segment that the peer may send, as on a path with a small MTU.
inline int connect_to(const std::string& ip, int port, int receive_buffer = 0, int segment = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  if (segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const auto a = address_of(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(n);
  }
  return true;
}

/// @return bytes read, 0 at the end, -1 after a reset, -2 when nothing came in time.
inline ssize_t read_some(int fd, std::string& into, double wait_s, std::size_t most = 65536) {
  pollfd p{fd, POLLIN, 0};
  const int ready = poll(&p, 1, std::max(0, static_cast<int>(wait_s * 1000)));
  if (ready == 0) {
    return -2;
  }
  std::string buffer(most, '\0');
  const ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
  if (n > 0) {
    into.append(buffer, 0, static_cast<std::size_t>(n));
  }
  return n;
}

// ---- HTTP/1.1 ----------------------------------------------------------------------------------

struct head {
  std::string start_line;
  std::map<std::string, std::string> fields; // lower-case names
  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  std::string word(int n) const {
    std::size_t from = 0;
    for (int i = 0; i < n; ++i) {
      from = start_line.find(' ', from);
      if (from == std::string::npos) {
        return "";
      }
      ++from;
    }
    return start_line.substr(from, start_line.find(' ', from) - from);
  }
};

inline head parse_head(const std::string& block) {
  head result;
  std::size_t at = 0;
  bool first = true;
  while (at < block.size()) {
    const auto end = block.find("\r\n", at);
    const std::string line = block.substr(at, end - at);
    at = end == std::string::npos ? block.size() : end + 2;
    if (line.empty()) {
      break;
    }
    if (first) {
      result.start_line = line;
      first = false;
      continue;
    }
    const auto colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    result.fields[name] = value;
  }
  return result;
}

/// One side of a connection that reads messages.
struct connection {
  int fd = -1;
  std::string input;
  explicit connection(int f) : fd(f) {}
  connection(const connection&) = delete;
  ~connection() { end(); }
  void end() {
    if (fd >= 0) {
      close(fd);
      fd = -1;
    }
  }
  /// Ends the connection with a reset.
  void reset() {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    end();
  }
  /// @return the next head, or nothing when the connection ended or the time is over.
  std::optional<head> read_head(double wait_s) {
    const double until = now_s() + wait_s;
    while (true) {
      const auto end = input.find("\r\n\r\n");
      if (end != std::string::npos) {
        head result = parse_head(input.substr(0, end + 2));
        input.erase(0, end + 4);
        return result;
      }
      if (read_some(fd, input, until - now_s()) <= 0) {
        return std::nullopt;
      }
    }
  }
  /// @return true when all bytes came.
  bool read_body(std::size_t n, std::string& body, double wait_s) {
    const double until = now_s() + wait_s;
    while (input.size() < n) {
      if (read_some(fd, input, until - now_s(), 1 << 20) <= 0) {
        return false;
      }
    }
    body = input.substr(0, n);
    input.erase(0, n);
    return true;
  }
};

inline std::size_t length_of(const head& h) {
  const std::string text = h.field("content-length");
  return text.empty() ? 0 : std::stoul(text);
}

struct answer {
  int status = 0;
  head top;
  std::string body;
  /// The head came and all of the announced body.
  bool whole = false;
  std::string ended;
};

/// Reads an answer framed by Content-Length. `pace` bytes a second at most, 0 for all at once.
inline answer read_answer(connection& c, double wait_s, double pace = 0) {
  answer result;
  const double until = now_s() + wait_s;
  const auto h = c.read_head(wait_s);
  if (!h) {
    result.ended = "no answer";
    return result;
  }
  result.top = *h;
  result.status = std::atoi(h->word(1).c_str());
  const std::size_t n = length_of(*h);
  const double began = now_s();
  while (c.input.size() < n) {
    // A paced reader takes what is due by now, and no more.
    const double due = pace > 0 ? pace * (now_s() - began) : 1e18;
    if (pace > 0 && due < static_cast<double>(c.input.size()) + 1) {
      sleep_s(0.005);
      continue;
    }
    const std::size_t step = static_cast<std::size_t>(
        std::min(65536.0, due - static_cast<double>(c.input.size())));
    const ssize_t got = read_some(c.fd, c.input, until - now_s(), step);
    if (got <= 0) {
      result.ended = got == 0 ? "closed" : got == -1 ? "reset" : "out of time";
      result.body = c.input;
      return result;
    }
  }
  result.body = c.input.substr(0, n);
  c.input.erase(0, n);
  result.whole = true;
  return result;
}

inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard guard(mutex);
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// ---- a server: one thread a connection -----------------------------------------------------------

class server {
 public:
  using serve = std::function<void(connection&)>;
  server(const std::string& ip, int port, serve work, int receive_buffer = 0)
      : work_(std::move(work)), fd_(listen_on(ip, port, receive_buffer)) {
    if (fd_ < 0) {
      cannot_run("port in use: " + ip + ":" + std::to_string(port));
    }
    acceptor_ = std::thread([this] { accept_all(); });
  }
  ~server() {
    stopping_ = true;
    shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    close(fd_);
    {
      const std::lock_guard guard(mutex_);
      for (const int fd : open_) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (auto& it : threads_) {
      it.join();
    }
  }

 private:
  void accept_all() {
    while (!stopping_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopping_) {
          return;
        }
        sleep_s(0.01);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      const std::lock_guard guard(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] {
        auto c = std::make_unique<connection>(fd);
        work_(*c);
        const std::lock_guard inner(mutex_);
        open_.erase(fd);
        c.reset();
      });
    }
  }
  serve work_;
  int fd_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// ---- the platform's store -----------------------------------------------------------------------

class store {
 public:
  store(const std::string& ip, int port)
      : server_(std::make_unique<server>(ip, port, [this](connection& c) { work(c, nullptr); })) {}
  ~store() {
    stopping_ = true;
    changed_.notify_all();
    doors_.clear();
    server_.reset();
  }
  /// A further address of the same store, for the machines that it turns away while `busy` is set.
  void open_door(const std::string& ip, int port, const std::atomic<bool>& busy) {
    doors_.push_back(
        std::make_unique<server>(ip, port, [this, &busy](connection& c) { work(c, &busy); }));
  }
  /// What the operator does.
  void put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard guard(mutex_);
    set(kind, name, spec);
  }
  json get(const std::string& kind, const std::string& name) {
    const std::lock_guard guard(mutex_);
    const auto it = objects_[kind].find(name);
    return it == objects_[kind].end() ? json() : it->second;
  }

 private:
  struct event {
    std::uint64_t revision;
    std::string kind;
    json object;
    bool removed;
  };
  json& set(const std::string& kind, const std::string& name, const json& spec) {
    json& it = objects_[kind][name];
    ++revision_;
    if (it.is_null()) {
      it = {{"metadata",
             {{"name", name}, {"created", revision_}, {"finalizers", json::array()},
              {"deleting", false}}},
            {"status", nullptr}};
    }
    it["metadata"]["revision"] = revision_;
    it["spec"] = spec;
    history_.push_back({revision_, kind, it, false});
    changed_.notify_all();
    return it;
  }
  static void reply(connection& c, int status, const json& body) {
    const std::string text = body.dump();
    send_all(c.fd, "HTTP/1.1 " + std::to_string(status) +
                       " X\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(text.size()) + "\r\n\r\n" + text);
  }
  void work(connection& c, const std::atomic<bool>* busy) {
    while (const auto h = c.read_head(3600)) {
      std::string body;
      if (!c.read_body(length_of(*h), body, 10)) {
        return;
      }
      if (busy != nullptr && *busy) {
        reply(c, 503, json::object());
        continue;
      }
      call(c, h->word(0), h->word(1), body);
    }
  }
  void call(connection& c, const std::string& method, const std::string& target,
            const std::string& body) {
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    if (const auto mark = target.find('?'); mark != std::string::npos) {
      std::string rest = target.substr(mark + 1) + "&";
      for (std::size_t at = 0, end; (end = rest.find('&', at)) != std::string::npos; at = end + 1) {
        const std::string pair = rest.substr(at, end - at);
        const auto eq = pair.find('=');
        query[pair.substr(0, eq)] = eq == std::string::npos ? "" : pair.substr(eq + 1);
      }
    }
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      reply(c, 404, json::object());
      return;
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock(mutex_);
    auto& all = objects_[kind];
    if (method == "GET" && query.count("watch") != 0) {
      const std::uint64_t from = std::stoull(query["watch"]);
      const auto until = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::stoll("0" + query["wait-ms"]));
      json events = json::array();
      while (true) {
        for (const auto& it : history_) {
          if (it.revision > from && it.kind == kind) {
            events.push_back({{"object", it.object}, {"removed", it.removed}});
          }
        }
        if (!events.empty() || stopping_ ||
            changed_.wait_until(lock, until) == std::cv_status::timeout) {
          break;
        }
      }
      const json answer{{"events", events}, {"at", revision_}};
      lock.unlock();
      reply(c, 200, answer);
      return;
    }
    if (method == "GET" && name.empty()) {
      json items = json::array();
      for (const auto& [key, it] : all) {
        if (query.count("after") == 0 || key > query["after"]) {
          items.push_back(it);
        }
      }
      const json answer{{"items", items}, {"has-more", false}, {"at", revision_}};
      lock.unlock();
      reply(c, 200, answer);
      return;
    }
    int status = 200;
    json answer = json::object();
    if (method == "GET") {
      const auto it = all.find(name);
      status = it == all.end() ? 404 : 200;
      answer = it == all.end() ? json::object() : it->second;
    } else if (method == "POST") {
      const json value = json::parse(body, nullptr, false);
      const std::string key = value["metadata"].value("name", "");
      if (all.count(key) != 0) {
        status = 409;
        answer = all[key];
      } else {
        status = 201;
        answer = set(kind, key, value["spec"]);
      }
    } else if (method == "PUT") {
      const json value = json::parse(body, nullptr, false);
      const auto it = all.find(name);
      const std::uint64_t asked = value["metadata"].value("revision", std::uint64_t{0});
      if (it == all.end()) {
        status = 404;
      } else if (asked != 0 && asked != it->second["metadata"]["revision"].get<std::uint64_t>()) {
        status = 409;
        answer = it->second;
      } else {
        answer = it->second["spec"] == value["spec"] ? it->second : set(kind, name, value["spec"]);
      }
    } else {
      status = 404;
    }
    lock.unlock();
    reply(c, status, answer);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::vector<event> history_;
  std::unique_ptr<server> server_;
  std::vector<std::unique_ptr<server>> doors_;
};

// ---- machines ------------------------------------------------------------------------------------

/// Addresses of one machine; the ports are the same on all machines.
struct machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;
  int outbound = 8548;
  int ready = 8546;
  int control = 8540;
  int app = 8547;
};

/// A node: the program and the settings of the deploy file.
class node {
 public:
  node(machine at, std::string store_address, std::filesystem::path folder)
      : at_(std::move(at)), store_(std::move(store_address)), folder_(std::move(folder)) {}
  ~node() { stop(SIGKILL); }
  node(const node&) = delete;
  void start(bool first = true) {
    const auto settings = folder_ / (at_.name + ".json");
    std::ofstream(settings) << fill_template(first);
    const std::string program = command();
    const std::string log = (folder_ / (at_.name + ".log")).string();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("DAMASKLEDGE_BOOT", settings.c_str(), 1);
      execl(program.c_str(), program.c_str(), nullptr);
      _exit(127);
    }
  }
  void signal(int which) const {
    if (pid_ > 0) {
      kill(pid_, which);
    }
  }
  /// @return true if the process has ended.
  bool ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ < 0;
  }
  int status() const { return status_; }
  void stop(int which) {
    if (!ended()) {
      kill(pid_, which);
      kill(pid_, SIGCONT);
      for (int i = 0; i < 1000 && !ended(); ++i) {
        sleep_s(0.01);
      }
      if (!ended()) {
        kill(pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
        pid_ = -1;
      }
    }
  }
  const machine& at() const { return at_; }
  pid_t pid() const { return pid_; }
  /// @return the status of /ready, 0 without an answer.
  int ready() const {
    connection c(connect_to(at_.ip, at_.ready));
    if (c.fd < 0) {
      return 0;
    }
    send_all(c.fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return read_answer(c, 1).status;
  }
  bool await_ready(double limit_s) const {
    for (const double until = now_s() + limit_s; now_s() < until; sleep_s(0.05)) {
      if (ready() == 200) {
        return true;
      }
    }
    return false;
  }

 private:
  static std::string command() {
    std::ifstream in("deploy/system.toml");
    for (std::string line; std::getline(in, line);) {
      if (line.rfind("run = \"", 0) == 0) {
        return std::filesystem::absolute(line.substr(7, line.rfind('"') - 7)).string();
      }
    }
    cannot_run("deploy/system.toml names no command");
  }
  std::string fill_template(bool first) const {
    const json fields{
        {"node-name", at_.name},
        {"role", "sidecar-node"},
        {"zone", at_.zone},
        {"service", at_.service},
        {"ip-address", at_.ip},
        {"listen-addrs",
         {{"outbound", at_.ip + ":" + std::to_string(at_.outbound)},
          {"ready", at_.ip + ":" + std::to_string(at_.ready)},
          {"control", at_.ip + ":" + std::to_string(at_.control)}}},
        {"port-range", {7000, 7015}},
        {"app-addr", at_.ip + ":" + std::to_string(at_.app)},
        {"platform", {{"address", store_}, {"form", "objects"}}},
        {"bootstrap", first},
        {"bounds",
         {{"drain-ms", 2000}, {"grace-s", 6}, {"retry-budget-ratio", 0.2},
          {"retry-budget-slack", 47}, {"budget-window-s", 10}, {"quota-slack", 20}}}};
    std::ifstream in("deploy/node.json.template");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    if (text.empty()) {
      cannot_run("deploy/node.json.template is missing");
    }
    static const std::regex hole(R"(\{\{([a-z0-9.-]+)(\|json)?\}\})");
    std::string result;
    auto last = text.cbegin();
    for (std::sregex_iterator it(text.begin(), text.end(), hole), end; it != end; ++it) {
      result.append(last, (*it)[0].first);
      last = (*it)[0].second;
      const json* value = &fields;
      std::string path = (*it)[1].str() + ".";
      for (std::size_t at = 0, dot; (dot = path.find('.', at)) != std::string::npos; at = dot + 1) {
        const std::string key = path.substr(at, dot - at);
        if (value->is_array()) {
          value = &value->at(std::stoul(key));
        } else if (value->contains(key)) {
          value = &value->at(key);
        } else {
          cannot_run("the template asks for " + (*it)[1].str());
        }
      }
      result += (*it)[2].matched || !value->is_string() ? value->dump() : value->get<std::string>();
    }
    result.append(last, text.cend());
    return result;
  }
  machine at_;
  std::string store_;
  std::filesystem::path folder_;
  pid_t pid_ = -1;
  int status_ = 0;
};

/// Sends heartbeats of a target to its node.
class heartbeats {
 public:
  heartbeats(machine at, std::string instance, int slots)
      : at_(std::move(at)), instance_(std::move(instance)), slots_(slots), born_(unix_ms()) {
    thread_ = std::thread([this] {
      while (!stopping_) {
        send();
        for (int i = 0; i < 150 && !stopping_; ++i) {
          sleep_s(0.01);
        }
      }
    });
  }
  ~heartbeats() {
    stopping_ = true;
    thread_.join();
  }

 private:
  void send() {
    connection c(connect_to(at_.ip, at_.control));
    if (c.fd < 0) {
      return;
    }
    const json body{
        {"address", at_.ip + ":" + std::to_string(at_.app)},
        {"born", born_},
        {"info", {{"service", at_.service}, {"version", "v1"}, {"zone", at_.zone}, {"slots", slots_}}},
        {"status", {{"state", "ready"}, {"sequence", ++sequence_}, {"cold-remaining-ms", 0}}}};
    const std::string text = body.dump();
    send_all(c.fd, "POST /instances/" + instance_ + "/heartbeat HTTP/1.1\r\nHost: x\r\n" +
                       "Content-Type: application/json\r\nContent-Length: " +
                       std::to_string(text.size()) + "\r\n\r\n" + text);
    (void)read_answer(c, 1);
  }
  machine at_;
  std::string instance_;
  int slots_;
  long long born_;
  long long sequence_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// A configuration of the operator; the limits are those of the pages' example.
inline json route(const std::string& name, const std::string& kind, const std::string& prefix,
                  const std::string& service, int timeout_ms, int attempts) {
  return {{"name", name},
          {"kind", kind},
          {"aim-ms", 1500},
          {"priority", 0},
          {"public", false},
          {"match", {{"path-prefix", prefix}}},
          {"action", {{"service", service}, {"timeout-ms", timeout_ms}, {"max-attempts", attempts}}}};
}

inline json configuration(const std::string& version, const std::vector<std::string>& services,
                          const json& rules) {
  json clusters = json::array();
  for (const auto& it : services) {
    clusters.push_back({{"name", it}, {"health-path", "/health"}, {"max-connections", 508}});
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
             {"rate-per-s", 1000},
             {"burst", 1000}}}},
          {"listeners", {{{"host", "hulo84.example"}, {"rules", rules}}}},
          {"clusters", clusters}};
}

inline std::string request_head(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms, std::size_t body) {
  return method + " " + path + " HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Key: 6wsjnbanfqasnmgkcuyj\r\n" +
         (method == "GET" ? "" : "Content-Length: " + std::to_string(body) + "\r\n") + "\r\n";
}

inline std::string answer_head(const head& request, int status, const std::string& extra) {
  return "HTTP/1.1 " + std::to_string(status) + " OK\r\nX-Request-Id: " +
         request.field("x-request-id") + "\r\nX-Response-Stamp: stamp." +
         request.field("x-request-id") + "\r\n" + extra + "\r\n";
}

inline std::string length_field(std::size_t n) {
  return "Content-Length: " + std::to_string(n) + "\r\n";
}

/// Answers a health check. @return true if the request was one.
inline bool answer_health(connection& c, const head& h, const std::string& instance) {
  if (h.word(1) != "/health") {
    return false;
  }
  send_all(c.fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n");
  return true;
}

/// Temporary folder and a free part of the loopback range.
struct place {
  std::filesystem::path folder;
  std::string prefix;
  bool keep = std::getenv("KEEP") != nullptr;
  place() {
    std::string text = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(text.data()) == nullptr) {
      cannot_run("no temporary folder");
    }
    folder = text;
    std::mt19937 random{std::random_device{}()};
    for (int i = 0; i < 100 && prefix.empty(); ++i) {
      const std::string candidate = "127." + std::to_string(100 + random() % 100) + "." +
                                    std::to_string(1 + random() % 250) + ".";
      if (is_free(candidate)) {
        prefix = candidate;
      }
    }
    if (prefix.empty()) {
      cannot_run("no free addresses");
    }
  }
  static bool is_free(const std::string& candidate) {
    for (const int last : {1, 2, 3, 4, 5}) {
      for (const int port : {7000, 7001, 8540, 8545, 8546, 8547, 8548}) {
        const int fd = listen_on(candidate + std::to_string(last), port);
        if (fd < 0) {
          return false;
        }
        close(fd);
      }
    }
    return true;
  }
  ~place() {
    if (!keep) {
      std::filesystem::remove_all(folder);
    } else {
      std::printf("logs in %s\n", folder.c_str());
    }
  }
};

inline bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Runs a case: `play` returns true if the rule held.
inline int run_case(int argc, char** argv, const std::function<bool(recorder&)>& play) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
    return 2;
  }
  try {
    recorder record(argv[1]);
    const bool held = play(record);
    record.line("%s", held ? "the rule held" : "the rule is broken");
    std::printf("%s\n", held ? "the rule held" : "the rule is broken");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}

} // namespace rig
