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
constexpr core::common::duration connect_retry = std::chrono::milliseconds(20);

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

// Carries bytes one way: reads chunks, lets each wait for its time, writes
// them in order. The end of the stream travels as an empty chunk.
class relay::direction
{
public:
    direction(std::shared_ptr<relay> owner,
              cut_state own_cut,
              tcp::socket& from,
              tcp::socket& to)
        : owner_(std::move(owner)), own_cut_(own_cut), from_(from), to_(to),
          timer_(owner_->io_)
    {
    }

    // `keep` is the connection that this belongs to.
    void read(std::shared_ptr<void> const& keep)
    {
        if (reading_ || ended_ || waiting_bytes_ >= limit())
        {
            return;
        }
        reading_ = true;
        auto buffer = std::make_shared<std::string>(chunk_bytes, '\0');
        from_.async_read_some(
            asio::buffer(*buffer),
            [this, keep, buffer](error_code error, std::size_t count)
            {
                reading_ = false;
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                ended_ = static_cast<bool>(error);
                buffer->resize(error ? 0 : count);
                waiting_bytes_ += buffer->size();
                waiting_.push_back({clock::now() + owner_->settings_.delay,
                                    std::move(*buffer)});
                pump(keep);
                read(keep);
            });
    }

    void pump(std::shared_ptr<void> const& keep)
    {
        if (writing_ || waiting_.empty() || is_cut())
        {
            return;
        }
        auto const due = waiting_.front().due;
        if (due > clock::now())
        {
            timer_.expires_at(due);
            timer_.async_wait(
                [this, keep](error_code error)
                {
                    if (!error)
                    {
                        pump(keep);
                    }
                });
            return;
        }
        if (waiting_.front().bytes.empty())
        {
            waiting_.pop_front();
            error_code ignored;
            to_.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        write(keep);
    }

    void cancel()
    {
        timer_.cancel();
        waiting_.clear();
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
        return owner_->cut_ == cut_state::both || owner_->cut_ == own_cut_;
    }

    void write(std::shared_ptr<void> const& keep)
    {
        writing_ = true;
        auto const chunk =
            std::make_shared<std::string>(std::move(waiting_.front().bytes));
        waiting_.pop_front();
        asio::async_write(
            to_,
            asio::buffer(*chunk),
            [this, keep, chunk](error_code error, std::size_t count)
            {
                writing_ = false;
                owner_->books_.bytes += count;
                waiting_bytes_ -= chunk->size();
                if (error)
                {
                    error_code ignored;
                    from_.close(ignored);
                    to_.close(ignored);
                    return;
                }
                pump(keep);
                read(keep);
            });
    }

    std::shared_ptr<relay> owner_;
    cut_state own_cut_;
    tcp::socket& from_;
    tcp::socket& to_;
    adapters::runtime::timer timer_;
    std::deque<chunk> waiting_;
    std::size_t waiting_bytes_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool ended_ = false;
};

class relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket near, std::shared_ptr<relay> const& owner)
        : owner_(owner), near_(std::move(near)), far_(owner->io_),
          retry_(owner->io_), forward_(owner, cut_state::forward, near_, far_),
          backward_(owner, cut_state::backward, far_, near_)
    {
        error_code ignored;
        near_.set_option(tcp::no_delay(true), ignored);
        ++owner_->open_;
        ++owner_->books_.connections;
    }

    ~connection()
    {
        --owner_->open_;
    }

    // A cut either way also stops the connection's own handshake.
    void connect()
    {
        if (owner_->cut_ != cut_state::none)
        {
            retry_.expires_after(connect_retry);
            retry_.async_wait(
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
        far_.async_connect({address, target.port},
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
        retry_.cancel();
        forward_.cancel();
        backward_.cancel();
        near_.close(ignored);
        far_.close(ignored);
    }

private:
    void on_connect(error_code error)
    {
        if (error || !near_.is_open())
        {
            close();
            return;
        }
        error_code ignored;
        far_.set_option(tcp::no_delay(true), ignored);
        forward_.read(shared_from_this());
        backward_.read(shared_from_this());
    }

    std::shared_ptr<relay> owner_;
    tcp::socket near_;
    tcp::socket far_;
    adapters::runtime::timer retry_;
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
            if (self->open_ < self->settings_.connections)
            {
                auto const made =
                    std::make_shared<connection>(std::move(socket), self);
                std::erase_if(self->connections_,
                              [](auto const& weak)
                              {
                                  return weak.expired();
                              });
                self->connections_.push_back(made);
                made->connect();
            }
            else
            {
                ++self->books_.refused;
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
        if (auto const open = weak.lock())
        {
            open->pump();
        }
    }
}

void relay::reset()
{
    ++books_.resets;
    for (auto const& weak : std::exchange(connections_, {}))
    {
        if (auto const open = weak.lock())
        {
            open->close();
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
    return books_;
}

} // namespace fuchsia::standins::links
