#include "core/pool/log_digest.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsia::core::pool
{

using ports::severity;

std::string text_of(ports::task_name const& name)
{
    return std::to_string(name.occurrence) + "." + std::to_string(name.step) +
           "." + std::to_string(name.index);
}

std::string joined(std::vector<std::string> const& names, std::size_t most)
{
    std::string made;
    for (std::size_t k = 0; k < names.size() && k < most; ++k)
    {
        made += k > 0 ? "," : "";
        made += names[k];
    }
    return made;
}

namespace
{

constexpr common::duration gathered_for = std::chrono::seconds(2);
/// Workers that a line names; the rest are counted.
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
    write_adoptions();
}

void log_digest::task_failed(common::time_point now, std::string const& worker)
{
    if (failures_.empty())
    {
        failing_since_ = now;
    }
    ++failures_[worker];
}

void log_digest::worker_adopted(common::time_point now,
                                std::string const& worker)
{
    if (adopted_.empty())
    {
        adopting_since_ = now;
    }
    adopted_.push_back(worker);
}

void log_digest::tick(common::time_point now)
{
    if (now - failing_since_ >= gathered_for)
    {
        write_failures();
    }
    if (now - adopting_since_ >= gathered_for)
    {
        write_adoptions();
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

void log_digest::write_adoptions()
{
    if (adopted_.empty())
    {
        return;
    }
    out_.log(severity::info,
             "workers_adopted",
             {{"workers", std::to_string(adopted_.size())},
              {"first", joined(adopted_, most_workers)}});
    adopted_.clear();
}

} // namespace fuchsia::core::pool
