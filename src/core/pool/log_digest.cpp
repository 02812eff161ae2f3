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

std::string joined(std::vector<std::string> const& names, std::size_t max_names)
{
    std::string text;
    for (std::size_t k = 0; k < names.size() && k < max_names; ++k)
    {
        text += k > 0 ? "," : "";
        text += names[k];
    }
    return text;
}

namespace
{

constexpr common::duration digest_interval = std::chrono::seconds(2);
/// Maximum number of workers listed in a line; the others are only counted.
constexpr std::size_t max_listed_workers = 3;

/// Returns the workers with most failures and their counts: "w1:3,w2:1".
std::string
list_most_failures(std::map<std::string, std::size_t> const& failures)
{
    std::vector<std::pair<std::string, std::size_t>> sorted(failures.begin(),
                                                            failures.end());
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](auto const& lhs, auto const& rhs)
                     {
                         return lhs.second > rhs.second;
                     });
    sorted.resize(std::min(sorted.size(), max_listed_workers));
    std::string text;
    for (auto const& [worker, count] : sorted)
    {
        text += text.empty() ? "" : ",";
        text += worker + ":" + std::to_string(count);
    }
    return text;
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
        first_failure_at_ = now;
    }
    ++failures_[worker];
}

void log_digest::worker_adopted(common::time_point now,
                                std::string const& worker)
{
    if (adopted_.empty())
    {
        first_adoption_at_ = now;
    }
    adopted_.push_back(worker);
}

void log_digest::tick(common::time_point now)
{
    if (now - first_failure_at_ >= digest_interval)
    {
        write_failures();
    }
    if (now - first_adoption_at_ >= digest_interval)
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
              {"most", list_most_failures(failures_)}});
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
              {"first", joined(adopted_, max_listed_workers)}});
    adopted_.clear();
}

} // namespace fuchsia::core::pool
