#include <utility>

#include <nlohmann/json.hpp>

#include "control/commands.h"

namespace damaskledge::control {

namespace {

/// Attempts at a read that the platform refused, and at finding out what became of a write.
constexpr int max_attempts = 6;
constexpr milliseconds first_pause{100};
/// The platform holds values up to a megabyte.
constexpr std::size_t max_content_bytes = 1'000'000;

std::string object_name(std::string_view document) {
  return "config/" + std::string(document);
}

void pause(const environment& outside, int attempt, milliseconds at_least) {
  outside.sleep(std::max(at_least, first_pause * (1 << attempt)));
}

std::string write_id_of(const std::string& content) {
  const auto value = nlohmann::json::parse(content, nullptr, false);
  if (!value.is_object() || !value.contains("write_id") || !value["write_id"].is_string()) {
    return {};
  }
  return value["write_id"].get<std::string>();
}

template <class T, class Parse>
leaf::result<stored<T>> read_document(const environment& outside, std::string_view document,
                                      Parse parse) {
  BOOST_LEAF_AUTO(object, read_object(outside, object_name(document)));
  if (!object) {
    return stored<T>{};
  }
  return checked([&]() -> leaf::result<stored<T>> {
    BOOST_LEAF_AUTO(text, config::document_in_object(document, object->content));
    BOOST_LEAF_AUTO(value, parse(text));
    return stored<T>{std::move(value), object->version};
  });
}

} // namespace

leaf::result<std::optional<platform::object>> read_object(const environment& outside,
                                                          const std::string& name) {
  std::string reason;
  for (int attempt = 0; attempt < max_attempts; ++attempt) {
    const platform::answer answer = outside.platform(platform::read{name});
    if (const auto* it = std::get_if<platform::found>(&answer)) {
      return it->value;
    }
    if (std::holds_alternative<platform::absent>(answer)) {
      return std::nullopt;
    }
    milliseconds at_least{0};
    if (const auto* it = std::get_if<platform::unavailable>(&answer)) {
      reason = it->reason;
      at_least = it->retry_after;
    } else if (const auto* it = std::get_if<platform::unresolved>(&answer)) {
      reason = it->reason;
    }
    if (attempt + 1 < max_attempts) {
      pause(outside, attempt, at_least);
    }
  }
  return leaf::new_error(failure(unavailable{"the platform did not return " + name + ": " + reason +
                                             "; check --platform and try again"}));
}

leaf::result<stored<config::lists>> read_lists(const environment& outside) {
  return read_document<config::lists>(outside, config::lists_document, [](const std::string& text) {
    return config::parse_lists_document(text);
  });
}

leaf::result<stored<config::keys>> read_keys(const environment& outside) {
  return read_document<config::keys>(outside, config::keys_document, [](const std::string& text) {
    return config::parse_keys_document(text);
  });
}

leaf::result<write_result> write_document(const environment& outside, std::string_view document,
                                          std::uint64_t expected_version, const std::string& text) {
  const std::string name = object_name(document);
  const std::string write_id = to_string(random_id());
  const std::string content = config::to_object_content(document, text, write_id);
  if (content.size() > max_content_bytes) {
    return leaf::new_error(failure(
        invalid_input{{{name, 0, "", "a document of " + std::to_string(content.size()) + " bytes",
                        "keep it below " + std::to_string(max_content_bytes) +
                            " bytes; remove withdrawn keys with damaskledgectl keys remove"}}}));
  }
  // Tells a write of our own, whose answer was lost, from another one's.
  const auto fate_of = [&](const platform::object& current) -> std::optional<write_result> {
    if (current.version != 0 && write_id_of(current.content) == write_id) {
      return write_result{true, current.version};
    }
    // A version at or below the expected one comes from before the write or is stale.
    if (current.version > expected_version) {
      return write_result{false, current.version};
    }
    return std::nullopt;
  };
  // True once a copy of the write may have reached the platform without an answer.
  bool maybe_written = false;
  std::string reason;
  for (int attempt = 0; attempt < max_attempts; ++attempt) {
    milliseconds at_least{0};
    const platform::answer answer =
        outside.platform(platform::write{name, expected_version, content});
    if (const auto* it = std::get_if<platform::found>(&answer)) {
      return write_result{true, it->value.version};
    }
    if (const auto* it = std::get_if<platform::unavailable>(&answer)) {
      reason = it->reason;
      at_least = it->retry_after;
    } else {
      const auto* conflict = std::get_if<platform::conflict>(&answer);
      if (const auto* it = std::get_if<platform::unresolved>(&answer)) {
        reason = it->reason;
        maybe_written = true;
      }
      // Version 0 in a conflict means that the object could not be read.
      const platform::answer current = conflict != nullptr && conflict->current.version != 0
                                           ? platform::answer(platform::found{conflict->current})
                                           : outside.platform(platform::read{name});
      std::optional<write_result> result;
      if (const auto* it = std::get_if<platform::found>(&current)) {
        result = fate_of(it->value);
      } else if (std::holds_alternative<platform::absent>(current) && expected_version != 0) {
        // Somebody removed the object.
        result = write_result{false, 0};
      }
      if (conflict != nullptr && !result) {
        // The client may have repeated a write whose first copy took effect, so a conflict
        // alone does not tell that this write lost.
        reason = "the condition failed and the object could not be read";
        maybe_written = true;
      }
      if (result) {
        return *result;
      }
    }
    if (attempt + 1 < max_attempts) {
      pause(outside, attempt, at_least);
    }
  }
  if (maybe_written) {
    return leaf::new_error(failure(
        unresolved{"it is not known whether the write of " + name + " took effect: " + reason +
                   "; run damaskledgectl show or keys list when the platform responds, write id " +
                   write_id}));
  }
  return leaf::new_error(failure(unavailable{"the platform refused the write of " + name + ": " +
                                             reason + "; nothing was changed, try again"}));
}

} // namespace damaskledge::control
