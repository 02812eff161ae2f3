#include "core/common/json.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsia::core::common
{

namespace
{
constexpr std::size_t max_json_depth = 32;
}

json_reader::json_reader(boost::json::object const& object, std::string where)
    : object_(object), where_(std::move(where))
{
}

std::string json_reader::text(std::string_view key)
{
    auto const* value = find_required(key);
    if (value == nullptr)
    {
        return {};
    }
    if (!value->is_string())
    {
        fail(result_code::wrong_type, key, "a string is expected");
        return {};
    }
    return std::string(value->as_string());
}

std::string json_reader::text_or(std::string_view key, std::string fallback)
{
    return find(key) == nullptr ? std::move(fallback) : text(key);
}

std::int64_t json_reader::integer(std::string_view key,
                                  std::int64_t min_value,
                                  std::int64_t max_value)
{
    auto const* value = find_required(key);
    if (value == nullptr)
    {
        return min_value;
    }
    boost::json::error_code error;
    auto const number = value->to_number<std::int64_t>(error);
    if (error || value->is_double())
    {
        fail(result_code::wrong_type, key, "a whole number is expected");
        return min_value;
    }
    if (number < min_value || number > max_value)
    {
        fail(result_code::out_of_range,
             key,
             std::to_string(number) + " is not within " +
                 std::to_string(min_value) + " to " +
                 std::to_string(max_value));
        return min_value;
    }
    return number;
}

std::int64_t json_reader::integer_or(std::string_view key,
                                     std::int64_t fallback,
                                     std::int64_t min_value,
                                     std::int64_t max_value)
{
    return find(key) == nullptr ? fallback : integer(key, min_value, max_value);
}

double json_reader::number_or(std::string_view key,
                              double fallback,
                              double min_value,
                              double max_value)
{
    auto const* value = find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    boost::json::error_code error;
    auto const number = value->to_number<double>(error);
    if (error)
    {
        fail(result_code::wrong_type, key, "a number is expected");
        return fallback;
    }
    if (!std::isfinite(number) || number < min_value || number > max_value)
    {
        fail(result_code::out_of_range,
             key,
             std::to_string(number) + " is not within " +
                 std::to_string(min_value) + " to " +
                 std::to_string(max_value));
        return fallback;
    }
    return number;
}

bool json_reader::flag_or(std::string_view key, bool fallback)
{
    auto const* value = find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        fail(result_code::wrong_type, key, "true or false is expected");
        return fallback;
    }
    return value->as_bool();
}

boost::json::object const* json_reader::object(std::string_view key)
{
    auto const* value = find(key);
    if (value != nullptr && !value->is_object())
    {
        fail(result_code::wrong_type, key, "an object is expected");
    }
    return value == nullptr ? nullptr : value->if_object();
}

boost::json::array const* json_reader::array(std::string_view key)
{
    auto const* value = find(key);
    if (value != nullptr && !value->is_array())
    {
        fail(result_code::wrong_type, key, "an array is expected");
    }
    return value == nullptr ? nullptr : value->if_array();
}

void json_reader::allow_only(
    std::initializer_list<std::string_view> allowed_keys)
{
    for (auto const& member : object_)
    {
        std::string_view const key = member.key();
        if (std::find(allowed_keys.begin(), allowed_keys.end(), key) ==
            allowed_keys.end())
        {
            fail(result_code::unknown_key, key, "nothing reads this key");
            return;
        }
    }
}

void json_reader::fail(result_code code, std::string_view key, std::string why)
{
    if (reason_.code == result_code::ok)
    {
        reason_ = {code, where_ + "." + std::string(key), std::move(why)};
    }
}

bool json_reader::ok() const noexcept
{
    return reason_.code == result_code::ok;
}

failure const& json_reader::reason() const noexcept
{
    return reason_;
}

boost::json::value const* json_reader::find(std::string_view key)
{
    return object_.if_contains(key);
}

boost::json::value const* json_reader::find_required(std::string_view key)
{
    auto const* value = find(key);
    if (value == nullptr)
    {
        fail(result_code::missing_key, key, "the key is absent");
    }
    return value;
}

std::optional<boost::json::object> parse_json_object(std::string_view text,
                                                     std::string where,
                                                     failure& reason,
                                                     json_bytes allowed_bytes)
{
    boost::json::parse_options options;
    options.max_depth = max_json_depth;
    options.allow_invalid_utf8 = allowed_bytes == json_bytes::any;
    boost::json::error_code error;
    // All values share one monotonic resource, since they are freed together.
    auto const block =
        boost::json::make_shared_resource<boost::json::monotonic_resource>();
    auto value = boost::json::parse(text, error, block, options);
    if (error)
    {
        reason = {
            result_code::malformed_json, std::move(where), error.message()};
        return std::nullopt;
    }
    if (!value.is_object())
    {
        reason = {result_code::malformed_json,
                  std::move(where),
                  "a JSON object is expected"};
        return std::nullopt;
    }
    return std::move(value.as_object());
}

} // namespace fuchsia::core::common
