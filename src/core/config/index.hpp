#pragma once

#include "core/common/result_code.hpp"
#include "core/config/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// How the configuration lies in the platform's store. `config/index` names
// the revision and, for each customer, the document that holds its contract.
// A change writes the new document first and then moves the index by one
// compare-and-swap, so that every reader sees a change whole or not at all.
namespace fuchsia::core::config
{

constexpr std::string_view index_key = "config/index";
constexpr std::string_view contracts_prefix = "config/contract/";

/// One customer's contract in the index.
struct index_entry
{
    std::uint64_t revision = 0; ///< At which it was put or withdrawn.
    bool withdrawn = false;
    /// Last part of the key of its document; empty where withdrawn.
    std::string document;

    bool operator==(index_entry const&) const = default;
};

/// One data centre in the index.
struct data_centre_entry
{
    /// At which it was last taken out or in; 0: only seen so far.
    std::uint64_t revision = 0;
    bool out_of_service = false;

    bool operator==(data_centre_entry const&) const = default;
};

/// Revisions whose writers the index remembers. A writer whose answer was lost
/// can tell its fate unless this many changes came in between.
constexpr std::size_t max_recent_writes = 64;

/// The value of `config/index`.
struct index_document
{
    std::uint64_t revision = 0;
    std::map<std::string, index_entry, std::less<>> contracts;
    std::map<std::string, data_centre_entry, std::less<>> data_centres;
    /// Write ids of the newest revisions, so that a writer whose answer was
    /// lost can tell whether a revision is its own.
    std::map<std::uint64_t, std::string> recent_writes;

    bool operator==(index_document const&) const = default;
};

std::string to_json(index_document const& value);
std::optional<index_document> parse_index(std::string_view json,
                                          common::failure& reason);

/// Name of the document that write `write_id` stores for `revision`.
///
/// The write id is part of the name. With the revision alone, two operators
/// who race on one contract would write the same key: the index moved by one
/// of them could then point to what the other wrote.
std::string document_name(std::uint64_t revision, std::string_view write_id);

/// Revision in a document's name; 0 where there is none.
std::uint64_t revision_of_document(std::string_view document) noexcept;

/// Key of a customer's document.
std::string document_key(std::string_view customer, std::string_view document);

} // namespace fuchsia::core::config
