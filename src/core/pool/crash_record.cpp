#include "core/pool/crash_record.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

namespace
{

// A task is given up after two crashes that are its fault alone and one that
// may be, or others that weigh as much, if at least two are known to be
// crashes. It is given up after the fifth in any case.
constexpr std::uint32_t alone_weight = 2;
constexpr std::uint32_t shared_weight = 1;
constexpr std::uint32_t max_weight = 2 * alone_weight + shared_weight;
constexpr std::uint32_t min_confirmed = 2;
constexpr std::uint32_t max_crashes = 5;

} // namespace

std::uint32_t crash_record::crashes() const noexcept
{
    return alone + shared;
}

bool crash_record::is_suspect() const noexcept
{
    return crashes() > 0;
}

bool crash_record::must_be_kept() const noexcept
{
    return is_suspect() || !worker.empty();
}

bool crash_record::is_exhausted() const noexcept
{
    auto const weight = alone * alone_weight + shared * shared_weight;
    return (weight >= max_weight && confirmed >= min_confirmed) ||
           crashes() >= max_crashes;
}

common::duration crash_record::clearing_run() const noexcept
{
    return std::clamp(2 * longest_lost_run, min_clearing_run, max_clearing_run);
}

void crash_record::note_lost_run(common::duration age) noexcept
{
    longest_lost_run = std::max(longest_lost_run, age);
}

void crash_record::blame(crash_evidence evidence) noexcept
{
    ++count_of(evidence);
}

void crash_record::confirm() noexcept
{
    confirmed = std::min(confirmed + 1, crashes());
}

void crash_record::withdraw(crash_evidence evidence) noexcept
{
    auto& count = count_of(evidence);
    count -= count > 0 ? 1 : 0;
    confirmed = std::min(confirmed, crashes());
}

std::uint32_t& crash_record::count_of(crash_evidence evidence) noexcept
{
    return evidence == crash_evidence::alone ? alone : shared;
}

} // namespace fuchsia::core::pool
