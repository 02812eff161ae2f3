#pragma once

#include "core/common/time.hpp"
#include "core/pool/outbox.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

/// Which task of its job: occurrence, step and number, "0.2.7".
std::string text_of(ports::task_name const& name);

/// The first of the names, at most `most`: "a,b".
std::string joined(std::vector<std::string> const& names, std::size_t most);

/// Gathers what an owner meets many times a second into a line each two
/// seconds. Only the end of a process' output is at hand after a failure: told
/// one by one, these would leave a few seconds of it.
class log_digest
{
public:
    explicit log_digest(outbox& out);
    /// Writes what is gathered.
    ~log_digest();
    log_digest(log_digest const&) = delete;
    log_digest& operator=(log_digest const&) = delete;

    void task_failed(common::time_point now, std::string const& worker);
    /// A worker answered this owner for the first time.
    void worker_adopted(common::time_point now, std::string const& worker);
    void tick(common::time_point now);

private:
    void write_failures();
    void write_adoptions();

    outbox& out_;
    std::map<std::string, std::size_t> failures_; ///< Runs by worker.
    common::time_point failing_since_{};
    std::vector<std::string> adopted_; ///< Workers.
    common::time_point adopting_since_{};
};

} // namespace fuchsia::core::pool
