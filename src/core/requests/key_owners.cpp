#include "core/requests/key_owners.hpp"

#include <charconv>

namespace fuchsia::core::requests
{

std::vector<std::string> partition_names()
{
    std::vector<std::string> names;
    for (std::uint32_t partition = 0; partition < common::partition_count;
         ++partition)
    {
        names.push_back(std::to_string(partition));
    }
    return names;
}

std::string const& partition_name(std::uint32_t partition)
{
    static std::vector<std::string> const names = partition_names();
    return names[partition];
}

std::uint32_t partition_number(std::string const& name) noexcept
{
    std::uint32_t number = common::partition_count;
    auto const* end = name.data() + name.size();
    auto const [parsed_end, error] = std::from_chars(name.data(), end, number);
    bool const is_number = error == std::errc() && parsed_end == end;
    return is_number && number < common::partition_count
               ? number
               : common::partition_count;
}

std::vector<std::uint32_t>
key_owners::refresh(common::time_point now, claims::claim_table const& claims)
{
    std::vector<std::uint32_t> changed;
    for (std::uint32_t partition = 0; partition < common::partition_count;
         ++partition)
    {
        auto const* claim = claims.find(partition_name(partition));
        if (claim == nullptr)
        {
            continue;
        }
        auto& owner = owners_[partition];
        if (owner.member != claim->owner || owner.epoch != claim->epoch)
        {
            owner = {claim->owner, claim->epoch, now};
            changed.push_back(partition);
        }
    }
    return changed;
}

key_owner const& key_owners::owner_of(std::uint32_t partition) const noexcept
{
    return owners_[partition];
}

} // namespace fuchsia::core::requests
