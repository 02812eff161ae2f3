#pragma once

#include "core/common/result_code.hpp"
#include "core/config/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// Layout of the configuration in the platform's store. `config/index` contains
// the revision and, for each customer, the name of the document with its
// contract. A change writes the new document first and then replaces the index
// by one compare-and-swap, so that readers see every change completely or not
// at all.
namespace fuchsia::core::config
{

/// Key of the index.
constexpr std::string_view index_key = "config/index";
/// Prefix of the keys of all contract documents.
constexpr std::string_view contracts_prefix = "config/contract/";

/// Entry of one customer's contract in the index.
struct index_entry
{
    std::uint64_t revision = 0; ///< Revision of the last put or withdrawal.
    bool withdrawn = false;
    /// Last part of the key of the contract's document; empty if withdrawn.
    std::string document;

    bool operator==(index_entry const&) const = default;
};

/// Entry of one data centre in the index.
struct data_centre_entry
{
    /// Revision at which the data centre was last taken out of service or
    /// brought back; 0 if it has only been observed so far.
    std::uint64_t revision = 0;
    bool out_of_service = false;

    bool operator==(data_centre_entry const&) const = default;
};

/// Number of newest revisions whose write ids the index contains. A writer
/// whose reply was lost can determine the outcome unless at least this many
/// changes followed.
constexpr std::size_t max_recent_writes = 64;

/// The value of `config/index`.
struct index_document
{
    std::uint64_t revision = 0;
    std::map<std::string, index_entry, std::less<>> contracts;
    std::map<std::string, data_centre_entry, std::less<>> data_centres;
    /// Write ids of the newest revisions, by revision, so that a writer whose
    /// reply was lost can determine whether a revision is its own.
    std::map<std::uint64_t, std::string> recent_writes;

    bool operator==(index_document const&) const = default;
};

std::string to_json(index_document const& value);
std::optional<index_document> parse_index(std::string_view json,
                                          common::failure& reason);

/// Returns the name of the document that the write `write_id` stores for
/// `revision`.
///
/// The write id is part of the name. With the revision alone, two concurrent
/// changes of one contract would write the same key, and the index written by
/// one of them could refer to the document of the other.
std::string document_name(std::uint64_t revision, std::string_view write_id);

/// Returns the revision in a document's name; 0 if it has none.
std::uint64_t revision_of_document(std::string_view document) noexcept;

/// Returns the key of a customer's document.
std::string document_key(std::string_view customer, std::string_view document);

} // namespace fuchsia::core::config
