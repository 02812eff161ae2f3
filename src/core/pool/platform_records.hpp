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

/// A data centre leaves service, or returns to it.
struct data_centre_change
{
    std::string name;
    bool out = true; ///< Out of service.
};

/// An item that does not concern the pool.
struct no_change
{
};

using operator_change =
    std::variant<no_change, configuration, data_centre_change>;

/// Keys and formats of the records that workers and operators write into the
/// store. Only the adapter of a platform, which fills them in, depends on them.
struct platform_records
{
    std::string workers_prefix;
    std::string operators_prefix;
    /// Parses the entry of a worker; empty, with the failure, if the entry does
    /// not describe a usable worker.
    std::function<std::optional<ports::pool_worker>(ports::kv_item const&,
                                                    common::failure&)>
        read_worker;
    /// Parses a record of operators; empty, with the failure, if it is
    /// malformed.
    std::function<std::optional<operator_change>(ports::kv_item const&,
                                                 common::failure&)>
        read_operator;
};

} // namespace fuchsia::core::pool
