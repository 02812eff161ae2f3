#include "tools/load/bench_pool.hpp"

#include "tools/load/bench_pool_simulation.hpp"

#include <iomanip>
#include <numeric>
#include <ostream>

namespace fuchsia::tools::load
{

namespace
{

// The printed signature has eight digits, enough to distinguish changes.
constexpr std::uint64_t signature_modulus = 100'000'000;
constexpr int name_column_width = 26;
constexpr int column_width = 12;

using results = std::vector<pool_bench_result>;

template<class Value>
void print_row(std::ostream& out,
               std::string_view name,
               results const& all_results,
               int digits,
               Value value)
{
    out << std::left << std::setw(name_column_width) << name << std::right
        << std::fixed << std::setprecision(digits);
    for (auto const& result : all_results)
    {
        out << std::setw(column_width) << value(result);
    }
    out << '\n';
}

double per_start(double amount, pool_bench_result const& result)
{
    return result.starts == 0 ? 0 : amount / static_cast<double>(result.starts);
}

double microseconds(double seconds, pool_bench_result const& result)
{
    constexpr double in_a_second = 1e6;
    return per_start(seconds * in_a_second, result);
}

double total_placement_s(pool_bench_result const& result)
{
    return std::accumulate(result.time_by_event_kind.begin(),
                           result.time_by_event_kind.end(),
                           0.0,
                           [](double sum, pool_event_time const& time)
                           {
                               return sum + time.placement_s();
                           });
}

void print_event_times(std::ostream& out, results const& all_results)
{
    out << "processor time of a start, microseconds:\n";
    print_row(out,
              "  placing",
              all_results,
              1,
              [](pool_bench_result const& result)
              {
                  return microseconds(total_placement_s(result), result);
              });
    for (std::size_t kind = 0; kind < pool_event_kind_names.size(); ++kind)
    {
        print_row(out,
                  "  " + std::string(pool_event_kind_names[kind]),
                  all_results,
                  1,
                  [kind](pool_bench_result const& result)
                  {
                      return microseconds(
                          result.time_by_event_kind[kind].other_s(), result);
                  });
    }
    print_row(out,
              "  of it JSON of progress",
              all_results,
              1,
              [](pool_bench_result const& result)
              {
                  return microseconds(result.progress_json_s, result);
              });
}

void print_decisions(std::ostream& out, results const& all_results)
{
    print_row(out,
              "choices",
              all_results,
              0,
              [](pool_bench_result const& result)
              {
                  return result.starts;
              });
    print_row(out,
              "choices a second",
              all_results,
              0,
              [](pool_bench_result const& result)
              {
                  return static_cast<double>(result.starts) /
                         std::max(result.total_s(), 1e-9);
              });
    print_row(out,
              "scored for each",
              all_results,
              1,
              [](pool_bench_result const& result)
              {
                  return per_start(static_cast<double>(result.scored), result);
              });
    print_row(out,
              "rounds",
              all_results,
              0,
              [](pool_bench_result const& result)
              {
                  return result.placement_rounds;
              });
    print_row(out,
              "milliseconds a round",
              all_results,
              3,
              [](pool_bench_result const& result)
              {
                  constexpr double in_a_second = 1e3;
                  return total_placement_s(result) * in_a_second /
                         static_cast<double>(std::max<std::uint64_t>(
                             result.placement_rounds, 1));
              });
    print_row(out,
              "jobs finished",
              all_results,
              0,
              [](pool_bench_result const& result)
              {
                  return result.jobs_finished;
              });
    print_row(out,
              "tasks at work at the end",
              all_results,
              0,
              [](pool_bench_result const& result)
              {
                  return result.running;
              });
    print_row(out,
              "share of cores reserved",
              all_results,
              2,
              [](pool_bench_result const& result)
              {
                  return result.reserved;
              });
}

} // namespace

double pool_event_time::placement_s() const noexcept
{
    double const mean_time_s =
        events_without_placement == 0
            ? 0
            : time_without_placement_s /
                  static_cast<double>(events_without_placement);
    return std::max(time_with_placement_s -
                        mean_time_s *
                            static_cast<double>(events_with_placement),
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
                           [](double sum, pool_event_time const& time)
                           {
                               return sum + time.time_without_placement_s +
                                      time.time_with_placement_s;
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
    results all_results;
    out << std::left << std::setw(name_column_width) << "workers" << std::right;
    for (auto const size : sizes)
    {
        out << std::setw(column_width) << size << std::flush;
        auto sized_settings = settings;
        sized_settings.workers = size;
        all_results.push_back(bench_pool(sized_settings));
    }
    out << '\n';
    print_decisions(out, all_results);
    print_event_times(out, all_results);
    print_row(out,
              "Decisions",
              all_results,
              0,
              [](pool_bench_result const& result)
              {
                  return result.signature % signature_modulus;
              });
    return 0;
}

} // namespace fuchsia::tools::load
