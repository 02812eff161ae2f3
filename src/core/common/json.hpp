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

/// Reads the members of one JSON object and remembers the first thing wrong
/// with it, so that a parse function reads all keys and asks `ok` once.
class json_reader
{
public:
    /// `where` names the object in error messages, such as "contract".
    json_reader(boost::json::object const& object, std::string where);

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::int64_t
    integer(std::string_view key, std::int64_t least, std::int64_t most);
    std::int64_t integer_or(std::string_view key,
                            std::int64_t fallback,
                            std::int64_t least,
                            std::int64_t most);
    double
    number_or(std::string_view key, double fallback, double least, double most);
    bool flag_or(std::string_view key, bool fallback);
    /// The object or array under `key`; null where absent or of another type,
    /// the latter being an error.
    boost::json::object const* object(std::string_view key);
    boost::json::array const* array(std::string_view key);

    /// Refuses every key that is not among `known`.
    void allow_only(std::initializer_list<std::string_view> known);

    /// Records an error of the caller's own at `key`, unless one stands.
    void fail(result_code code, std::string_view key, std::string why);

    bool ok() const noexcept;
    failure const& reason() const noexcept;

private:
    boost::json::value const* find(std::string_view key);
    boost::json::value const* need(std::string_view key);

    boost::json::object const& object_;
    std::string where_;
    failure reason_;
};

/// Parses `text` as one JSON object, at most 32 levels deep.
std::optional<boost::json::object>
parse_json_object(std::string_view text, std::string where, failure& reason);

} // namespace fuchsia::core::common
