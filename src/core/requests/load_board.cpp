#include "core/requests/load_board.hpp"

namespace fuchsia::core::requests
{

load_board::load_board(common::duration lifetime) : lifetime_(lifetime)
{
}

void load_board::on_report(common::time_point now,
                           ports::member_identity const& from,
                           ports::load_report const& report)
{
    std::uint32_t const free = report.queued > 0 ? 0 : report.free_slots;
    rows_[from] = {free, now + lifetime_};
}

std::optional<ports::member_identity>
load_board::take_most_free(common::time_point now)
{
    auto best = rows_.end();
    for (auto at = rows_.begin(); at != rows_.end(); ++at)
    {
        bool const usable = at->second.free_slots > 0 && now < at->second.until;
        if (usable && (best == rows_.end() ||
                       at->second.free_slots > best->second.free_slots))
        {
            best = at;
        }
    }
    if (best == rows_.end())
    {
        return std::nullopt;
    }
    --best->second.free_slots;
    return best->first;
}

void load_board::keep_only(
    std::function<bool(ports::member_identity const&)> const& is_live)
{
    std::erase_if(rows_,
                  [&is_live](auto const& row)
                  {
                      return !is_live(row.first);
                  });
}

} // namespace fuchsia::core::requests
