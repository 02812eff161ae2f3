#include "standins/links/relay.hpp"

#include "adapters/http/message.hpp"
#include "adapters/runtime/timer.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

namespace fuchsia::standins::links
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using core::common::clock;
using core::common::result_code;
using error_code = boost::system::error_code;

constexpr std::size_t chunk_bytes = 16 * 1024;
constexpr core::common::duration connect_retry_interval =
    std::chrono::milliseconds(20);

struct cut_row
{
    cut_state state;
    std::string_view name;
};

constexpr std::array<cut_row, 4> cut_table{{
    {cut_state::none, "none"},
    {cut_state::both, "both"},
    {cut_state::forward, "forward"},
    {cut_state::backward, "backward"},
}};

} // namespace

std::optional<cut_state> cut_state_from(std::string_view name) noexcept
{
    for (auto const& row : cut_table)
    {
        if (row.name == name)
        {
            return row.state;
        }
    }
    return std::nullopt;
}

// Transfers bytes in one direction: reads chunks, delays each one and writes
// them in order. An empty chunk stands for the end of the stream.
class relay::direction
{
public:
    direction(std::shared_ptr<relay> owner,
              cut_state blocking_cut,
              tcp::socket& source,
              tcp::socket& destination)
        : owner_(std::move(owner)), blocking_cut_(blocking_cut),
          source_(source), destination_(destination), timer_(owner_->io_)
    {
    }

    // `lifetime_guard` keeps the connection that owns this direction alive.
    void read(std::shared_ptr<void> const& lifetime_guard)
    {
        if (reading_ || end_of_stream_ || queued_bytes_ >= limit())
        {
            return;
        }
        reading_ = true;
        auto buffer = std::make_shared<std::string>(chunk_bytes, '\0');
        source_.async_read_some(
            asio::buffer(*buffer),
            [this, lifetime_guard, buffer](error_code error, std::size_t count)
            {
                reading_ = false;
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                end_of_stream_ = static_cast<bool>(error);
                buffer->resize(error ? 0 : count);
                queued_bytes_ += buffer->size();
                queue_.push_back({clock::now() + owner_->settings_.delay,
                                  std::move(*buffer)});
                pump(lifetime_guard);
                read(lifetime_guard);
            });
    }

    void pump(std::shared_ptr<void> const& lifetime_guard)
    {
        if (writing_ || queue_.empty() || is_cut())
        {
            return;
        }
        auto const due = queue_.front().due;
        if (due > clock::now())
        {
            timer_.expires_at(due);
            timer_.async_wait(
                [this, lifetime_guard](error_code error)
                {
                    if (!error)
                    {
                        pump(lifetime_guard);
                    }
                });
            return;
        }
        if (queue_.front().bytes.empty())
        {
            queue_.pop_front();
            error_code ignored;
            destination_.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        write(lifetime_guard);
    }

    void cancel()
    {
        timer_.cancel();
        queue_.clear();
    }

private:
    struct chunk
    {
        core::common::time_point due{};
        std::string bytes;
    };

    std::size_t limit() const
    {
        return owner_->settings_.buffer_bytes;
    }

    bool is_cut() const
    {
        return owner_->cut_ == cut_state::both || owner_->cut_ == blocking_cut_;
    }

    void write(std::shared_ptr<void> const& lifetime_guard)
    {
        writing_ = true;
        auto const chunk =
            std::make_shared<std::string>(std::move(queue_.front().bytes));
        queue_.pop_front();
        asio::async_write(
            destination_,
            asio::buffer(*chunk),
            [this, lifetime_guard, chunk](error_code error, std::size_t count)
            {
                writing_ = false;
                owner_->counters_.bytes += count;
                queued_bytes_ -= chunk->size();
                if (error)
                {
                    error_code ignored;
                    source_.close(ignored);
                    destination_.close(ignored);
                    return;
                }
                pump(lifetime_guard);
                read(lifetime_guard);
            });
    }

    std::shared_ptr<relay> owner_;
    cut_state blocking_cut_;
    tcp::socket& source_;
    tcp::socket& destination_;
    adapters::runtime::timer timer_;
    std::deque<chunk> queue_;
    std::size_t queued_bytes_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool end_of_stream_ = false;
};

class relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket client, std::shared_ptr<relay> const& owner)
        : owner_(owner), client_(std::move(client)), server_(owner->io_),
          retry_timer_(owner->io_),
          forward_(owner, cut_state::forward, client_, server_),
          backward_(owner, cut_state::backward, server_, client_)
    {
        error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        ++owner_->open_connections_;
        ++owner_->counters_.connections;
    }

    ~connection()
    {
        --owner_->open_connections_;
    }

    // A cut in either direction also blocks the TCP handshake, so the
    // connection attempt is retried until the link is no longer cut.
    void connect()
    {
        if (owner_->cut_ != cut_state::none)
        {
            retry_timer_.expires_after(connect_retry_interval);
            retry_timer_.async_wait(
                [self = shared_from_this()](error_code error)
                {
                    if (!error)
                    {
                        self->connect();
                    }
                });
            return;
        }
        error_code malformed;
        auto const& target = owner_->settings_.target;
        auto const address = asio::ip::make_address(target.address, malformed);
        server_.async_connect({address, target.port},
                              [self = shared_from_this()](error_code error)
                              {
                                  self->on_connect(error);
                              });
    }

    void pump()
    {
        forward_.pump(shared_from_this());
        backward_.pump(shared_from_this());
    }

    void close()
    {
        error_code ignored;
        retry_timer_.cancel();
        forward_.cancel();
        backward_.cancel();
        client_.close(ignored);
        server_.close(ignored);
    }

private:
    void on_connect(error_code error)
    {
        if (error || !client_.is_open())
        {
            close();
            return;
        }
        error_code ignored;
        server_.set_option(tcp::no_delay(true), ignored);
        forward_.read(shared_from_this());
        backward_.read(shared_from_this());
    }

    std::shared_ptr<relay> owner_;
    tcp::socket client_;
    tcp::socket server_;
    adapters::runtime::timer retry_timer_;
    direction forward_;
    direction backward_;
};

relay::relay(asio::io_context& io, link_settings settings)
    : io_(io), settings_(std::move(settings)), acceptor_(io)
{
}

relay::~relay() = default;

std::optional<ports::endpoint> relay::listen(core::common::failure& reason)
{
    auto bound = acceptor_.listen(settings_.listen, reason);
    if (bound)
    {
        accept();
    }
    return bound;
}

void relay::accept()
{
    acceptor_.accept_next(
        [self = shared_from_this()](tcp::socket socket)
        {
            if (self->open_connections_ < self->settings_.connections)
            {
                auto const accepted =
                    std::make_shared<connection>(std::move(socket), self);
                std::erase_if(self->connections_,
                              [](auto const& weak)
                              {
                                  return weak.expired();
                              });
                self->connections_.push_back(accepted);
                accepted->connect();
            }
            else
            {
                ++self->counters_.refused;
            }
            self->accept();
        });
}

void relay::set_delay(core::common::duration delay)
{
    settings_.delay = delay;
}

void relay::set_cut(cut_state cut)
{
    cut_ = cut;
    for (auto const& weak : connections_)
    {
        if (auto const active = weak.lock())
        {
            active->pump();
        }
    }
}

void relay::reset()
{
    ++counters_.resets;
    for (auto const& weak : std::exchange(connections_, {}))
    {
        if (auto const active = weak.lock())
        {
            active->close();
        }
    }
}

void relay::close()
{
    acceptor_.close();
    reset();
}

std::string const& relay::name() const noexcept
{
    return settings_.name;
}

link_counters const& relay::counters() const noexcept
{
    return counters_;
}

} // namespace fuchsia::standins::links
