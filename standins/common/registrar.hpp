#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

namespace fuchsia::standins
{

/// One instance as the platform's catalog takes it.
struct instance_registration
{
    std::string id;
    std::string name;
    ports::endpoint endpoint;
    std::string data_centre;
    std::vector<ports::header> meta;
};

/// Registers the instances of a stand-in with the platform's, each once in
/// every interval, spread over it.
class registrar
{
public:
    using source = std::function<instance_registration(std::size_t)>;

    /// `describe(n)` tells what to register of instance n, below `count`.
    registrar(boost::asio::io_context& io,
              ports::endpoint platform,
              core::common::duration interval,
              std::size_t count,
              source describe);

    void start();
    void stop();

private:
    void next();

    ports::endpoint platform_;
    core::common::duration step_;
    std::size_t count_;
    source describe_;
    std::size_t turn_ = 0;
    adapters::http::client client_;
    adapters::runtime::timer timer_;
};

} // namespace fuchsia::standins
