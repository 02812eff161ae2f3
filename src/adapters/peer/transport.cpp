#include "adapters/peer/transport.hpp"

#include "adapters/http/message.hpp"
#include "adapters/runtime/acceptor.hpp"
#include "adapters/runtime/timer.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <list>
#include <map>
#include <utility>

namespace fuchsia::adapters::peer
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using core::common::result_code;
using tcp = asio::ip::tcp;

// Delay before the next attempt after a failed connection. Without it, an
// unreachable peer would cost a connection attempt for each message.
constexpr core::common::duration reconnect_delay =
    std::chrono::milliseconds(200);

// Maximum size of the first frame of a connection without its token: two names
// and the offsets of the format.
constexpr std::size_t first_frame_overhead_bytes = 4096;

// Maximum size of the buffer that a connection keeps between two frames.
constexpr std::size_t max_kept_bytes = 64 * 1024;

bool matches(asio::ip::address const& address, std::string const& rule)
{
    error_code error;
    if (rule.find('/') == std::string::npos)
    {
        return asio::ip::make_address(rule, error) == address && !error;
    }
    if (address.is_v4())
    {
        auto const network = asio::ip::make_network_v4(rule, error);
        return !error && asio::ip::make_network_v4(address.to_v4(),
                                                   network.prefix_length())
                                 .network() == network.network();
    }
    auto const network = asio::ip::make_network_v6(rule, error);
    return !error &&
           asio::ip::make_network_v6(address.to_v6(), network.prefix_length())
                   .network() == network.network();
}

} // namespace

class transport::state : public std::enable_shared_from_this<transport::state>
{
public:
    state(asio::io_context& io, transport_settings settings, handler handle)
        : io_(io), acceptor_(io), settings_(std::move(settings)),
          handle_(std::move(handle))
    {
    }

    std::optional<ports::endpoint> listen(ports::endpoint const& local_endpoint,
                                          core::common::failure& reason);
    void send(ports::peer_send message);
    void reset();
    void rename(ports::member_identity self);
    void close();

    transport_counts counts;

private:
    class inbound;
    class outbound;

    void accept();
    void add_inbound(tcp::socket socket);
    bool is_allowed(asio::ip::address const& address) const;

    asio::io_context& io_;
    runtime::acceptor acceptor_;
    transport_settings settings_;
    handler handle_;
    std::list<std::weak_ptr<inbound>> inbound_;
    std::uint32_t open_inbound_ = 0;
    std::map<ports::endpoint, std::shared_ptr<outbound>> outbound_;
    bool closed_ = false;
};

// A connection that was opened by a peer. It is only read from.
class transport::state::inbound : public std::enable_shared_from_this<inbound>
{
public:
    inbound(tcp::socket socket, std::shared_ptr<state> owner)
        : socket_(std::move(socket)), deadline_(owner->io_),
          owner_(std::move(owner))
    {
        ++owner_->open_inbound_;
    }

    ~inbound()
    {
        --owner_->open_inbound_;
    }

    void start()
    {
        deadline_.expires_after(owner_->settings_.first_frame_timeout);
        deadline_.async_wait(
            [weak = weak_from_this()](error_code error)
            {
                auto const self = weak.lock();
                if (!error && self && !self->authenticated_ && !self->closed_)
                {
                    self->refuse();
                }
            });
        read_length();
    }

    void close()
    {
        closed_ = true;
        error_code ignored;
        deadline_.cancel();
        socket_.close(ignored);
    }

private:
    void read_length()
    {
        asio::async_read(
            socket_,
            asio::buffer(length_),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error || self->closed_)
                {
                    return;
                }
                self->read_body();
            });
    }

    void read_body()
    {
        std::uint32_t size = 0;
        for (std::size_t index = 0; index < length_size; ++index)
        {
            size |= static_cast<std::uint32_t>(length_[index]) << (8 * index);
        }
        if (size == 0 || size > max_size())
        {
            refuse();
            return;
        }
        body_.resize(size);
        asio::async_read(
            socket_,
            asio::buffer(body_),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error || self->closed_)
                {
                    return;
                }
                self->on_frame();
            });
    }

    // The first frame identifies the peer. Until it has arrived, anyone may be
    // at the other end, and gets no memory for a large frame.
    std::size_t max_size() const noexcept
    {
        return authenticated_ ? max_frame_bytes
                              : owner_->settings_.token.size() +
                                    first_frame_overhead_bytes;
    }

    void on_frame()
    {
        owner_->counts.bytes_received += body_.size() + length_size;
        core::common::failure reason;
        auto frame = decode(body_, reason);
        if (body_.capacity() > max_kept_bytes)
        {
            body_ = std::vector<std::uint8_t>();
        }
        if (!frame || !accepts(*frame))
        {
            refuse();
            return;
        }
        if (frame->message)
        {
            ++owner_->counts.received;
            if (!owner_->handle_(
                    {std::move(frame->from), std::move(*frame->message)}))
            {
                ++owner_->counts.dropped;
                close();
                return;
            }
        }
        read_length();
    }

    // Returns whether the frame is addressed to this incarnation and comes from
    // an authenticated peer. A request to an earlier incarnation of this
    // process is no longer valid.
    bool accepts(frame const& frame)
    {
        if (frame.to != owner_->settings_.self)
        {
            return false;
        }
        if (authenticated_)
        {
            return frame.from == peer_;
        }
        authenticated_ =
            http::equal_in_constant_time(frame.token, owner_->settings_.token);
        peer_ = frame.from;
        if (authenticated_)
        {
            deadline_.cancel();
        }
        return authenticated_;
    }

    void refuse()
    {
        ++owner_->counts.refused;
        close();
    }

    tcp::socket socket_;
    runtime::timer deadline_; ///< Ends the wait for the first frame.
    std::shared_ptr<state> owner_;
    std::array<std::uint8_t, length_size> length_{};
    std::vector<std::uint8_t> body_;
    ports::member_identity peer_;
    bool authenticated_ = false;
    bool closed_ = false;
};

// The connection to one peer. It is only written to. Any failure closes it, and
// the next message opens a new connection. After a failed connection attempt,
// messages are dropped until the reconnect delay has passed.
class transport::state::outbound : public std::enable_shared_from_this<outbound>
{
public:
    outbound(std::shared_ptr<state> owner,
             ports::endpoint remote_endpoint,
             ports::member_identity peer)
        : socket_(owner->io_), deadline_(owner->io_), owner_(std::move(owner)),
          remote_endpoint_(std::move(remote_endpoint)), peer_(std::move(peer))
    {
    }

    ports::member_identity const& peer() const noexcept
    {
        return peer_;
    }

    void start()
    {
        push(encode({owner_->settings_.self,
                     peer_,
                     owner_->settings_.token,
                     std::nullopt}));
        error_code error;
        auto const address =
            asio::ip::make_address(remote_endpoint_.address, error);
        if (error)
        {
            start_backoff();
            return;
        }
        arm(owner_->settings_.connect_timeout);
        socket_.async_connect({address, remote_endpoint_.port},
                              [self = shared_from_this()](error_code failed)
                              {
                                  if (self->closed_)
                                  {
                                      return;
                                  }
                                  if (failed)
                                  {
                                      self->start_backoff();
                                      return;
                                  }
                                  error_code ignored;
                                  self->socket_.set_option(tcp::no_delay(true),
                                                           ignored);
                                  self->deadline_.cancel();
                                  self->connected_ = true;
                                  self->watch_for_close();
                                  self->write();
                              });
    }

    void send(ports::peer_message message)
    {
        auto bytes =
            encode({owner_->settings_.self, peer_, {}, std::move(message)});
        bool const fits =
            queued_bytes_ + bytes.size() <= owner_->settings_.queue_bytes;
        if (backing_off_ || !fits ||
            bytes.size() > max_frame_bytes + length_size)
        {
            ++owner_->counts.dropped;
            return;
        }
        push(std::move(bytes));
        if (connected_ && !writing_)
        {
            write();
        }
    }

    void close()
    {
        closed_ = true;
        error_code ignored;
        deadline_.cancel();
        socket_.close(ignored);
    }

private:
    void push(std::vector<std::uint8_t> bytes)
    {
        queued_bytes_ += bytes.size();
        queue_.push_back(std::move(bytes));
    }

    void arm(core::common::duration delay)
    {
        deadline_.expires_after(delay);
        deadline_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (error || self->closed_)
                {
                    return;
                }
                if (self->backing_off_)
                {
                    self->fail();
                    return;
                }
                self->start_backoff();
            });
    }

    // The peer never writes to this connection, so it becomes readable only
    // when it ends. Detecting the end here keeps the next message from being
    // written to a closed connection.
    void watch_for_close()
    {
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this()](error_code)
                           {
                               if (!self->closed_)
                               {
                                   self->fail();
                               }
                           });
    }

    void write()
    {
        writing_ = true;
        asio::async_write(
            socket_,
            asio::buffer(queue_.front()),
            [self = shared_from_this()](error_code error, std::size_t size)
            {
                self->on_written(error, size);
            });
    }

    void on_written(error_code error, std::size_t size)
    {
        writing_ = false;
        if (closed_)
        {
            return;
        }
        if (error)
        {
            fail();
            return;
        }
        ++owner_->counts.sent;
        owner_->counts.bytes_sent += size;
        queued_bytes_ -= queue_.front().size();
        queue_.pop_front();
        if (!queue_.empty())
        {
            write();
        }
    }

    // Drops the queue and stays in `outbound_` without a socket until the
    // reconnect delay has passed.
    void start_backoff()
    {
        owner_->counts.dropped += queue_.size() - 1;
        queue_.clear();
        queued_bytes_ = 0;
        backing_off_ = true;
        error_code ignored;
        socket_.close(ignored);
        arm(reconnect_delay);
    }

    void fail()
    {
        owner_->counts.dropped += queue_.size();
        auto const self = shared_from_this();
        close();
        auto const it = owner_->outbound_.find(remote_endpoint_);
        if (it != owner_->outbound_.end() && it->second == self)
        {
            owner_->outbound_.erase(it);
        }
    }

    tcp::socket socket_;
    runtime::timer deadline_;
    std::shared_ptr<state> owner_;
    ports::endpoint remote_endpoint_;
    ports::member_identity peer_;
    std::deque<std::vector<std::uint8_t>> queue_;
    std::size_t queued_bytes_ = 0;
    bool connected_ = false;
    bool writing_ = false;
    bool backing_off_ = false;
    bool closed_ = false;
};

std::optional<ports::endpoint>
transport::state::listen(ports::endpoint const& local_endpoint,
                         core::common::failure& reason)
{
    auto bound = acceptor_.listen(local_endpoint, reason);
    if (bound)
    {
        accept();
    }
    return bound;
}

void transport::state::accept()
{
    acceptor_.accept_next(
        [self = shared_from_this()](tcp::socket socket)
        {
            self->add_inbound(std::move(socket));
            self->accept();
        });
}

void transport::state::add_inbound(tcp::socket socket)
{
    error_code error;
    auto const peer = socket.remote_endpoint(error);
    if (error || open_inbound_ >= settings_.connections ||
        !is_allowed(peer.address()))
    {
        ++counts.refused;
        return;
    }
    auto const connection =
        std::make_shared<inbound>(std::move(socket), shared_from_this());
    inbound_.remove_if(
        [](auto const& weak)
        {
            return weak.expired();
        });
    inbound_.push_back(connection);
    connection->start();
}

bool transport::state::is_allowed(asio::ip::address const& address) const
{
    for (auto const& rule : settings_.allowed)
    {
        if (matches(address, rule))
        {
            return true;
        }
    }
    return false;
}

void transport::state::send(ports::peer_send message)
{
    if (closed_)
    {
        return;
    }
    auto& connection = outbound_[message.remote_endpoint];
    if (connection && connection->peer() != message.to)
    {
        connection->close();
        connection.reset();
    }
    if (!connection)
    {
        connection = std::make_shared<outbound>(
            shared_from_this(), message.remote_endpoint, message.to);
        connection->start();
    }
    connection->send(std::move(message.message));
}

void transport::state::reset()
{
    auto const outbound = std::exchange(outbound_, {});
    for (auto const& [endpoint, connection] : outbound)
    {
        connection->close();
    }
    for (auto const& weak : inbound_)
    {
        if (auto const connection = weak.lock())
        {
            connection->close();
        }
    }
    inbound_.clear();
}

void transport::state::rename(ports::member_identity self)
{
    reset();
    settings_.self = std::move(self);
}

void transport::state::close()
{
    closed_ = true;
    acceptor_.close();
    reset();
}

transport::transport(asio::io_context& io,
                     transport_settings settings,
                     handler handle)
    : state_(
          std::make_shared<state>(io, std::move(settings), std::move(handle)))
{
}

transport::~transport()
{
    state_->close();
}

std::optional<ports::endpoint>
transport::listen(ports::endpoint const& local_endpoint,
                  core::common::failure& reason)
{
    return state_->listen(local_endpoint, reason);
}

void transport::send(ports::peer_send message)
{
    state_->send(std::move(message));
}

void transport::reset()
{
    state_->reset();
}

void transport::rename(ports::member_identity self)
{
    state_->rename(std::move(self));
}

void transport::close()
{
    state_->close();
}

transport_counts const& transport::counts() const noexcept
{
    return state_->counts;
}

} // namespace fuchsia::adapters::peer
