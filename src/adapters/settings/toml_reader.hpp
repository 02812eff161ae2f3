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

/// Reads one table of a settings file and remembers the first thing wrong with
/// it, with file and line, so that a parse function reads all keys and asks
/// `ok` of the file once.
class toml_table
{
public:
    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::vector<std::string> texts_or(std::string_view key,
                                      std::vector<std::string> fallback);
    std::int64_t
    integer(std::string_view key, std::int64_t least, std::int64_t most);
    std::int64_t integer_or(std::string_view key,
                            std::int64_t fallback,
                            std::int64_t least,
                            std::int64_t most);
    double
    number_or(std::string_view key, double fallback, double least, double most);
    bool flag_or(std::string_view key, bool fallback);
    /// A length of time; the key's name ends in `_ms` or `_us` and says the
    /// unit of the number that stands there.
    core::common::duration duration_or(std::string_view key,
                                       core::common::duration fallback,
                                       core::common::duration least,
                                       core::common::duration most);
    /// "IP:port".
    ports::endpoint endpoint(std::string_view key);
    /// One of `names`; the index of it.
    std::size_t choice_or(std::string_view key,
                          std::size_t fallback,
                          std::initializer_list<std::string_view> names);

    /// The table under `key`; an empty one where it is absent.
    toml_table table(std::string_view key);
    /// The tables of an array of tables `[[key]]`.
    std::vector<toml_table> tables(std::string_view key);
    bool has(std::string_view key) const;
    /// All keys, for tables whose keys are data.
    std::vector<std::string> keys() const;

    /// Refuses every key that was not asked for; to be called last.
    void reject_unknown_keys();
    /// Records an error of the caller's own at `key`, unless one stands.
    void
    fail(core::common::result_code code, std::string_view key, std::string why);

private:
    friend class toml_file;
    struct node;
    toml_table(std::shared_ptr<toml_file> file, std::shared_ptr<node> at);
    void out_of_range(std::string_view key,
                      std::string const& value,
                      std::string const& least,
                      std::string const& most);

    std::shared_ptr<toml_file> file_;
    std::shared_ptr<node> node_;
};

/// A parsed settings file.
class toml_file : public std::enable_shared_from_this<toml_file>
{
public:
    /// Null, with the reason, where the file can't be read or is no TOML.
    static std::shared_ptr<toml_file> open(std::string const& path,
                                           core::common::failure& reason);
    /// The same from memory; `name` stands for the path in messages.
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

/// Whole content of a small file, such as a token, without a closing newline.
std::optional<std::string> read_file(std::string const& path,
                                     core::common::failure& reason);

} // namespace fuchsia::adapters::settings
