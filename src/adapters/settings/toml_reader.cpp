#include "adapters/settings/toml_reader.hpp"

#include "adapters/http/message.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <toml++/toml.h>
#include <utility>

namespace fuchsia::adapters::settings
{

using core::common::duration;
using core::common::result_code;

namespace
{

constexpr std::size_t max_file_bytes = 4 * 1024 * 1024;

// Returns the unit of a key: milliseconds for names that end in `_ms`, else
// microseconds.
duration unit_of(std::string_view key) noexcept
{
    return key.ends_with("_ms") ? duration(1000) : duration(1);
}

} // namespace

struct toml_file::content
{
    toml::table root;
};

struct toml_table::node
{
    toml::table const* table = nullptr; ///< Null if the table is missing.
    std::string path;
    std::uint32_t line = 0;
    std::set<std::string, std::less<>> read;

    toml::node const* find(std::string_view key)
    {
        read.emplace(key);
        return table == nullptr ? nullptr : table->get(key);
    }
};

toml_table::toml_table(std::shared_ptr<toml_file> file,
                       std::shared_ptr<node> table_node)
    : file_(std::move(file)), node_(std::move(table_node))
{
}

std::string toml_table::text(std::string_view key)
{
    auto const* const value = node_->find(key);
    if (value == nullptr)
    {
        fail(result_code::missing_key, key, "the key is absent");
        return {};
    }
    auto const* const text = value->as_string();
    if (text == nullptr)
    {
        fail(result_code::wrong_type, key, "a string is expected");
        return {};
    }
    return text->get();
}

std::string toml_table::text_or(std::string_view key, std::string fallback)
{
    return node_->find(key) == nullptr ? std::move(fallback) : text(key);
}

std::vector<std::string> toml_table::texts_or(std::string_view key,
                                              std::vector<std::string> fallback)
{
    auto const* const value = node_->find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    std::vector<std::string> texts;
    auto const* const array = value->as_array();
    if (array == nullptr)
    {
        fail(result_code::wrong_type, key, "an array of strings is expected");
        return texts;
    }
    for (auto const& item : *array)
    {
        if (!item.is_string())
        {
            fail(result_code::wrong_type, key, "a string is expected");
            return texts;
        }
        texts.push_back(item.as_string()->get());
    }
    return texts;
}

std::int64_t toml_table::integer(std::string_view key,
                                 std::int64_t min_value,
                                 std::int64_t max_value)
{
    auto const* const value = node_->find(key);
    if (value == nullptr)
    {
        fail(result_code::missing_key, key, "the key is absent");
        return min_value;
    }
    auto const* const number = value->as_integer();
    if (number == nullptr)
    {
        fail(result_code::wrong_type, key, "a whole number is expected");
        return min_value;
    }
    if (number->get() < min_value || number->get() > max_value)
    {
        fail_out_of_range(key,
                          std::to_string(number->get()),
                          std::to_string(min_value),
                          std::to_string(max_value));
        return min_value;
    }
    return number->get();
}

std::int64_t toml_table::integer_or(std::string_view key,
                                    std::int64_t fallback,
                                    std::int64_t min_value,
                                    std::int64_t max_value)
{
    return node_->find(key) == nullptr ? fallback
                                       : integer(key, min_value, max_value);
}

double toml_table::number_or(std::string_view key,
                             double fallback,
                             double min_value,
                             double max_value)
{
    auto const* const value = node_->find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    auto const number = value->value<double>();
    if (!number)
    {
        fail(result_code::wrong_type, key, "a number is expected");
        return fallback;
    }
    // This form of the comparison rejects NaN as well.
    if (!(*number >= min_value && *number <= max_value))
    {
        fail_out_of_range(key,
                          std::to_string(*number),
                          std::to_string(min_value),
                          std::to_string(max_value));
        return fallback;
    }
    return *number;
}

bool toml_table::flag_or(std::string_view key, bool fallback)
{
    auto const* const value = node_->find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    auto const* const flag = value->as_boolean();
    if (flag == nullptr)
    {
        fail(result_code::wrong_type, key, "true or false is expected");
        return fallback;
    }
    return flag->get();
}

duration toml_table::duration_or(std::string_view key,
                                 duration fallback,
                                 duration min_value,
                                 duration max_value)
{
    auto const unit = unit_of(key);
    return unit *
           integer_or(key, fallback / unit, min_value / unit, max_value / unit);
}

ports::endpoint toml_table::endpoint(std::string_view key)
{
    auto const value = text(key);
    auto const parsed = http::parse_endpoint(value);
    if (!parsed)
    {
        fail(result_code::out_of_range,
             key,
             "\"" + value +
                 "\" is not an IP address and port such as "
                 "\"127.0.0.1:8080\"");
        return {};
    }
    return *parsed;
}

std::size_t toml_table::choice_or(std::string_view key,
                                  std::size_t fallback,
                                  std::initializer_list<std::string_view> names)
{
    if (node_->find(key) == nullptr)
    {
        return fallback;
    }
    auto const value = text(key);
    auto const* const found = std::find(names.begin(), names.end(), value);
    if (found != names.end())
    {
        return static_cast<std::size_t>(found - names.begin());
    }
    std::string allowed;
    for (auto const name : names)
    {
        allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    fail(result_code::out_of_range,
         key,
         "\"" + value + "\" is not one of: " + allowed);
    return fallback;
}

toml_table toml_table::table(std::string_view key)
{
    auto child = std::make_shared<node>();
    child->path = node_->path + std::string(key) + ".";
    child->line = node_->line;
    auto const* const value = node_->find(key);
    if (value != nullptr)
    {
        child->table = value->as_table();
        child->line = value->source().begin.line;
        if (child->table == nullptr)
        {
            fail(result_code::wrong_type, key, "a table is expected");
        }
    }
    return {file_, std::move(child)};
}

std::vector<toml_table> toml_table::tables(std::string_view key)
{
    std::vector<toml_table> result;
    auto const* const value = node_->find(key);
    if (value == nullptr)
    {
        return result;
    }
    auto const* const array = value->as_array();
    if (array == nullptr)
    {
        fail(result_code::wrong_type, key, "an array of tables is expected");
        return result;
    }
    for (auto const& item : *array)
    {
        auto child = std::make_shared<node>();
        child->path = node_->path + std::string(key) + ".";
        child->line = item.source().begin.line;
        child->table = item.as_table();
        if (child->table == nullptr)
        {
            fail(result_code::wrong_type, key, "a table is expected");
            return result;
        }
        result.push_back({file_, std::move(child)});
    }
    return result;
}

bool toml_table::has(std::string_view key) const
{
    return node_->table != nullptr && node_->table->contains(key);
}

std::vector<std::string> toml_table::keys() const
{
    std::vector<std::string> result;
    if (node_->table == nullptr)
    {
        return result;
    }
    for (auto const& [key, value] : *node_->table)
    {
        result.emplace_back(key.str());
    }
    return result;
}

void toml_table::reject_unknown_keys()
{
    for (auto const& key : keys())
    {
        if (!node_->read.contains(key))
        {
            fail(result_code::unknown_key, key, "unknown key");
            return;
        }
    }
}

void toml_table::fail(result_code code,
                      std::string_view key,
                      std::string reason)
{
    if (!file_->ok())
    {
        return;
    }
    auto const* const value =
        node_->table == nullptr ? nullptr : node_->table->get(key);
    std::uint32_t const line =
        value == nullptr ? node_->line : value->source().begin.line;
    file_->reason_ = {code,
                      file_->name_ + ":" + std::to_string(line),
                      node_->path + std::string(key) + ": " +
                          std::move(reason)};
}

void toml_table::fail_out_of_range(std::string_view key,
                                   std::string const& value,
                                   std::string const& min_value,
                                   std::string const& max_value)
{
    fail(result_code::out_of_range,
         key,
         value + " is not within " + min_value + " to " + max_value);
}

std::shared_ptr<toml_file> toml_file::open(std::string const& path,
                                           core::common::failure& reason)
{
    auto const text = read_file(path, reason);
    return text ? parse(*text, path, reason) : nullptr;
}

std::shared_ptr<toml_file> toml_file::parse(std::string_view text,
                                            std::string name,
                                            core::common::failure& reason)
{
    try
    {
        auto parsed = std::make_unique<content>();
        parsed->root = toml::parse(text, name);
        return std::shared_ptr<toml_file>(
            new toml_file(std::move(name), std::move(parsed)));
    }
    catch (toml::parse_error const& error)
    {
        reason = {result_code::malformed_toml,
                  name + ":" + std::to_string(error.source().begin.line),
                  std::string(error.description())};
        return nullptr;
    }
}

toml_file::toml_file(std::string name, std::unique_ptr<content> parsed)
    : name_(std::move(name)), content_(std::move(parsed))
{
}

toml_file::~toml_file() = default;

toml_table toml_file::root()
{
    auto child = std::make_shared<toml_table::node>();
    child->table = &content_->root;
    child->line = 1;
    return {shared_from_this(), std::move(child)};
}

bool toml_file::ok() const noexcept
{
    return reason_.code == result_code::ok;
}

core::common::failure const& toml_file::reason() const noexcept
{
    return reason_;
}

std::optional<std::string> read_file(std::string const& path,
                                     core::common::failure& reason)
{
    std::ifstream in(path, std::ios::binary);
    std::string text;
    if (in)
    {
        text.assign(std::istreambuf_iterator<char>(in), {});
    }
    if (!in || text.size() > max_file_bytes)
    {
        reason = {result_code::file_unreadable,
                  path,
                  in ? "larger than 4 MiB" : "can't be opened or read"};
        return std::nullopt;
    }
    if (text.ends_with('\n'))
    {
        text.pop_back();
    }
    return text;
}

} // namespace fuchsia::adapters::settings
