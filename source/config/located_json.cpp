#include "config/located_json.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>

namespace damaskledge::config {

namespace {

using nlohmann::json;

/// What the lexer has consumed so far, shared by all copies of the iterator.
struct consumed_text {
  int line = 1;
  bool last_was_newline = false;
};

/// Input iterator that counts lines while nlohmann's lexer reads through it. The lexer reads
/// at most one character past a token, so the line before the last consumed character is
/// the line on which the token ends.
class counting_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  counting_iterator(const char* position, consumed_text* consumed)
      : position_(position), consumed_(consumed) {}

  reference operator*() const { return *position_; }
  counting_iterator& operator++() {
    if (consumed_->last_was_newline) {
      ++consumed_->line;
    }
    consumed_->last_was_newline = *position_ == '\n';
    ++position_;
    return *this;
  }
  counting_iterator operator++(int) {
    counting_iterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const counting_iterator& other) const { return position_ == other.position_; }
  bool operator!=(const counting_iterator& other) const { return position_ != other.position_; }

 private:
  const char* position_;
  consumed_text* consumed_;
};

/// Builds the value and the line table from nlohmann's events.
class line_recorder : public nlohmann::json_sax<json> {
 public:
  line_recorder(located_json& result, const consumed_text& consumed,
                std::vector<damaskledge::parse_error>& errors)
      : result_(result), consumed_(consumed), errors_(errors) {}

  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override { return add(value); }
  bool string(string_t& value) override { return add(std::move(value)); }
  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*elements*/) override { return open(json::object()); }
  bool start_array(std::size_t /*elements*/) override { return open(json::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(string_t& name) override {
    frame& top = frames_.back();
    top.member_path = top.path.empty() ? name : top.path + "." + name;
    top.member = name;
    const auto [it, inserted] = result_.lines.emplace(top.member_path, consumed_.line);
    if (!inserted) {
      errors_.push_back(
          {result_.file, consumed_.line, top.member_path,
           "a second member of this name, the first is on line " + std::to_string(it->second),
           "keep one of the two"});
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    std::string reason = error.what();
    // The library's text starts with its own exception name and position.
    if (const auto it = reason.find(": "); it != std::string::npos) {
      reason.erase(0, it + 2);
    }
    // It ends with what was read last, which may hold a secret: before the syntax is right, it is
    // not known to which member a text belongs.
    reason.erase(std::min(reason.find("; last read: "), reason.size()));
    errors_.push_back({result_.file, consumed_.line,
                       frames_.empty() ? std::string() : frames_.back().member_path,
                       "text that is not JSON (" + reason + ")",
                       "correct the JSON syntax; comments are // and /* */"});
    return false;
  }

 private:
  struct frame {
    json* container = nullptr;
    std::string path;
    std::string member;
    std::string member_path;
  };

  json* place(json value) {
    if (frames_.empty()) {
      result_.value = std::move(value);
      result_.lines.emplace(std::string(), consumed_.line);
      return &result_.value;
    }
    frame& top = frames_.back();
    if (top.container->is_array()) {
      top.member_path = element_path(top.path, top.container->size());
      result_.lines.emplace(top.member_path, consumed_.line);
      top.container->push_back(std::move(value));
      return &top.container->back();
    }
    json& slot = (*top.container)[top.member];
    slot = std::move(value);
    return &slot;
  }

  bool add(json value) {
    place(std::move(value));
    return true;
  }

  bool open(json value) {
    json* container = place(std::move(value));
    const std::string path = frames_.empty() ? std::string() : frames_.back().member_path;
    frames_.push_back({container, path, {}, path});
    return true;
  }

  bool close() {
    frames_.pop_back();
    return true;
  }

  located_json& result_;
  const consumed_text& consumed_;
  std::vector<damaskledge::parse_error>& errors_;
  std::vector<frame> frames_;
};

template <class T>
std::string number_text(T value) {
  return json(value).dump();
}

} // namespace

int located_json::line_of(std::string path) const {
  while (true) {
    if (const auto it = lines.find(path); it != lines.end()) {
      return it->second;
    }
    if (path.empty()) {
      return 0;
    }
    const auto cut = path.find_last_of(".[");
    path.erase(cut == std::string::npos ? 0 : cut);
  }
}

located_json parse_located(std::string_view text, std::string_view file,
                           std::vector<parse_error>& errors) {
  located_json result;
  result.file = file;
  consumed_text consumed;
  line_recorder recorder(result, consumed, errors);
  constexpr bool strict = true;
  constexpr bool ignore_comments = true;
  result.complete = json::sax_parse(counting_iterator(text.data(), &consumed),
                                    counting_iterator(text.data() + text.size(), &consumed),
                                    &recorder, json::input_format_t::json, strict, ignore_comments);
  return result;
}

std::string describe(const json& value) {
  switch (value.type()) {
  case json::value_t::null:
    return "null";
  case json::value_t::boolean:
    return value.get<bool>() ? "true" : "false";
  case json::value_t::string: {
    constexpr std::size_t limit = 60;
    const auto& text = value.get_ref<const std::string&>();
    if (text.size() <= limit) {
      return "string " + value.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return "string " +
           json(text.substr(0, limit)).dump(-1, ' ', false, json::error_handler_t::replace) +
           " (cut, " + std::to_string(text.size()) + " bytes)";
  }
  case json::value_t::array:
    return "an array of " + std::to_string(value.size());
  case json::value_t::object:
    return "an object";
  default:
    return "number " + value.dump();
  }
}

std::optional<milliseconds> parse_duration(std::string_view text) {
  struct unit {
    std::string_view suffix;
    std::int64_t factor;
  };
  constexpr std::array units{unit{"ms", 1}, unit{"s", 1'000}, unit{"m", 60'000},
                             unit{"h", 3'600'000}, unit{"d", 86'400'000}};
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
  const auto* it = std::find_if(units.begin(), units.end(),
                                [&](const unit& each) { return each.suffix == suffix; });
  // Ten thousand years in milliseconds; keeps the product inside 64 bits.
  constexpr std::int64_t limit = 315'576'000'000'000;
  if (it == units.end() || value > limit / it->factor) {
    return std::nullopt;
  }
  return milliseconds(value * it->factor);
}

std::string format_duration(milliseconds value) {
  const std::int64_t n = value.count();
  if (n != 0 && n % 3'600'000 == 0) {
    return std::to_string(n / 3'600'000) + "h";
  }
  if (n != 0 && n % 60'000 == 0) {
    return std::to_string(n / 60'000) + "m";
  }
  if (n != 0 && n % 1'000 == 0) {
    return std::to_string(n / 1'000) + "s";
  }
  return std::to_string(n) + "ms";
}

bool is_name(std::string_view text) {
  const auto is_alphanumeric = [](char it) {
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
  };
  return !text.empty() && text.size() <= 64 && is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), [&](char it) {
           return is_alphanumeric(it) || it == '.' || it == '_' || it == '-';
         });
}

std::string element_path(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

void report(std::vector<parse_error>& errors, const located_json& source, const std::string& path,
            std::string found, std::string remedy) {
  errors.push_back({source.file, source.line_of(path), path, std::move(found), std::move(remedy)});
}

leaf::error_id fail_with(std::vector<parse_error> errors) {
  parse_error first = errors.front();
  return leaf::new_error(std::move(first), parse_errors{std::move(errors)});
}

object_reader::object_reader(const located_json& source, const json& value, std::string path,
                             std::vector<damaskledge::parse_error>& errors)
    : source_(source), value_(value), path_(std::move(path)), errors_(errors) {
  if (!value_.is_object()) {
    config::report(errors_, source_, path_, describe(value_), "write a JSON object here");
  }
}

std::string object_reader::path_of(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void object_reader::report(std::string_view name, std::string found, std::string remedy) {
  config::report(errors_, source_, path_of(name), std::move(found), std::move(remedy));
}

const json* object_reader::member(std::string_view name, presence need) {
  known_.emplace(name);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto it = value_.find(name);
  if (it == value_.end()) {
    if (need == presence::required) {
      report(name, "no such field", "add the field \"" + std::string(name) + "\"");
    }
    return nullptr;
  }
  return &*it;
}

bool object_reader::read(std::string_view name, presence need, std::string& out) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_string()) {
    report(name, describe(*value), "write a string");
    return false;
  }
  out = value->get<std::string>();
  return true;
}

bool object_reader::read_secret(std::string_view name, presence need, std::string& out) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_string()) {
    report(name, "a value that is not a string", "write a string of at least 32 characters");
    return false;
  }
  out = value->get<std::string>();
  return true;
}

bool object_reader::read_name(std::string_view name, presence need, std::string& out) {
  std::string text;
  if (!read(name, need, text)) {
    return false;
  }
  if (!is_name(text)) {
    report(name, describe(text),
           "write 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit");
    return false;
  }
  out = std::move(text);
  return true;
}

bool object_reader::read(std::string_view name, presence need, bool& out) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    report(name, describe(*value), "write true or false");
    return false;
  }
  out = value->get<bool>();
  return true;
}

bool object_reader::read(std::string_view name, presence need, double& out, double minimum,
                         double maximum) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return false;
  }
  const std::string remedy =
      "write a number from " + number_text(minimum) + " to " + number_text(maximum);
  if (!value->is_number()) {
    report(name, describe(*value), remedy);
    return false;
  }
  const auto n = value->get<double>();
  if (!(n >= minimum && n <= maximum)) {
    report(name, describe(*value), remedy);
    return false;
  }
  out = n;
  return true;
}

bool object_reader::read(std::string_view name, presence need, std::int64_t& out,
                         std::int64_t minimum, std::int64_t maximum) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return false;
  }
  const bool fits =
      value->is_number_integer() &&
      !(value->is_number_unsigned() && value->get<std::uint64_t>() > std::uint64_t{INT64_MAX});
  if (!fits || value->get<std::int64_t>() < minimum || value->get<std::int64_t>() > maximum) {
    report(name, describe(*value),
           "write a whole number from " + std::to_string(minimum) + " to " +
               std::to_string(maximum));
    return false;
  }
  out = value->get<std::int64_t>();
  return true;
}

bool object_reader::read(std::string_view name, presence need, milliseconds& out,
                         milliseconds minimum, milliseconds maximum) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return false;
  }
  const auto duration =
      value->is_string() ? parse_duration(value->get_ref<const std::string&>()) : std::nullopt;
  if (!duration || *duration < minimum || *duration > maximum) {
    report(name, describe(*value),
           "write a duration with its unit (ms, s, m, h, d) from \"" + format_duration(minimum) +
               "\" to \"" + format_duration(maximum) + "\"");
    return false;
  }
  out = *duration;
  return true;
}

bool object_reader::read(std::string_view name, presence need, std::vector<std::string>& out) {
  const json* value = array(name, need);
  if (value == nullptr) {
    return false;
  }
  bool right = true;
  std::vector<std::string> result;
  for (std::size_t it = 0; it < value->size(); ++it) {
    const json& element = (*value)[it];
    if (!element.is_string()) {
      config::report(errors_, source_, element_path(path_of(name), it), describe(element),
                     "write a string");
      right = false;
      continue;
    }
    result.push_back(element.get<std::string>());
  }
  out = std::move(result);
  return right;
}

const json* object_reader::array(std::string_view name, presence need) {
  const json* value = member(name, need);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    report(name, describe(*value), "write an array");
    return nullptr;
  }
  return value;
}

void object_reader::finish() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [name, value] : value_.items()) {
    if (!known_.contains(name)) {
      std::string names;
      for (const auto& it : known_) {
        names += (names.empty() ? "" : ", ") + it;
      }
      report(name, "an unknown field", "remove it or use one of: " + names);
    }
  }
}

} // namespace damaskledge::config
