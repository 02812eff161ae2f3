#pragma once

#include "core/common/result_code.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::common
{

/// Reads the members of one JSON object and records the first error, so that a
/// parse function can read all keys and check `ok` once at the end.
class json_reader
{
public:
    /// `where` names the object in error messages, such as "contract".
    json_reader(boost::json::object const& object, std::string where);

    // Each of the functions below returns the value of `key`. A missing key is
    // an error, or gives `fallback` in the functions named `..._or`; a value of
    // another type or out of bounds is an error.
    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::int64_t integer(std::string_view key,
                         std::int64_t min_value,
                         std::int64_t max_value);
    std::int64_t integer_or(std::string_view key,
                            std::int64_t fallback,
                            std::int64_t min_value,
                            std::int64_t max_value);
    double number_or(std::string_view key,
                     double fallback,
                     double min_value,
                     double max_value);
    bool flag_or(std::string_view key, bool fallback);
    /// Returns the object or array under `key`; null if it is absent, or, with
    /// an error recorded, if it has another type.
    boost::json::object const* object(std::string_view key);
    boost::json::array const* array(std::string_view key);

    /// Records an error if the object has a key that is not in `allowed_keys`.
    void allow_only(std::initializer_list<std::string_view> allowed_keys);

    /// Records the caller's error at `key`, unless an error is already
    /// recorded.
    void fail(result_code code, std::string_view key, std::string why);

    /// Whether no error is recorded.
    bool ok() const noexcept;
    /// Returns the recorded error.
    failure const& reason() const noexcept;

private:
    boost::json::value const* find(std::string_view key);
    boost::json::value const* find_required(std::string_view key);

    boost::json::object const& object_;
    std::string where_;
    failure reason_;
};

enum class json_bytes
{
    utf8, ///< Strings that aren't UTF-8 are an error.
    any,
};

/// Parses `text` as one JSON object with at most 32 levels of nesting.
/// Otherwise returns an empty value and sets `reason`, with `where` as the
/// place.
std::optional<boost::json::object>
parse_json_object(std::string_view text,
                  std::string where,
                  failure& reason,
                  json_bytes allowed_bytes = json_bytes::utf8);

} // namespace fuchsia::core::common
