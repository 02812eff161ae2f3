#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::adapters::settings
{

class toml_file;

/// Reads one table of a settings file. The `toml_file` records the first error
/// with its path and line, so that a parse function can read all keys and check
/// `toml_file::ok` once. Functions whose names end in `_or` return `fallback`
/// if the key is missing; `text`, `integer` and `endpoint` record an error.
class toml_table
{
public:
    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::vector<std::string> texts_or(std::string_view key,
                                      std::vector<std::string> fallback);
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
    /// Returns a duration, whose value is in milliseconds if the key ends in
    /// `_ms`, else in microseconds.
    core::common::duration duration_or(std::string_view key,
                                       core::common::duration fallback,
                                       core::common::duration min_value,
                                       core::common::duration max_value);
    /// Returns an endpoint that is written as "IP:port".
    ports::endpoint endpoint(std::string_view key);
    /// Returns the index of the key's value in `names`, or the index `fallback`
    /// if the key is missing or its value is not in `names`.
    std::size_t choice_or(std::string_view key,
                          std::size_t fallback,
                          std::initializer_list<std::string_view> names);

    /// Returns the table under `key`, or an empty table if the key is missing.
    toml_table table(std::string_view key);
    /// Returns the elements of the array of tables `[[key]]`.
    std::vector<toml_table> tables(std::string_view key);
    bool has(std::string_view key) const;
    /// Returns all keys, for tables whose keys are names chosen by the user.
    std::vector<std::string> keys() const;

    /// Records an error if the table has a key that has not been read. Must be
    /// called after all reads.
    void reject_unknown_keys();
    /// Records an error at `key`, unless the file has one already.
    void fail(core::common::result_code code,
              std::string_view key,
              std::string reason);

private:
    friend class toml_file;
    struct node;
    toml_table(std::shared_ptr<toml_file> file,
               std::shared_ptr<node> table_node);
    void fail_out_of_range(std::string_view key,
                           std::string const& value,
                           std::string const& min_value,
                           std::string const& max_value);

    std::shared_ptr<toml_file> file_;
    std::shared_ptr<node> node_;
};

/// A parsed settings file.
class toml_file : public std::enable_shared_from_this<toml_file>
{
public:
    /// Parses the file at `path`. Returns null and sets `reason` if the file
    /// can't be read or is not valid TOML.
    static std::shared_ptr<toml_file> open(std::string const& path,
                                           core::common::failure& reason);
    /// Parses `text`; `name` replaces the path in error messages.
    static std::shared_ptr<toml_file> parse(std::string_view text,
                                            std::string name,
                                            core::common::failure& reason);
    ~toml_file();

    toml_table root();
    bool ok() const noexcept;
    core::common::failure const& reason() const noexcept;

private:
    friend class toml_table;
    struct content;
    toml_file(std::string name, std::unique_ptr<content> parsed);

    std::string name_;
    std::unique_ptr<content> content_;
    core::common::failure reason_;
};

/// Returns the content of a file of at most 4 MiB, such as a token, without a
/// final newline. Returns nothing and sets `reason` on failure.
std::optional<std::string> read_file(std::string const& path,
                                     core::common::failure& reason);

} // namespace fuchsia::adapters::settings
