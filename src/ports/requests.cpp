#include "ports/requests.hpp"

#include <array>

namespace fuchsia::ports
{

namespace
{
constexpr std::array<std::string_view, 2> request_class_names{
    "latency-critical", "batch"};
}

std::string_view name_of(request_class value) noexcept
{
    return request_class_names[static_cast<std::size_t>(value)];
}

std::optional<request_class> request_class_from(std::string_view name) noexcept
{
    for (auto value : {request_class::latency_critical, request_class::batch})
    {
        if (name_of(value) == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace fuchsia::ports
