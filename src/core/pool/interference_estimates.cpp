#include "core/pool/interference_estimates.hpp"

#include "core/common/json.hpp"

#include <cmath>
#include <map>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;
using common::failure;
using common::result_code;

// Numbers lie in the store as whole hundredths.
constexpr double parts = 100;
// Beyond any headroom; more is no reading.
constexpr std::int64_t largest = 1'000'000'000;
constexpr std::size_t headroom_cells = 3;
constexpr std::size_t pair_cells = 4;

std::int64_t stored(double value)
{
    return std::llround(value * parts);
}

failure bad_row(char const* where)
{
    return {result_code::wrong_type, where, "a row can't be read"};
}

// Whole numbers from 0 to `largest`, `count` of them.
std::optional<std::vector<std::int64_t>> cells_of(json::value const& row,
                                                  std::size_t count)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != count)
    {
        return std::nullopt;
    }
    std::vector<std::int64_t> made;
    for (auto const& each : *cells)
    {
        auto const* const number = each.if_int64();
        if (number == nullptr || *number < 0 || *number > largest)
        {
            return std::nullopt;
        }
        made.push_back(*number);
    }
    return made;
}

double read(std::int64_t cell)
{
    return static_cast<double>(cell) / parts;
}

/// Rows name images by their place in a list.
class numbering
{
public:
    std::int64_t of(std::string const& image)
    {
        auto const [found, added] = numbers_.emplace(image, names_.size());
        if (added)
        {
            names_.emplace_back(image);
        }
        return static_cast<std::int64_t>(found->second);
    }

    json::array const& names() const noexcept
    {
        return names_;
    }

private:
    std::map<std::string, std::size_t> numbers_;
    json::array names_;
};

} // namespace

std::string to_json(interference_estimates const& value)
{
    numbering images;
    json::array headrooms;
    for (auto const& each : value.headrooms)
    {
        headrooms.push_back(json::array{
            images.of(each.image), stored(each.mean), stored(each.readings)});
    }
    json::array pairs;
    for (auto const& each : value.pairs)
    {
        pairs.push_back(json::array{images.of(each.served),
                                    images.of(each.beside),
                                    stored(each.weight),
                                    stored(each.variance)});
    }
    return json::serialize(json::object{{"images", images.names()},
                                        {"headrooms", std::move(headrooms)},
                                        {"pairs", std::move(pairs)}});
}

std::optional<interference_estimates>
parse_interference_estimates(std::string_view text, failure& reason)
{
    auto const object = common::parse_json_object(text, "learned", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader in(*object, "learned");
    auto const* const names = in.array("images");
    auto const* const headrooms = in.array("headrooms");
    auto const* const pairs = in.array("pairs");
    if (names == nullptr || headrooms == nullptr || pairs == nullptr)
    {
        in.fail(result_code::missing_key, "", "a list is missing");
        reason = in.reason();
        return std::nullopt;
    }
    std::vector<std::string> images;
    for (auto const& each : *names)
    {
        if (!each.is_string())
        {
            reason = bad_row("learned.images");
            return std::nullopt;
        }
        images.emplace_back(each.as_string());
    }
    auto const known = static_cast<std::int64_t>(images.size());
    interference_estimates made;
    for (auto const& row : *headrooms)
    {
        auto const cells = cells_of(row, headroom_cells);
        if (!cells || (*cells)[0] >= known)
        {
            reason = bad_row("learned.headrooms");
            return std::nullopt;
        }
        made.headrooms.push_back({images[static_cast<std::size_t>((*cells)[0])],
                                  read((*cells)[1]),
                                  read((*cells)[2])});
    }
    for (auto const& row : *pairs)
    {
        auto const cells = cells_of(row, pair_cells);
        if (!cells || (*cells)[0] >= known || (*cells)[1] >= known)
        {
            reason = bad_row("learned.pairs");
            return std::nullopt;
        }
        made.pairs.push_back({images[static_cast<std::size_t>((*cells)[0])],
                              images[static_cast<std::size_t>((*cells)[1])],
                              read((*cells)[2]),
                              read((*cells)[3])});
    }
    return made;
}

} // namespace fuchsia::core::pool
