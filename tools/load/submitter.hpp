#pragma once

#include "adapters/http/client.hpp"
#include "tools/load/experiment.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace fuchsia::tools::load
{

struct job_counts
{
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0; ///< No final answer after all attempts.
};

/// Submits the jobs of an experiment. If a planner does not answer, or answers
/// with a server error or 429, the job is sent to the next planner after a
/// pause. The retry is safe because it has the same job id.
class submitter
{
public:
    submitter(boost::asio::io_context& io,
              experiment const& spec,
              std::string run_id);

    void submit(std::size_t stream);
    job_counts const& counts() const noexcept;
    std::size_t pending_jobs() const noexcept;
    /// Body of the answer to the last job that was not accepted.
    std::string const& last_reason() const noexcept;
    void close();

private:
    struct pending
    {
        std::string body;
        std::uint32_t attempts = 0;
    };

    void attempt(std::shared_ptr<pending> const& job);
    void on_end(std::shared_ptr<pending> const& job,
                ports::exchange_status status,
                adapters::http::response const& answer);

    boost::asio::io_context& io_;
    experiment const& experiment_;
    std::string run_id_;
    adapters::http::client client_;
    std::size_t planner_index_ = 0;
    std::size_t pending_jobs_ = 0;
    job_counts counts_;
    std::string last_reason_;
};

} // namespace fuchsia::tools::load
