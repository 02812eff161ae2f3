#include "core/requests/peer_load_table.hpp"

namespace fuchsia::core::requests
{

peer_load_table::peer_load_table(common::duration lifetime)
    : lifetime_(lifetime)
{
}

void peer_load_table::on_report(common::time_point now,
                                ports::member_identity const& from,
                                ports::load_report const& report)
{
    std::uint32_t const free = report.queued > 0 ? 0 : report.free_slots;
    rows_[from] = {free, now + lifetime_};
}

std::optional<ports::member_identity>
peer_load_table::take_most_free(common::time_point now)
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

void peer_load_table::keep_only(
    std::function<bool(ports::member_identity const&)> const& is_live)
{
    std::erase_if(rows_,
                  [&is_live](auto const& row)
                  {
                      return !is_live(row.first);
                  });
}

} // namespace fuchsia::core::requests
