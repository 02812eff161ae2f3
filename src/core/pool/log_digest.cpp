#include "core/pool/log_digest.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsia::core::pool
{

using ports::severity;

namespace
{

constexpr common::duration gathered_for = std::chrono::seconds(2);
/// Workers that a line of failures names.
constexpr std::size_t most_workers = 3;

/// "w1:3,w2:1": the workers with most failures, by number.
std::string worst_of(std::map<std::string, std::size_t> const& failures)
{
    std::vector<std::pair<std::string, std::size_t>> order(failures.begin(),
                                                           failures.end());
    std::stable_sort(order.begin(),
                     order.end(),
                     [](auto const& left, auto const& right)
                     {
                         return left.second > right.second;
                     });
    order.resize(std::min(order.size(), most_workers));
    std::string made;
    for (auto const& [worker, count] : order)
    {
        made += made.empty() ? "" : ",";
        made += worker + ":" + std::to_string(count);
    }
    return made;
}

} // namespace

log_digest::log_digest(outbox& out) : out_(out)
{
}

log_digest::~log_digest()
{
    write_failures();
}

void log_digest::task_failed(common::time_point now, std::string const& worker)
{
    if (failures_.empty())
    {
        failing_since_ = now;
    }
    ++failures_[worker];
}

void log_digest::tick(common::time_point now)
{
    if (now - failing_since_ >= gathered_for)
    {
        write_failures();
    }
}

void log_digest::write_failures()
{
    if (failures_.empty())
    {
        return;
    }
    std::size_t runs = 0;
    for (auto const& [worker, count] : failures_)
    {
        runs += count;
    }
    out_.log(severity::info,
             "tasks_failed",
             {{"runs", std::to_string(runs)},
              {"workers", std::to_string(failures_.size())},
              {"most", worst_of(failures_)}});
    failures_.clear();
}

} // namespace fuchsia::core::pool
