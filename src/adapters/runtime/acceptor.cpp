#include "adapters/runtime/acceptor.hpp"

#include <utility>

namespace fuchsia::adapters::runtime
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// After a failed accept (such as: no file descriptor left) the next try waits,
// since an immediate one would fail again and take the whole thread.
constexpr core::common::duration accept_pause = std::chrono::milliseconds(50);

} // namespace

acceptor::acceptor(asio::io_context& io) : socket_(io), retry_(io)
{
}

std::optional<ports::endpoint> acceptor::listen(ports::endpoint const& where,
                                                core::common::failure& reason)
{
    error_code error;
    auto const address = asio::ip::make_address(where.address, error);
    tcp::endpoint const target(address, where.port);
    if (!error)
    {
        socket_.open(target.protocol(), error);
    }
    if (!error)
    {
        socket_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error)
    {
        socket_.bind(target, error);
    }
    if (!error)
    {
        socket_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        reason = {core::common::result_code::out_of_range,
                  where.address + " port " + std::to_string(where.port),
                  "can't listen: " + error.message()};
        return std::nullopt;
    }
    return ports::endpoint{where.address, socket_.local_endpoint().port()};
}

void acceptor::accept_next(handler take)
{
    socket_.async_accept(
        [this, take = std::move(take)](error_code error, tcp::socket socket)
        {
            if (closed_ || error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                take(std::move(socket));
                return;
            }
            retry_.expires_after(accept_pause);
            retry_.async_wait(
                [this, take](error_code stopped)
                {
                    if (!stopped)
                    {
                        accept_next(take);
                    }
                });
        });
}

void acceptor::close()
{
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    retry_.cancel();
}

} // namespace fuchsia::adapters::runtime
