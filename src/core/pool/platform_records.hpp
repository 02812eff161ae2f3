#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/configuration.hpp"
#include "ports/kv.hpp"
#include "ports/pool_workers.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace fuchsia::core::pool
{

/// A data centre is out of service, or (`out` false) back.
struct data_centre_change
{
    std::string name;
    bool out = true;
};

/// An item that says nothing to this program.
struct no_change
{
};

using operator_change =
    std::variant<no_change, configuration, data_centre_change>;

/// How workers and operators write into the store. The adapter of a platform
/// fills it; nothing else knows their keys and formats.
struct platform_records
{
    std::string workers_prefix;
    std::string operators_prefix;
    /// Empty, with the reason, where the entry names no worker to use.
    std::function<std::optional<ports::pool_worker>(ports::kv_item const&,
                                                    common::failure&)>
        read_worker;
    std::function<std::optional<operator_change>(ports::kv_item const&,
                                                 common::failure&)>
        read_operator;
};

} // namespace fuchsia::core::pool
