#include "tools/load/bench_pool.hpp"

#include "tools/load/bench_pool_simulation.hpp"

#include <iomanip>
#include <numeric>
#include <ostream>

namespace fuchsia::tools::load
{

namespace
{

// Eight digits tell changes apart.
constexpr std::uint64_t shown_digits = 100'000'000;
constexpr int first_column = 26;
constexpr int column = 12;

using results = std::vector<pool_bench_result>;

template<class Value>
void print_row(std::ostream& out,
               std::string_view name,
               results const& all,
               int digits,
               Value value)
{
    out << std::left << std::setw(first_column) << name << std::right
        << std::fixed << std::setprecision(digits);
    for (auto const& each : all)
    {
        out << std::setw(column) << value(each);
    }
    out << '\n';
}

double per_start(double amount, pool_bench_result const& of)
{
    return of.starts == 0 ? 0 : amount / static_cast<double>(of.starts);
}

double microseconds(double seconds, pool_bench_result const& of)
{
    constexpr double in_a_second = 1e6;
    return per_start(seconds * in_a_second, of);
}

double placing_s(pool_bench_result const& of)
{
    return std::accumulate(of.time_by_event_kind.begin(),
                           of.time_by_event_kind.end(),
                           0.0,
                           [](double sum, pool_event_time const& each)
                           {
                               return sum + each.placement_s();
                           });
}

void print_duties(std::ostream& out, results const& all)
{
    out << "processor time of a start, microseconds:\n";
    print_row(out,
              "  placing",
              all,
              1,
              [](pool_bench_result const& each)
              {
                  return microseconds(placing_s(each), each);
              });
    for (std::size_t duty = 0; duty < pool_event_kind_names.size(); ++duty)
    {
        print_row(out,
                  "  " + std::string(pool_event_kind_names[duty]),
                  all,
                  1,
                  [duty](pool_bench_result const& each)
                  {
                      return microseconds(
                          each.time_by_event_kind[duty].other_s(), each);
                  });
    }
    print_row(out,
              "  of it JSON of progress",
              all,
              1,
              [](pool_bench_result const& each)
              {
                  return microseconds(each.progress_json_s, each);
              });
}

void print_decisions(std::ostream& out, results const& all)
{
    print_row(out,
              "choices",
              all,
              0,
              [](pool_bench_result const& each)
              {
                  return each.starts;
              });
    print_row(out,
              "choices a second",
              all,
              0,
              [](pool_bench_result const& each)
              {
                  return static_cast<double>(each.starts) /
                         std::max(each.total_s(), 1e-9);
              });
    print_row(out,
              "scored for each",
              all,
              1,
              [](pool_bench_result const& each)
              {
                  return per_start(static_cast<double>(each.scored), each);
              });
    print_row(out,
              "rounds",
              all,
              0,
              [](pool_bench_result const& each)
              {
                  return each.placement_rounds;
              });
    print_row(out,
              "jobs finished",
              all,
              0,
              [](pool_bench_result const& each)
              {
                  return each.jobs_finished;
              });
    print_row(out,
              "tasks at work at the end",
              all,
              0,
              [](pool_bench_result const& each)
              {
                  return each.running;
              });
    print_row(out,
              "share of cores reserved",
              all,
              2,
              [](pool_bench_result const& each)
              {
                  return each.reserved;
              });
}

} // namespace

double pool_event_time::placement_s() const noexcept
{
    double const usual =
        events_without_placement == 0
            ? 0
            : time_without_placement_s /
                  static_cast<double>(events_without_placement);
    return std::max(time_with_placement_s -
                        usual * static_cast<double>(events_with_placement),
                    0.0);
}

double pool_event_time::other_s() const noexcept
{
    return time_without_placement_s + time_with_placement_s - placement_s();
}

double pool_bench_result::total_s() const noexcept
{
    return std::accumulate(time_by_event_kind.begin(),
                           time_by_event_kind.end(),
                           0.0,
                           [](double sum, pool_event_time const& each)
                           {
                               return sum + each.time_without_placement_s +
                                      each.time_with_placement_s;
                           });
}

pool_bench_result bench_pool(pool_bench_settings const& settings)
{
    return bench_pool_simulation(settings).run();
}

int run_pool_bench(std::vector<std::uint32_t> const& sizes,
                   pool_bench_settings const& settings,
                   std::ostream& out)
{
    results all;
    out << std::left << std::setw(first_column) << "workers" << std::right;
    for (auto const size : sizes)
    {
        out << std::setw(column) << size << std::flush;
        auto one = settings;
        one.workers = size;
        all.push_back(bench_pool(one));
    }
    out << '\n';
    print_decisions(out, all);
    print_duties(out, all);
    print_row(out,
              "Decisions",
              all,
              0,
              [](pool_bench_result const& each)
              {
                  return each.signature % shown_digits;
              });
    return 0;
}

} // namespace fuchsia::tools::load
