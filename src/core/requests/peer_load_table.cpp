#include "core/requests/peer_load_table.hpp"

namespace fuchsia::core::requests
{

peer_load_table::peer_load_table(common::duration lifetime)
    : lifetime_(lifetime)
{
}

void peer_load_table::on_report(common::time_point now,
                                ports::member_identity const& peer,
                                ports::load_report const& report)
{
    std::uint32_t const free_slots = report.queued > 0 ? 0 : report.free_slots;
    loads_[peer] = {free_slots, now + lifetime_};
}

std::optional<ports::member_identity>
peer_load_table::take_most_free(common::time_point now)
{
    auto best = loads_.end();
    for (auto it = loads_.begin(); it != loads_.end(); ++it)
    {
        bool const usable =
            it->second.free_slots > 0 && now < it->second.valid_until;
        if (usable && (best == loads_.end() ||
                       it->second.free_slots > best->second.free_slots))
        {
            best = it;
        }
    }
    if (best == loads_.end())
    {
        return std::nullopt;
    }
    --best->second.free_slots;
    return best->first;
}

void peer_load_table::keep_only(
    std::function<bool(ports::member_identity const&)> const& is_live)
{
    std::erase_if(loads_,
                  [&is_live](auto const& peer_load)
                  {
                      return !is_live(peer_load.first);
                  });
}

} // namespace fuchsia::core::requests
