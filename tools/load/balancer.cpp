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
    for (auto& address : targets)
    {
        targets_.push_back({std::move(address), false, false});
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
    for (std::size_t index = 0; index < targets_.size(); ++index)
    {
        adapters::http::client_call call;
        call.remote_endpoint = targets_[index].address;
        call.message.method = "GET";
        call.message.target = "/readyz";
        call.timeout = check_timeout;
        client_.send(std::move(call),
                     [this, index](ports::exchange_status status,
                                   adapters::http::response const& answer)
                     {
                         record_check(
                             index,
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

void balancer::record_check(std::size_t index, bool ready)
{
    auto& current = targets_[index];
    if (!current.checked)
    {
        current.checked = true;
        current.ready = ready;
        return;
    }
    auto const delay_timer =
        std::make_shared<adapters::runtime::timer>(io_, lag_);
    delay_timer->async_wait(
        [this, delay_timer, index, ready](auto error)
        {
            if (!error)
            {
                targets_[index].ready = ready;
            }
        });
}

bool balancer::checked_all() const noexcept
{
    return std::all_of(targets_.begin(),
                       targets_.end(),
                       [](target const& t)
                       {
                           return t.checked;
                       });
}

std::size_t balancer::pick(std::optional<std::size_t> excluded)
{
    for (std::size_t tried = 0; tried < targets_.size(); ++tried)
    {
        last_picked_ = (last_picked_ + 1) % targets_.size();
        if (targets_[last_picked_].ready && last_picked_ != excluded)
        {
            return last_picked_;
        }
    }
    last_picked_ = (last_picked_ + 1) % targets_.size();
    return last_picked_;
}

ports::endpoint const& balancer::at(std::size_t target) const
{
    return targets_[target].address;
}

std::size_t balancer::size() const noexcept
{
    return targets_.size();
}

std::size_t balancer::ready() const noexcept
{
    return static_cast<std::size_t>(std::count_if(targets_.begin(),
                                                  targets_.end(),
                                                  [](target const& t)
                                                  {
                                                      return t.ready;
                                                  }));
}

} // namespace fuchsia::tools::load
