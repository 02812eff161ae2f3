#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

namespace fuchsia::standins
{

/// Registration of one instance in the platform's service catalog.
struct instance_registration
{
    std::string id;
    std::string name;
    ports::endpoint endpoint;
    std::string data_centre;
    std::vector<ports::header> meta;
};

/// Registers the instances of a stand-in with the stand-in platform, again and
/// again until `stop`. Each instance is registered once per interval, and the
/// calls are spread evenly over the interval.
class registrar
{
public:
    using source = std::function<instance_registration(std::size_t)>;

    /// `describe(n)` returns the registration of instance n, for n below
    /// `count`.
    registrar(boost::asio::io_context& io,
              ports::endpoint platform,
              core::common::duration interval,
              std::size_t count,
              source describe);

    void start();
    void stop();

private:
    void register_next();

    ports::endpoint platform_;
    core::common::duration spacing_; ///< Time between two registrations.
    std::size_t count_;
    source describe_;
    std::size_t next_instance_ = 0;
    adapters::http::client client_;
    adapters::runtime::timer timer_;
};

} // namespace fuchsia::standins
