#include "control/control.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "control/commands.h"

namespace damaskledge::control {

namespace {

struct command {
  /// Words of the command, separated by one space.
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  std::string_view details;
};

constexpr std::array commands{
    command{"validate", "--accounts FILE --plans FILE [--node FILE]",
            "check files without the platform",
            "Checks the two lists together, and a node's settings when --node is given.\n"
            "All errors are printed with file, line, field, what was found and the remedy."},
    command{"show", "", "print the lists in the platform and their version", ""},
    command{"diff", "--accounts FILE --plans FILE",
            "compare the lists in the platform with the files", "Exits with 2 when they differ."},
    command{"apply", "--accounts FILE --plans FILE [--expect_version N] [--wait]",
            "replace the lists in the platform by the files",
            "The write takes effect only if the lists still have version N (default: the version "
            "read\nat the start; 0: no lists yet). Whoever loses a race is told what the winner "
            "changed."},
    command{"keys give", "--account ACCOUNT [--wait]", "give an account a new key",
            "The key is printed once; only a digest of its secret is stored."},
    command{"keys list", "[--account ACCOUNT]", "print ids, accounts and states of the keys", ""},
    command{"keys withdraw", "ID [--wait]", "withdraw a key",
            "With --wait, the data centres that have not confirmed are named."},
    command{"keys remove", "ID [--wait]", "remove the record of a withdrawn key",
            "Callers then get key-unknown instead of key-withdrawn. Frees space in the document."},
    command{"status", "", "print accounts, targets, and versions in force in each data centre", ""},
    command{"explain", "REQUEST_ID", "tell why a request was refused",
            "Asks every node that the directory objects list."},
};

constexpr std::string_view common_flags =
    "Flags of every command:\n"
    "  --platform ADDRESS:PORT[,...]  object API of the platform\n"
    "  --timeout DURATION             bound on one exchange (default 2s)\n"
    "  --output text|json             form of the output (default text)\n"
    "  --wait                         wait until the version is in force everywhere\n"
    "  --wait_timeout DURATION        longest wait (default 30s)\n"
    "Exit codes: 0 done, 1 usage, 2 diff found differences, 3 invalid input, 4 lost race,\n"
    "5 unavailable and nothing changed, 6 not known whether changed, 7 changed but not\n"
    "confirmed everywhere, 8 not found, 9 done but stdout could not be written.\n";

std::string joined(const std::vector<std::string>& words) {
  std::string result;
  for (const auto& it : words) {
    result += (result.empty() ? "" : " ") + it;
  }
  return result;
}

leaf::result<report> wrong_arguments(const std::string& text) {
  return leaf::new_error(failure(usage_error{text + "; see damaskledgectl help"}));
}

leaf::result<report> dispatch(const std::vector<std::string>& words, const flags& given,
                              const environment& outside) {
  const auto it = std::find_if(commands.begin(), commands.end(), [&](const command& each) {
    const std::string text = joined(words);
    return text == each.name || text.starts_with(std::string(each.name) + " ");
  });
  if (it == commands.end()) {
    return wrong_arguments(words.empty() ? "no command is given"
                                         : "there is no command \"" + joined(words) + "\"");
  }
  const std::string_view name = it->name;
  const std::size_t name_words = name.find(' ') == std::string_view::npos ? 1 : 2;
  const bool takes_id = it->arguments.starts_with("ID") || it->arguments.starts_with("REQUEST_ID");
  if (words.size() != name_words + (takes_id ? 1 : 0)) {
    return wrong_arguments(std::string(name) +
                           (takes_id ? " takes one argument" : " takes no argument"));
  }
  const std::string& last = words.back();
  if (name == "validate") {
    return validate(given);
  }
  if (name == "show") {
    return show(outside);
  }
  if (name == "diff") {
    return diff(given, outside);
  }
  if (name == "apply") {
    return apply(given, outside);
  }
  if (name == "keys give") {
    return keys_give(given, outside);
  }
  if (name == "keys list") {
    return keys_list(given, outside);
  }
  if (name == "keys withdraw") {
    return keys_withdraw(last, given, outside);
  }
  if (name == "keys remove") {
    return keys_remove(last, given, outside);
  }
  if (name == "status") {
    return status(outside);
  }
  return explain(last, outside);
}

command_output printed(const report& value, bool as_json) {
  command_output result;
  result.code = value.code;
  if (as_json) {
    nlohmann::ordered_json data = value.data;
    data["exit_code"] = static_cast<int>(value.code);
    result.out = data.dump(2) + "\n";
    return result;
  }
  for (const auto& it : value.lines) {
    result.out += it + "\n";
  }
  return result;
}

command_output printed(const failure& value, bool as_json) {
  command_output result;
  result.code = code_of(value);
  const std::string text = to_string(value);
  result.err = text + "\n";
  if (as_json) {
    nlohmann::ordered_json data{{"error", text}};
    if (const auto* it = std::get_if<invalid_input>(&value)) {
      data["errors"] = nlohmann::ordered_json::array();
      for (const parse_error& each : it->errors) {
        data["errors"].push_back({{"file", each.file},
                                  {"line", each.line},
                                  {"field", each.field},
                                  {"found", each.found},
                                  {"remedy", each.remedy}});
      }
    } else if (const auto* lost = std::get_if<lost_race>(&value)) {
      data["expected_version"] = lost->expected_version;
      data["current_version"] = lost->current_version;
      data["changes"] = lost->changes;
    }
    data["exit_code"] = static_cast<int>(result.code);
    result.out = data.dump(2) + "\n";
  }
  return result;
}

} // namespace

exit_code code_of(const failure& value) {
  // In the order of the alternatives of `failure`.
  constexpr std::array codes{exit_code::usage,       exit_code::invalid,    exit_code::lost_race,
                             exit_code::unavailable, exit_code::unresolved, exit_code::not_found,
                             exit_code::usage};
  static_assert(codes.size() == std::variant_size_v<failure>);
  return codes.at(value.index());
}

std::string to_string(const failure& value) {
  struct text_of {
    std::string operator()(const usage_error& it) const { return it.what; }
    std::string operator()(const unavailable& it) const { return it.what; }
    std::string operator()(const unresolved& it) const { return it.what; }
    std::string operator()(const not_found& it) const { return it.what; }
    std::string operator()(const environment_error& it) const { return damaskledge::to_string(it); }
    std::string operator()(const invalid_input& it) const {
      std::string text;
      for (const parse_error& each : it.errors) {
        text += (text.empty() ? "" : "\n") + damaskledge::to_string(each);
      }
      return text;
    }
    std::string operator()(const lost_race& it) const {
      std::string text = "another write of " + it.document + " came first: expected version " +
                         std::to_string(it.expected_version) + ", current version " +
                         std::to_string(it.current_version);
      for (const auto& each : it.changes) {
        text += "\n  " + each;
      }
      if (it.current_version > it.expected_version + 1) {
        text += "\nseveral writes came meanwhile and the changes above are their sum; if the "
                "response to this command's own write was lost, it may be one of them";
      }
      return text + "\ncompare with damaskledgectl diff, then apply again";
    }
  };
  return std::visit(text_of{}, value);
}

std::string help(const std::vector<std::string>& words) {
  if (words.empty()) {
    std::string text = "damaskledgectl COMMAND [FLAGS]\n\nCommands:\n";
    for (const command& it : commands) {
      std::string name(it.name);
      name.resize(16, ' ');
      text += "  " + name + std::string(it.summary) + "\n";
    }
    return text + "  help COMMAND    tell more about a command\n\n" + std::string(common_flags);
  }
  const std::string wanted = joined(words);
  std::string text;
  for (const command& it : commands) {
    if (it.name == wanted || it.name.starts_with(wanted + " ")) {
      text += "damaskledgectl " + std::string(it.name) +
              (it.arguments.empty() ? "" : " " + std::string(it.arguments)) + "\n  " +
              std::string(it.summary) + "\n";
      if (!it.details.empty()) {
        text += std::string(it.details) + "\n";
      }
      text += "\n";
    }
  }
  return text.empty() ? text : text + std::string(common_flags);
}

command_output run(const std::vector<std::string>& words, const flags& given,
                   const environment& outside) {
  const bool as_json = given.output == "json";
  if (!as_json && given.output != "text") {
    return printed(failure(usage_error{"--output is \"" + given.output + "\"; write text or json"}),
                   false);
  }
  if (given.wait && !config::parse_duration(given.wait_timeout)) {
    return printed(failure(usage_error{"--wait_timeout is \"" + given.wait_timeout +
                                       "\"; write a duration such as \"30s\""}),
                   as_json);
  }
  if (!words.empty() && words.front() == "help") {
    const std::string text = help({words.begin() + 1, words.end()});
    if (!text.empty()) {
      return {exit_code::success, text, {}};
    }
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<command_output> {
        BOOST_LEAF_AUTO(value, dispatch(words, given, outside));
        return printed(value, as_json);
      },
      [&](const failure& value) { return printed(value, as_json); },
      [&] {
        return printed(failure(unavailable{"the command failed without a reason; report this"}),
                       as_json);
      });
}

} // namespace damaskledge::control
