#include "core/requests/replay_guard.hpp"

namespace fuchsia::core::requests
{

bool replay_guard::is_new(ports::member_identity const& sender,
                          std::uint64_t id)
{
    auto& history = senders_[sender];
    if (id <= history.floor || !history.recent_ids.insert(id).second)
    {
        return false;
    }
    if (history.recent_ids.size() > window_size)
    {
        history.floor = *history.recent_ids.begin();
        history.recent_ids.erase(history.recent_ids.begin());
    }
    return true;
}

void replay_guard::keep_only(
    std::function<bool(ports::member_identity const&)> const& is_live)
{
    std::erase_if(senders_,
                  [&is_live](auto const& sender)
                  {
                      return !is_live(sender.first);
                  });
}

} // namespace fuchsia::core::requests
