#pragma once

#include "core/common/time.hpp"
#include "core/pool/outbox.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace fuchsia::core::pool
{

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
    void tick(common::time_point now);

private:
    void write_failures();

    outbox& out_;
    std::map<std::string, std::size_t> failures_; ///< Runs by worker.
    common::time_point failing_since_{};
};

} // namespace fuchsia::core::pool
