#include "core/pool/end_cursor.hpp"

namespace fuchsia::core::pool
{

namespace
{

// Number of full reports in a row after which the numbers in a gap count as
// never used. A worker that is never read to its last end would keep a takeover
// waiting.
constexpr std::uint32_t max_stalled_reports = 8;

} // namespace

bool end_cursor::add(std::uint64_t sequence)
{
    return sequence > processed_ && beyond_gap_.insert(sequence).second;
}

// A report that is not full holds all ends, whatever their numbers. Of a full
// one only those count as processed that follow each other without a gap: an
// acknowledgement makes the worker forget all ends below it, also those that it
// has not listed yet. Ends below the first one listed were acknowledged to an
// earlier owner.
void end_cursor::finish_report(bool full)
{
    has_unlisted_ = full;
    caught_up_ = caught_up_ || !full;
    auto const before = processed_;
    if (!beyond_gap_.empty() && !started_)
    {
        skip_gap();
    }
    if (!beyond_gap_.empty() && !full)
    {
        processed_ = *beyond_gap_.rbegin();
        beyond_gap_.clear();
    }
    pass_consecutive();
    bool const stalled = has_gap() && processed_ == before;
    stalled_reports_ = stalled ? stalled_reports_ + 1 : 0;
    if (stalled_reports_ == max_stalled_reports)
    {
        skip_gap();
        pass_consecutive();
    }
}

void end_cursor::skip_gap()
{
    processed_ = *beyond_gap_.begin() - 1;
    started_ = true;
    stalled_reports_ = 0;
}

void end_cursor::pass_consecutive()
{
    while (!beyond_gap_.empty() && *beyond_gap_.begin() == processed_ + 1)
    {
        processed_ = *beyond_gap_.begin();
        beyond_gap_.erase(beyond_gap_.begin());
    }
}

std::uint64_t end_cursor::processed() const noexcept
{
    return processed_;
}

bool end_cursor::has_unlisted() const noexcept
{
    return has_unlisted_;
}

bool end_cursor::caught_up() const noexcept
{
    return caught_up_;
}

bool end_cursor::has_gap() const noexcept
{
    return !beyond_gap_.empty();
}

} // namespace fuchsia::core::pool
