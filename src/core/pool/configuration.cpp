#include "core/pool/configuration.hpp"

namespace fuchsia::core::pool
{

queue const* configuration::find(std::string_view host,
                                 std::string_view path) const noexcept
{
    queue const* best = nullptr;
    for (auto const& candidate : queues)
    {
        bool const matches =
            candidate.host == host && path.starts_with(candidate.prefix);
        if (matches &&
            (best == nullptr || best->prefix.size() < candidate.prefix.size()))
        {
            best = &candidate;
        }
    }
    return best;
}

queue const* configuration::named(std::string_view name) const noexcept
{
    for (auto const& candidate : queues)
    {
        if (candidate.name == name)
        {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace fuchsia::core::pool
