#include "standins/common/registrar.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace fuchsia::standins
{

namespace
{
constexpr core::common::duration call_timeout = std::chrono::seconds(1);
} // namespace

registrar::registrar(boost::asio::io_context& io,
                     ports::endpoint platform,
                     core::common::duration interval,
                     std::size_t count,
                     source describe)
    : platform_(std::move(platform)),
      spacing_(interval /
               static_cast<std::int64_t>(std::max<std::size_t>(1, count))),
      count_(count), describe_(std::move(describe)), client_(io, {}), timer_(io)
{
}

void registrar::start()
{
    if (count_ > 0)
    {
        register_next();
    }
}

void registrar::stop()
{
    timer_.cancel();
    client_.close();
}

void registrar::register_next()
{
    auto const registration = describe_(next_instance_);
    next_instance_ = (next_instance_ + 1) % count_;
    boost::json::object meta;
    for (auto const& [name, value] : registration.meta)
    {
        meta[name] = value;
    }
    adapters::http::client_call call;
    call.remote_endpoint = platform_;
    call.timeout = call_timeout;
    call.message.method = "PUT";
    call.message.target = "/v1/agent/service/register";
    call.message.body = boost::json::serialize(
        boost::json::object{{"ID", registration.id},
                            {"Name", registration.name},
                            {"Address", registration.endpoint.address},
                            {"Port", registration.endpoint.port},
                            {"Datacenter", registration.data_centre},
                            {"Meta", std::move(meta)}});
    // The response is ignored: a lost registration is repeated in the next
    // interval.
    client_.send(
        std::move(call),
        [](ports::exchange_status, adapters::http::response const&) {});
    timer_.expires_after(spacing_);
    timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                register_next();
            }
        });
}

} // namespace fuchsia::standins
