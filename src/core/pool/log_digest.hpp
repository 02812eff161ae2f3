#pragma once

#include "core/common/time.hpp"
#include "core/pool/outbox.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

/// Returns the occurrence, step and index of a task: "0.2.7".
std::string text_of(ports::task_name const& name);

/// Returns the first `max_names` names, separated by commas: "a,b".
std::string joined(std::vector<std::string> const& names,
                   std::size_t max_names);

/// Combines events that occur many times a second into one log line every two
/// seconds. After a failure only the end of the process output is available;
/// one line per event would reduce it to a few seconds.
class log_digest
{
public:
    explicit log_digest(outbox& out);
    /// Writes the events collected so far.
    ~log_digest();
    log_digest(log_digest const&) = delete;
    log_digest& operator=(log_digest const&) = delete;

    void task_failed(common::time_point now, std::string const& worker);
    /// Records that a worker answered this owner for the first time.
    void worker_adopted(common::time_point now, std::string const& worker);
    void tick(common::time_point now);

private:
    void write_failures();
    void write_adoptions();

    outbox& out_;
    std::map<std::string, std::size_t>
        failures_; ///< Number of failed runs by worker.
    common::time_point first_failure_at_{};
    std::vector<std::string> adopted_; ///< Ids of adopted workers.
    common::time_point first_adoption_at_{};
};

} // namespace fuchsia::core::pool
