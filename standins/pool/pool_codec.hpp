#pragma once

#include "adapters/http/message.hpp"
#include "ports/kv.hpp"
#include "ports/pool_workers.hpp"

#include <optional>
#include <string>
#include <vector>

// The platform's side of its wire formats: decodes requests and encodes
// answers.
namespace fuchsia::standins::pool
{

std::optional<ports::kv_operation>
decode_store_call(adapters::http::request const& request);
adapters::http::response encode(ports::kv_operation const& operation,
                                ports::kv_reply const& reply);

std::optional<ports::pool_operation>
decode_order(adapters::http::request const& request);
adapters::http::response encode(ports::order_reply const& reply);

/// Encodes a worker's entry in the store's list.
std::string encode(ports::pool_worker const& worker);
/// One queue of the operators' configuration.
struct queue_entry
{
    std::string name;
    std::string host;
    std::string prefix;
    std::uint32_t priority = 0;
};

/// Encodes the operators' configuration.
std::string encode_config(std::uint64_t version,
                          std::vector<queue_entry> const& queues);

} // namespace fuchsia::standins::pool
