#include "core/requests/replay_guard.hpp"

namespace fuchsia::core::requests
{

bool replay_guard::is_new(ports::member_identity const& from, std::uint64_t id)
{
    auto& known = senders_[from];
    if (id <= known.floor || !known.above.insert(id).second)
    {
        return false;
    }
    if (known.above.size() > window)
    {
        known.floor = *known.above.begin();
        known.above.erase(known.above.begin());
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
