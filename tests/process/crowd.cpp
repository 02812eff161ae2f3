#include "process/crowd.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace fuchsia::tests::process
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

/// Time without any progress after which a crowd stops trying to send.
constexpr auto quiet_time = 2s;
/// Time after which a crowd stops trying to send in any case.
constexpr auto send_limit = 60s;
/// Receive buffer of a client that doesn't read.
constexpr int unread_buffer_bytes = 4096;

} // namespace

class crowd::client : public std::enable_shared_from_this<client>
{
public:
    client(asio::io_context& io, client_script const& script)
        : socket_(io), script_(script)
    {
    }

    void start(tcp::endpoint const& server)
    {
        error_code ignored;
        socket_.open(server.protocol(), ignored);
        if (!script_.reads)
        {
            socket_.set_option(
                asio::socket_base::receive_buffer_size(unread_buffer_bytes),
                ignored);
        }
        socket_.async_connect(server,
                              [self = shared_from_this()](error_code error)
                              {
                                  self->on_connected(error);
                              });
    }

    void close()
    {
        error_code ignored;
        socket_.close(ignored);
    }

    std::size_t sent_bytes() const noexcept
    {
        return sent_bytes_;
    }

    bool ended() const noexcept
    {
        return ended_;
    }

private:
    void on_connected(error_code error)
    {
        if (error)
        {
            ended_ = true;
            return;
        }
        if (script_.reads)
        {
            read();
        }
        send(script_.opening);
    }

    void send(std::string const& text)
    {
        asio::async_write(
            socket_,
            asio::buffer(text),
            [self = shared_from_this()](error_code error, std::size_t bytes)
            {
                self->on_sent(error, bytes);
            });
    }

    void on_sent(error_code error, std::size_t bytes)
    {
        sent_bytes_ += bytes;
        if (error || script_.repeats == 0)
        {
            ended_ = true;
            return;
        }
        --script_.repeats;
        send(script_.repeated);
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(received_),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error)
                {
                    self->ended_ = true;
                    return;
                }
                self->read();
            });
    }

    tcp::socket socket_;
    client_script script_;
    std::array<char, 4096> received_{};
    std::size_t sent_bytes_ = 0;
    bool ended_ = false;
};

crowd::crowd(ports::endpoint const& server,
             std::size_t clients,
             client_script const& script)
{
    tcp::endpoint const address(asio::ip::make_address(server.address),
                                server.port);
    for (std::size_t number = 0; number < clients; ++number)
    {
        clients_.push_back(std::make_shared<client>(io_, script));
        clients_.back()->start(address);
    }
}

crowd::~crowd()
{
    for (auto const& client : clients_)
    {
        client->close();
    }
    io_.poll();
}

void crowd::send()
{
    using clock = std::chrono::steady_clock;
    auto const deadline = clock::now() + send_limit;
    auto last_progress = clock::now();
    auto sent = progress();
    while (!all_ended() && clock::now() < deadline &&
           clock::now() < last_progress + quiet_time)
    {
        io_.run_for(20ms);
        if (progress() != sent)
        {
            sent = progress();
            last_progress = clock::now();
        }
    }
}

std::size_t crowd::progress() const
{
    std::size_t result = 0;
    for (auto const& client : clients_)
    {
        result += client->sent_bytes();
    }
    return result;
}

bool crowd::all_ended() const
{
    for (auto const& client : clients_)
    {
        if (!client->ended())
        {
            return false;
        }
    }
    return true;
}

} // namespace fuchsia::tests::process
