#include "tools/load/bench.hpp"

#include <chrono>
#include <functional>
#include <iomanip>
#include <ostream>

namespace fuchsia::tools::load
{

namespace
{

// The printed signature has eight digits, enough to distinguish changes.
constexpr std::uint64_t signature_modulus = 100'000'000;

void run_timed(std::ostream& out,
               char const* name,
               signature& total,
               std::function<void(signature&)> const& run)
{
    auto const before = total.count();
    auto const start = std::chrono::steady_clock::now();
    run(total);
    std::chrono::duration<double> const elapsed =
        std::chrono::steady_clock::now() - start;
    auto const decisions = total.count() - before;
    out << std::left << std::setw(10) << name << std::right << std::setw(9)
        << decisions << " decisions  " << std::fixed << std::setprecision(0)
        << std::setw(9) << static_cast<double>(decisions) / elapsed.count()
        << " a second\n";
}

} // namespace

int run_bench(std::ostream& out)
{
    signature total;
    run_timed(out, "requests", total, bench_requests);
    run_timed(out, "tasks", total, bench_tasks);
    out << "Bench: " << total.value() % signature_modulus << '\n';
    return 0;
}

} // namespace fuchsia::tools::load
