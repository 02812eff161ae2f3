#include "tools/load/balancer.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{
constexpr std::uint16_t ok = 200;
constexpr core::common::duration check_timeout = std::chrono::seconds(1);
} // namespace

balancer::balancer(boost::asio::io_context& io,
                   std::vector<ports::endpoint> targets,
                   core::common::duration interval,
                   core::common::duration lag)
    : io_(io), interval_(interval), lag_(lag), client_(io, {}), timer_(io)
{
    for (auto& where : targets)
    {
        targets_.push_back({std::move(where), false, false});
    }
}

void balancer::start()
{
    check_all();
}

void balancer::stop()
{
    timer_.cancel();
    client_.close();
}

void balancer::check_all()
{
    for (std::size_t number = 0; number < targets_.size(); ++number)
    {
        adapters::http::client_call call;
        call.remote_endpoint = targets_[number].where;
        call.message.method = "GET";
        call.message.target = "/readyz";
        call.timeout = check_timeout;
        client_.send(std::move(call),
                     [this, number](ports::exchange_status status,
                                    adapters::http::response const& answer)
                     {
                         see(number,
                             status == ports::exchange_status::answered &&
                                 answer.status == ok);
                     });
    }
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                check_all();
            }
        });
}

void balancer::see(std::size_t number, bool ready)
{
    auto& seen = targets_[number];
    if (!seen.checked)
    {
        seen.checked = true;
        seen.ready = ready;
        return;
    }
    auto const later = std::make_shared<adapters::runtime::timer>(io_, lag_);
    later->async_wait(
        [this, later, number, ready](auto error)
        {
            if (!error)
            {
                targets_[number].ready = ready;
            }
        });
}

bool balancer::checked_all() const noexcept
{
    return std::all_of(targets_.begin(),
                       targets_.end(),
                       [](target const& each)
                       {
                           return each.checked;
                       });
}

std::size_t balancer::pick(std::optional<std::size_t> not_this)
{
    for (std::size_t tried = 0; tried < targets_.size(); ++tried)
    {
        turn_ = (turn_ + 1) % targets_.size();
        if (targets_[turn_].ready && turn_ != not_this)
        {
            return turn_;
        }
    }
    turn_ = (turn_ + 1) % targets_.size();
    return turn_;
}

ports::endpoint const& balancer::at(std::size_t target) const
{
    return targets_[target].where;
}

std::size_t balancer::size() const noexcept
{
    return targets_.size();
}

std::size_t balancer::ready() const noexcept
{
    return static_cast<std::size_t>(std::count_if(targets_.begin(),
                                                  targets_.end(),
                                                  [](target const& each)
                                                  {
                                                      return each.ready;
                                                  }));
}

} // namespace fuchsia::tools::load
