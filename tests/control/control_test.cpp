#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "control/control.h"

namespace damaskledge::control {
namespace {

using nlohmann::json;

/// What happens to one write.
enum class fate { answered, lost_after_effect, lost_before_effect, refused };

/// Object API in memory, with a script of faults.
class fake_platform {
 public:
  platform::answer execute(const platform::call& what) {
    if (const auto* it = std::get_if<platform::read>(&what)) {
      if (!read_faults.empty()) {
        const bool fails = read_faults.front();
        read_faults.pop_front();
        if (fails) {
          return platform::unavailable{"read refused", milliseconds{0}};
        }
      }
      return current(it->name);
    }
    const auto& it = std::get<platform::write>(what);
    if (before_write) {
      const auto action = std::exchange(before_write, nullptr);
      action();
    }
    fate outcome = fate::answered;
    if (!write_fates.empty()) {
      outcome = write_fates.front();
      write_fates.pop_front();
    }
    switch (outcome) {
    case fate::refused:
      return platform::unavailable{"write refused", milliseconds{0}};
    case fate::lost_before_effect:
      return platform::unresolved{"no answer"};
    case fate::lost_after_effect:
      put(it);
      return platform::unresolved{"no answer"};
    default:
      return put(it);
    }
  }

  platform::answer put(const platform::write& what) {
    platform::object& object = objects[what.name];
    if (object.version != what.expected_version) {
      return platform::conflict{object};
    }
    object = {what.name, object.version + 1, what.content};
    return platform::found{object};
  }

  void set(const std::string& name, const std::string& content) {
    objects[name] = {name, objects[name].version + 1, content};
  }

  platform::answer current(const std::string& name) const {
    const auto it = objects.find(name);
    if (it == objects.end() || it->second.version == 0) {
      return platform::absent{};
    }
    return platform::found{it->second};
  }

  std::map<std::string, platform::object> objects;
  std::deque<fate> write_fates;
  std::deque<bool> read_faults;
  /// Runs once, just before the next write; for races.
  std::function<void()> before_write;
};

struct fixture {
  fixture() {
    outside.platform = [this](const platform::call& what) { return platform.execute(what); };
    outside.get = [this](const endpoint& node, const std::string& path) {
      // explain asks several nodes at the same time.
      const std::lock_guard lock(requested_mutex);
      requested.push_back(to_string(node) + path);
      const auto it = replies.find(node.address);
      return it == replies.end() ? node_reply{0, "connection refused"} : it->second;
    };
    outside.now = [this] { return now; };
    outside.sleep = [this](milliseconds value) {
      now += value;
      if (on_sleep) {
        on_sleep();
      }
    };
    outside.progress = [this](const std::string& line) { progress.push_back(line); };
    given.accounts = example("accounts.json");
    given.plans = example("plans.json");
  }

  static std::string example(const std::string& name) {
    return std::string(DAMASKLEDGE_SOURCE_DIR) + "/examples/moquegua/" + name;
  }

  command_output call(std::vector<std::string> words) { return run(words, given, outside); }

  /// The example lists, stored as version 1.
  config::lists store_lists() {
    REQUIRE(call({"apply"}).code == exit_code::success);
    return config::parse_lists_document(
               json::parse(platform.objects["config/lists"].content)["lists"].dump())
        .value();
  }

  void store(const config::lists& value) {
    platform.set("config/lists",
                 config::to_object_content(config::lists_document, to_document(value), "other"));
  }

  void set_status(const std::string& data_centre, const std::string& document,
                  std::uint64_t version, int with_version, int nodes) {
    json documents = json::array();
    documents.push_back({{"name", document}, {"version", version}, {"nodes", with_version}});
    if (with_version < nodes) {
      documents.push_back(
          {{"name", document}, {"version", version - 1}, {"nodes", nodes - with_version}});
    }
    json value{{"write_id", "s"}, {"data_centre", data_centre}, {"coordinator", "n1"},
               {"nodes", nodes},  {"documents", documents},     {"lagging", json::array()},
               {"time_ms", 1},    {"targets", json::array()}};
    if (with_version < nodes) {
      value["lagging"].push_back("slow-node");
    }
    value["targets"].push_back({{"id", "t1"}, {"service", "plots"}, {"state", "up"}});
    platform.set("status/" + data_centre, value.dump());
  }

  fake_platform platform;
  environment outside;
  flags given;
  time_point now{};
  std::vector<std::string> progress;
  std::mutex requested_mutex;
  std::vector<std::string> requested;
  std::map<std::string, node_reply> replies;
  std::function<void()> on_sleep;
};

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE_FIXTURE(fixture, "apply stores the lists with a write id and repeats nothing") {
  CHECK(call({"diff"}).code == exit_code::different);
  const command_output first = call({"apply"});
  CHECK(first.code == exit_code::success);
  CHECK(contains(first.out, "lists version 1 is accepted"));
  const json content = json::parse(platform.objects["config/lists"].content);
  CHECK(content.size() == 2);
  CHECK(content["write_id"].get<std::string>().size() == 32);
  CHECK(content["lists"]["accounts"].size() == 8);
  CHECK(contains(call({"apply"}).out, "nothing to change, lists version 1"));
  CHECK(platform.objects["config/lists"].version == 1);
  CHECK(call({"diff"}).code == exit_code::success);
  CHECK(contains(call({"show"}).out, "route open-gate: POST /gate/open, high"));
}

TEST_CASE_FIXTURE(fixture, "The loser of a race is told what the winner changed") {
  config::lists other = store_lists();
  config::lists base = other;
  base.plans[0].rate = 1;
  store(base);
  other.accounts.pop_back();
  platform.before_write = [&] { store(other); };
  const command_output result = call({"apply"});
  CHECK(result.code == exit_code::lost_race);
  CHECK(contains(result.err, "expected version 2, current version 3"));
  CHECK(contains(result.err, "account weather-office: removed"));
  CHECK(contains(result.err, "plan large: rate 1.0 -> 1200.0"));
  CHECK(platform.objects["config/lists"].version == 3);
}

TEST_CASE_FIXTURE(fixture, "apply refuses when the version is not the expected one") {
  config::lists other = store_lists();
  other.plans[0].rate = 1;
  store(other);
  given.expect_version = 1;
  given.output = "json";
  const command_output result = call({"apply"});
  CHECK(result.code == exit_code::lost_race);
  const json data = json::parse(result.out);
  CHECK(data["current_version"] == 2);
  CHECK(data["exit_code"] == 4);
  CHECK(contains(data["changes"].dump(), "plan large: rate 1200.0 -> 1.0"));
  CHECK(platform.objects["config/lists"].version == 2);
  given.expect_version = 2;
  CHECK(call({"apply"}).code == exit_code::success);
}

TEST_CASE_FIXTURE(fixture, "Stored lists that do not pass the checks are replaced on demand only") {
  platform.set("config/lists", R"({"write_id": "x", "lists": {"accounts": []}})");
  const command_output result = call({"apply"});
  CHECK(result.code == exit_code::invalid);
  CHECK(platform.objects["config/lists"].version == 1);
  given.expect_version = 1;
  CHECK(call({"apply"}).code == exit_code::success);
}

TEST_CASE("The exit code tells the truth about a write whatever answers are lost") {
  CHECK(rc::check([] {
    fixture it;
    const auto fates = *rc::gen::container<std::vector<fate>>(rc::gen::element(
        fate::answered, fate::lost_after_effect, fate::lost_before_effect, fate::refused));
    const auto faults = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    const bool raced = *rc::gen::arbitrary<bool>();
    it.platform.write_fates.assign(fates.begin(), fates.end());
    it.platform.read_faults.assign(faults.begin(), faults.end());
    if (raced) {
      it.platform.before_write = [&] { it.platform.set("config/lists", "{}"); };
    }
    const command_output result = it.call({"apply"});
    const auto& object = it.platform.objects["config/lists"];
    const bool stored = object.version == 1 && contains(object.content, "valley-cooperative");
    RC_ASSERT(object.version <= 1);
    switch (result.code) {
    case exit_code::success:
      RC_ASSERT(stored);
      break;
    case exit_code::unresolved:
      break;
    default:
      RC_ASSERT(!stored);
    }
  }));
}

TEST_CASE_FIXTURE(fixture, "A given key is printed once and only its digest is stored") {
  store_lists();
  given.account = "ilo-growers";
  given.output = "json";
  const command_output result = call({"keys", "give"});
  REQUIRE(result.code == exit_code::success);
  const std::string key = json::parse(result.out)["key"];
  REQUIRE(key.size() == 4 + 12 + 1 + 43);
  CHECK(key.starts_with("dlk_"));
  const std::string secret = key.substr(17);
  CHECK(secret.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                 "0123456789-_") == std::string::npos);
  const std::string& content = platform.objects["config/keys"].content;
  CHECK_FALSE(contains(content, secret));
  const json record = json::parse(content)["keys"]["records"][0];
  const digest256 digest = sha256(secret);
  CHECK(record["digest"] == to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()}));
  CHECK(record["id"] == key.substr(4, 12));
  CHECK(record["account"] == "ilo-growers");
  CHECK_FALSE(contains(call({"keys", "list"}).out, secret));
  given.account = "nobody";
  CHECK(call({"keys", "give"}).code == exit_code::not_found);
  given.account = "";
  CHECK(call({"keys", "give"}).code == exit_code::usage);
}

TEST_CASE_FIXTURE(fixture, "Operators that give keys at the same time both keep theirs") {
  store_lists();
  given.account = "ilo-growers";
  config::keys other;
  other.records.push_back(make_key("omate-growers", 1).second);
  platform.before_write = [&] {
    platform.set("config/keys",
                 config::to_object_content(config::keys_document, to_document(other), "other"));
  };
  platform.write_fates = {fate::answered, fate::lost_after_effect};
  CHECK(call({"keys", "give"}).code == exit_code::success);
  const json records = json::parse(platform.objects["config/keys"].content)["keys"]["records"];
  REQUIRE(records.size() == 2);
  CHECK(records[0]["account"] == "omate-growers");
  CHECK(records[1]["account"] == "ilo-growers");
}

TEST_CASE_FIXTURE(fixture, "A withdrawn key stays recorded until it is removed") {
  store_lists();
  given.account = "ilo-growers";
  given.output = "json";
  const std::string id = json::parse(call({"keys", "give"}).out)["id"];
  given.output = "text";
  CHECK(call({"keys", "remove", id}).code == exit_code::usage);
  CHECK(call({"keys", "withdraw", id}).code == exit_code::success);
  CHECK(contains(call({"keys", "list"}).out, "withdrawn"));
  CHECK(call({"keys", "withdraw", id}).code == exit_code::success);
  CHECK(platform.objects["config/keys"].version == 2);
  CHECK(call({"keys", "withdraw", "000000000000"}).code == exit_code::not_found);
  CHECK(call({"keys", "remove", id}).code == exit_code::success);
  CHECK(call({"keys", "list"}).out.empty());
}

TEST_CASE_FIXTURE(fixture, "--wait ends when every data centre has confirmed") {
  given.wait = true;
  set_status("moquegua-1", "lists", 1, 4, 4);
  set_status("moquegua-2", "lists", 1, 3, 4);
  int pauses = 0;
  on_sleep = [&] {
    if (++pauses == 2) {
      set_status("moquegua-2", "lists", 1, 4, 4);
      set_status("moquegua-3", "lists", 2, 5, 5);
    }
  };
  const command_output result = call({"apply"});
  CHECK(result.code == exit_code::success);
  CHECK(contains(result.out, "lists version 1 is in force in every data centre"));
  CHECK(pauses == 2);
  CHECK(progress.size() == 5);
  CHECK(contains(progress[1], "moquegua-2: 3 of 4 nodes, lagging: slow-node"));
}

TEST_CASE_FIXTURE(fixture, "--wait names the data centres and nodes that have not confirmed") {
  store_lists();
  given.account = "ilo-growers";
  given.output = "json";
  const std::string id = json::parse(call({"keys", "give"}).out)["id"];
  given.wait = true;
  given.wait_timeout = "3s";
  // Version 2 of the keys is the withdrawal; version 1 still honours the key.
  set_status("moquegua-1", "keys", 2, 4, 4);
  set_status("moquegua-2", "keys", 2, 3, 4);
  const time_point start = now;
  const command_output result = call({"keys", "withdraw", id});
  CHECK(result.code == exit_code::not_confirmed);
  CHECK(now - start == seconds(3));
  const json data = json::parse(result.out);
  CHECK(data["in_force"] == false);
  CHECK(data["data_centres"][0]["confirmed"] == true);
  CHECK(data["data_centres"][1]["lagging"] == json({"slow-node"}));
  CHECK(data["data_centres"][2]["problem"] == "it has written no status");
  given.output = "text";
  const std::string text = call({"keys", "withdraw", id}).out;
  CHECK(contains(text, "moquegua-2: 3 of 4 nodes, lagging: slow-node"));
  CHECK(contains(text, "moquegua-3: it has written no status"));
  CHECK(contains(text, "key_grace"));
  CHECK_FALSE(contains(text, "moquegua-1:"));
}

TEST_CASE_FIXTURE(fixture, "A data centre without nodes confirms nothing") {
  given.wait = true;
  given.wait_timeout = "1s";
  for (const auto* it : {"moquegua-1", "moquegua-2", "moquegua-3"}) {
    set_status(it, "lists", 1, 0, 0);
  }
  CHECK(call({"apply"}).code == exit_code::not_confirmed);
}

TEST_CASE_FIXTURE(fixture, "status shows accounts, targets and versions of each data centre") {
  store_lists();
  set_status("moquegua-1", "lists", 7, 3, 4);
  const std::string text = call({"status"}).out;
  CHECK(contains(text, "lists version 1, keys version 0"));
  CHECK(contains(text, "account ilo-growers: plan grower, 0 valid"));
  CHECK(contains(text, "data centre moquegua-1: 4 nodes, coordinator n1"));
  CHECK(contains(text, "  lists version 7: 3 nodes"));
  CHECK(contains(text, "  lagging: slow-node"));
  CHECK(contains(text, "  target t1: plots, up"));
  CHECK(contains(text, "data centre moquegua-2: no status"));
  given.output = "json";
  const json data = json::parse(call({"status"}).out);
  CHECK(data["data_centres"][0]["status"]["nodes"] == 4);
  CHECK(data["data_centres"][1]["status"].is_null());
}

TEST_CASE_FIXTURE(fixture, "explain asks every node and never takes silence for an answer") {
  store_lists();
  const auto directory = [&](const std::string& data_centre, const std::string& address) {
    const json node{
        {"name", "n-" + address}, {"address", address}, {"peer_port", 1}, {"metrics_port", 83}};
    platform.set("directory/" + data_centre,
                 json{{"write_id", "d"}, {"nodes", json::array({node})}}.dump());
  };
  directory("moquegua-1", "127.0.0.1");
  directory("moquegua-2", "127.0.0.2");
  replies["127.0.0.1"] = {404, ""};
  replies["127.0.0.2"] = {200, R"({"reason": "rate-exceeded", "outcome": "not-run"})"};
  const command_output found = call({"explain", "abc123"});
  CHECK(found.code == exit_code::success);
  CHECK(contains(found.out, "node n-127.0.0.2:"));
  CHECK(contains(found.out, "  reason: rate-exceeded"));
  CHECK(requested.size() == 2);
  CHECK(contains(requested[0], ":83/explain?request=abc123"));

  replies["127.0.0.2"] = {404, ""};
  // Data centre moquegua-3 has no directory, so its nodes may know the request.
  CHECK(call({"explain", "abc123"}).code == exit_code::unavailable);
  directory("moquegua-3", "127.0.0.3");
  CHECK(call({"explain", "abc123"}).code == exit_code::unavailable);
  replies["127.0.0.3"] = {404, ""};
  CHECK(call({"explain", "abc123"}).code == exit_code::not_found);
  CHECK(call({"explain", "a&b"}).code == exit_code::usage);
}

TEST_CASE_FIXTURE(fixture, "validate reports every error with its place") {
  given.node = example("node.json");
  CHECK(call({"validate"}).code == exit_code::success);
  given.node = given.plans;
  const command_output result = call({"validate"});
  CHECK(result.code == exit_code::invalid);
  CHECK(contains(result.err, "plans.json:3: plans: found an unknown field"));
  given.output = "json";
  CHECK(json::parse(call({"validate"}).out)["errors"].size() > 3);
  given.node = "";
  given.accounts = "";
  CHECK(call({"validate"}).code == exit_code::usage);
  given.plans = "";
  CHECK(call({"validate"}).code == exit_code::usage);
}

TEST_CASE_FIXTURE(fixture, "An unreachable platform changes nothing and is told as such") {
  platform.write_fates.assign(100, fate::refused);
  CHECK(call({"apply"}).code == exit_code::unavailable);
  platform.read_faults.assign(100, true);
  CHECK(call({"show"}).code == exit_code::unavailable);
  CHECK(now > time_point{});
}

TEST_CASE_FIXTURE(fixture, "Wrong command lines are usage errors") {
  for (const std::vector<std::string>& words : {std::vector<std::string>{},
                                                {"destroy"},
                                                {"apply", "x"},
                                                {"keys"},
                                                {"keys", "withdraw"},
                                                {"explain"},
                                                {"help", "destroy"}}) {
    CAPTURE(words.size());
    CHECK(call(words).code == exit_code::usage);
  }
  given.output = "xml";
  CHECK(call({"show"}).code == exit_code::usage);
  given.output = "text";
  given.wait = true;
  given.wait_timeout = "soon";
  CHECK(call({"apply"}).code == exit_code::usage);
  CHECK(platform.objects.empty());
}

TEST_CASE_FIXTURE(fixture, "Every command has help") {
  for (const std::vector<std::string>& words : {std::vector<std::string>{"validate"},
                                                {"show"},
                                                {"diff"},
                                                {"apply"},
                                                {"keys", "give"},
                                                {"keys", "list"},
                                                {"keys", "withdraw"},
                                                {"keys", "remove"},
                                                {"keys"},
                                                {"status"},
                                                {"explain"}}) {
    CAPTURE(words.front());
    CHECK(contains(help(words), "damaskledgectl " + words.front()));
    CHECK(contains(help({}), words.front()));
  }
}

TEST_CASE("The operators' page has every command and exit code") {
  const std::string page =
      config::read_file(std::string(DAMASKLEDGE_SOURCE_DIR) + "/docs/operators.md").value();
  for (const auto* it : {"validate", "show", "diff", "apply", "keys give", "keys list",
                         "keys withdraw", "keys remove", "status", "explain"}) {
    CAPTURE(it);
    CHECK(contains(page, "| `" + std::string(it) + "` | `damaskledgectl " + it));
  }
  for (int it = 0; it <= static_cast<int>(exit_code::output_failed); ++it) {
    CHECK(contains(page, "| " + std::to_string(it) + " | "));
  }
}

TEST_CASE("Malformed endpoints and timeouts of the platform are usage errors") {
  const auto code = [](std::string_view endpoints, std::string_view timeout) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
          BOOST_LEAF_CHECK(make_environment(endpoints, timeout));
          return exit_code::success;
        },
        [](const failure& value) { return code_of(value); }, [] { return exit_code::invalid; });
  };
  CHECK(code("127.0.0.1:9000,127.0.0.1:9001", "1s") == exit_code::success);
  CHECK(code("", "1s") == exit_code::success);
  CHECK(code("127.0.0.1", "1s") == exit_code::usage);
  CHECK(code("127.0.0.1:9000", "0s") == exit_code::usage);
}

} // namespace
} // namespace damaskledge::control
