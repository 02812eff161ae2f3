#pragma once

#include "core/common/result_code.hpp"
#include "ports/requests.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::tasks
{

enum class job_kind : std::uint8_t
{
    service, ///< Latency-critical; runs until it is cancelled.
    batch,   ///< Runs until its work is done.
};

std::string_view name_of(job_kind value) noexcept;

/// Job of a customer, as submitted by an operator.
struct job
{
    std::string id; ///< Chosen by the submitter; makes a submission idempotent.
    std::string customer;
    job_kind kind = job_kind::batch;
    std::string
        task_class; ///< Class of tasks that share interference estimates.
    ports::resources declared; ///< Declared resources of each task.
    std::uint32_t tasks = 1;
    std::uint64_t work_ms = 0; ///< Run time of each batch task at full speed.
    bool checkpointable = false;
    bool urgent = false; ///< Placed before all jobs that are not urgent.
    /// Data centre whose workers may run the tasks; empty for any.
    std::string data_centre;

    bool operator==(job const&) const = default;
};

std::optional<job> parse_job(std::string_view json, common::failure& reason);
std::string to_json(job const& value);

} // namespace fuchsia::core::tasks
