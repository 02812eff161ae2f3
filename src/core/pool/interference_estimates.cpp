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

// Estimates are stored as integers in hundredths, and images as indexes.
constexpr double storage_scale = 100;
// Greatest integer that is accepted when a stored row is parsed. In hundredths
// it is greater than any headroom.
constexpr std::int64_t max_stored_value = 1'000'000'000;
constexpr std::size_t headroom_columns = 3;
constexpr std::size_t pair_columns = 4;

std::int64_t to_hundredths(double value)
{
    return std::llround(value * storage_scale);
}

failure bad_row(char const* field)
{
    return {result_code::wrong_type, field, "a row can't be read"};
}

// Returns the cells of a row; empty unless they are `count` integers from 0 to
// `max_stored_value`.
std::optional<std::vector<std::int64_t>> cells_of(json::value const& row,
                                                  std::size_t count)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != count)
    {
        return std::nullopt;
    }
    std::vector<std::int64_t> numbers;
    for (auto const& cell : *cells)
    {
        auto const* const number = cell.if_int64();
        if (number == nullptr || *number < 0 || *number > max_stored_value)
        {
            return std::nullopt;
        }
        numbers.push_back(*number);
    }
    return numbers;
}

double from_hundredths(std::int64_t cell)
{
    return static_cast<double>(cell) / storage_scale;
}

/// Assigns each image an index in a list of names, by which rows refer to the
/// image.
class image_numbering
{
public:
    std::int64_t index_of(std::string const& image)
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
    image_numbering images;
    json::array headrooms;
    for (auto const& record : value.headrooms)
    {
        headrooms.push_back(json::array{images.index_of(record.image),
                                        to_hundredths(record.mean),
                                        to_hundredths(record.readings)});
    }
    json::array pairs;
    for (auto const& record : value.pairs)
    {
        pairs.push_back(json::array{images.index_of(record.serving_image),
                                    images.index_of(record.neighbour_image),
                                    to_hundredths(record.weight),
                                    to_hundredths(record.variance)});
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
    common::json_reader reader(*object, "learned");
    auto const* const names = reader.array("images");
    auto const* const headrooms = reader.array("headrooms");
    auto const* const pairs = reader.array("pairs");
    if (names == nullptr || headrooms == nullptr || pairs == nullptr)
    {
        reader.fail(result_code::missing_key,
                    "",
                    "images, headrooms or pairs is missing");
        reason = reader.reason();
        return std::nullopt;
    }
    std::vector<std::string> images;
    for (auto const& name : *names)
    {
        if (!name.is_string())
        {
            reason = bad_row("learned.images");
            return std::nullopt;
        }
        images.emplace_back(name.as_string());
    }
    auto const image_count = static_cast<std::int64_t>(images.size());
    interference_estimates result;
    for (auto const& row : *headrooms)
    {
        auto const cells = cells_of(row, headroom_columns);
        if (!cells || (*cells)[0] >= image_count)
        {
            reason = bad_row("learned.headrooms");
            return std::nullopt;
        }
        result.headrooms.push_back(
            {images[static_cast<std::size_t>((*cells)[0])],
             from_hundredths((*cells)[1]),
             from_hundredths((*cells)[2])});
    }
    for (auto const& row : *pairs)
    {
        auto const cells = cells_of(row, pair_columns);
        if (!cells || (*cells)[0] >= image_count || (*cells)[1] >= image_count)
        {
            reason = bad_row("learned.pairs");
            return std::nullopt;
        }
        result.pairs.push_back({images[static_cast<std::size_t>((*cells)[0])],
                                images[static_cast<std::size_t>((*cells)[1])],
                                from_hundredths((*cells)[2]),
                                from_hundredths((*cells)[3])});
    }
    return result;
}

} // namespace fuchsia::core::pool
