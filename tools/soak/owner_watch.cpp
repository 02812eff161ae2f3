#include "tools/soak/owner_watch.hpp"

#include <fstream>
#include <sstream>

namespace fuchsia::tools::soak
{

namespace
{

using core::common::time_point;

constexpr core::common::duration interval = std::chrono::milliseconds(100);

bool has_event(std::string_view line, std::string_view name)
{
    return line.find(" " + std::string(name) + " ") != std::string_view::npos;
}

} // namespace

void owner_log_reader::read(std::string_view text)
{
    incomplete_line_ += text;
    std::size_t begin = 0;
    for (auto end = incomplete_line_.find('\n'); end != std::string::npos;
         end = incomplete_line_.find('\n', begin))
    {
        auto const line =
            std::string_view(incomplete_line_).substr(begin, end - begin);
        working_ = has_event(line, "takeover_settled") ||
                   (working_ && !has_event(line, "owner_ended"));
        begin = end + 1;
    }
    incomplete_line_.erase(0, begin);
}

void owner_log_reader::restart() noexcept
{
    incomplete_line_.clear();
    working_ = false;
}

bool owner_log_reader::working() const noexcept
{
    return working_;
}

owner_watch::owner_watch(instance_group& instances, observation_log& out)
    : instances_(instances), out_(out), followed_(instances.size())
{
}

void owner_watch::advance(time_point now)
{
    if (now < next_at_)
    {
        return;
    }
    next_at_ = now + interval;
    for (std::size_t number = 0; number < followed_.size(); ++number)
    {
        follow(number);
    }
    begun_ = true;
}

// A process stays down for longer than the interval, so that its whole log is
// read before the next one adds to it.
void owner_watch::follow(std::size_t number)
{
    auto& instance = followed_[number];
    auto const text = read_new_text(number);
    bool const again = instance.incarnation != instances_.incarnation(number);
    instance.incarnation = instances_.incarnation(number);
    if (again && begun_)
    {
        instance.log.restart();
    }
    instance.log.read(text);
    if (instances_.has_exited(number))
    {
        instance.log.restart();
    }
    bool const working = instance.log.working();
    if (working != instance.recorded || !begun_)
    {
        instance.recorded = working;
        out_.append(working_owner_seen{instances_.name(number), working});
    }
}

std::string owner_watch::read_new_text(std::size_t number)
{
    auto& instance = followed_[number];
    std::ifstream in(instances_.log_path(number));
    in.seekg(instance.read_to);
    std::ostringstream text;
    text << in.rdbuf();
    auto result = text.str();
    instance.read_to += static_cast<std::streamoff>(result.size());
    return result;
}

} // namespace fuchsia::tools::soak
