#include "adapters/runtime/listen.hpp"

namespace fuchsia::adapters::runtime
{

namespace asio = boost::asio;

std::optional<ports::endpoint> open_acceptor(asio::ip::tcp::acceptor& acceptor,
                                             ports::endpoint const& where,
                                             core::common::failure& reason)
{
    boost::system::error_code error;
    auto const address = asio::ip::make_address(where.address, error);
    asio::ip::tcp::endpoint const target(address, where.port);
    if (!error)
    {
        acceptor.open(target.protocol(), error);
    }
    if (!error)
    {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error)
    {
        acceptor.bind(target, error);
    }
    if (!error)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        reason = {core::common::result_code::out_of_range,
                  where.address + " port " + std::to_string(where.port),
                  "can't listen: " + error.message()};
        return std::nullopt;
    }
    return ports::endpoint{where.address, acceptor.local_endpoint().port()};
}

} // namespace fuchsia::adapters::runtime
