#include <nlohmann/json.hpp>

#include "control/commands.h"

namespace damaskledge::control {

namespace {

using nlohmann::ordered_json;

std::string number(double value) {
  return ordered_json(value).dump();
}

std::string joined(const std::vector<std::string>& values) {
  std::string result;
  for (const auto& it : values) {
    result += (result.empty() ? "" : ",") + it;
  }
  return result.empty() ? "-" : result;
}

std::string counts(const config::lists& value) {
  return std::to_string(value.accounts.size()) + " accounts, " +
         std::to_string(value.plans.size()) + " plans, " + std::to_string(value.routes.size()) +
         " routes, " + std::to_string(value.data_centres.size()) + " data centres";
}

leaf::result<std::string> required_file(const std::string& path, std::string_view flag) {
  if (path.empty()) {
    return leaf::new_error(
        failure(usage_error{"--" + std::string(flag) + " is missing; name the file"}));
  }
  return config::read_file(path);
}

/// Reads the lists that `apply` replaces. Stored lists that don't pass the checks, for example
/// those of an older version of the program, can be replaced only with `--expect_version`.
leaf::result<stored<config::lists>> read_replaced_lists(const flags& given,
                                                        const environment& outside) {
  return leaf::try_handle_some(
      [&] { return read_lists(outside); },
      [&](const leaf::error_info& info,
          const failure& error) -> leaf::result<stored<config::lists>> {
        if (!std::holds_alternative<invalid_input>(error) || given.expect_version < 0) {
          return info.error();
        }
        outside.progress("the stored lists do not pass the checks and count as empty: " +
                         to_string(error));
        BOOST_LEAF_AUTO(object,
                        read_object(outside, "config/" + std::string(config::lists_document)));
        return stored<config::lists>{{}, object ? object->version : 0};
      });
}

} // namespace

std::vector<std::string> data_centre_names(const config::lists& value) {
  std::vector<std::string> result;
  for (const auto& it : value.data_centres) {
    result.push_back(it.name);
  }
  return result;
}

leaf::result<config::lists> read_list_files(const flags& given) {
  return checked([&]() -> leaf::result<config::lists> {
    BOOST_LEAF_AUTO(accounts, required_file(given.accounts, "accounts"));
    BOOST_LEAF_AUTO(plans, required_file(given.plans, "plans"));
    return config::parse_lists(accounts, given.accounts, plans, given.plans);
  });
}

leaf::result<report> validate(const flags& given) {
  report result;
  if (given.accounts.empty() && given.plans.empty() && given.node.empty()) {
    return leaf::new_error(failure(
        usage_error{"no file to check; give --accounts and --plans, or --node, or all three"}));
  }
  if (!given.accounts.empty() || !given.plans.empty()) {
    BOOST_LEAF_AUTO(value, read_list_files(given));
    result.lines.push_back(given.accounts + ", " + given.plans + ": valid, " + counts(value));
  }
  if (!given.node.empty()) {
    BOOST_LEAF_AUTO(value, checked([&]() -> leaf::result<config::node_settings> {
                      BOOST_LEAF_AUTO(text, config::read_file(given.node));
                      return config::parse_node_settings(text, given.node);
                    }));
    result.lines.push_back(given.node + ": valid, node " + value.name + " in " + value.data_centre);
  }
  result.data["valid"] = true;
  return result;
}

leaf::result<report> show(const environment& outside) {
  BOOST_LEAF_AUTO(current, read_lists(outside));
  report result;
  result.data["version"] = current.version;
  if (current.version == 0) {
    result.lines.emplace_back("there are no lists yet");
    result.data["lists"] = nullptr;
    return result;
  }
  result.data["lists"] = ordered_json::parse(to_document(current.value));
  result.lines.push_back("lists version " + std::to_string(current.version) + ": " +
                         counts(current.value));
  for (const auto& it : current.value.accounts) {
    result.lines.push_back("account " + it.name + ": plan " + it.plan);
  }
  for (const auto& it : current.value.plans) {
    result.lines.push_back("plan " + it.name + ": rate " + number(it.rate) + "/s, burst " +
                           number(it.burst) + ", routes " + joined(it.routes));
  }
  for (const auto& it : current.value.routes) {
    result.lines.push_back(
        "route " + it.name + ": " + it.method + " /" + it.service + it.path + ", " +
        std::string(damaskledge::to_string(it.importance)) + ", deadline " +
        config::format_duration(it.deadline) + (it.idempotent ? "" : ", not idempotent") +
        (it.operation_field.empty() ? "" : " (operation field " + it.operation_field + ")") +
        (it.open ? ", open" : "") + (it.calls.empty() ? "" : ", calls " + joined(it.calls)));
  }
  for (const auto& it : current.value.data_centres) {
    result.lines.push_back("data centre " + it.name + ": weight " + number(it.weight));
  }
  return result;
}

leaf::result<report> diff(const flags& given, const environment& outside) {
  BOOST_LEAF_AUTO(wanted, read_list_files(given));
  BOOST_LEAF_AUTO(current, read_lists(outside));
  report result;
  result.lines = differences(current.value, wanted);
  result.data["version"] = current.version;
  result.data["differences"] = result.lines;
  if (!result.lines.empty()) {
    result.code = exit_code::different;
  }
  return result;
}

leaf::result<report> apply(const flags& given, const environment& outside) {
  BOOST_LEAF_AUTO(wanted, read_list_files(given));
  BOOST_LEAF_AUTO(before, read_replaced_lists(given, outside));
  const std::uint64_t expected =
      given.expect_version < 0 ? before.version : static_cast<std::uint64_t>(given.expect_version);
  if (expected != before.version) {
    // The platform keeps no earlier versions, so what the others changed since the expected
    // version is unknown; what can be told is how their lists differ from these files.
    std::vector<std::string> changes{"the current lists differ from the files as follows "
                                     "(files -> current):"};
    for (auto& it : differences(wanted, before.value)) {
      changes.push_back("  " + std::move(it));
    }
    return leaf::new_error(failure(lost_race{std::string(config::lists_document), expected,
                                             before.version, std::move(changes)}));
  }
  report result;
  std::uint64_t version = before.version;
  const auto changes = differences(before.value, wanted);
  if (before.version != 0 && before.value == wanted) {
    result.lines.push_back("nothing to change, lists version " + std::to_string(version));
  } else {
    BOOST_LEAF_AUTO(written,
                    write_document(outside, config::lists_document, expected, to_document(wanted)));
    if (!written.written) {
      BOOST_LEAF_AUTO(after, read_lists(outside));
      return leaf::new_error(
          failure(lost_race{std::string(config::lists_document), expected, after.version,
                            differences(before.value, after.value)}));
    }
    version = written.version;
    result.lines.push_back("lists version " + std::to_string(version) + " is accepted");
    for (const auto& it : changes) {
      result.lines.push_back("  " + it);
    }
  }
  result.data["version"] = version;
  result.data["changes"] = changes;
  BOOST_LEAF_CHECK(
      add_wait(outside, given, config::lists_document, version, data_centre_names(wanted), result));
  return result;
}

} // namespace damaskledge::control
