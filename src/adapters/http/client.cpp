#include "adapters/http/client.hpp"

#include "adapters/runtime/timer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fuchsia::adapters::http
{

namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
using ports::exchange_status;
using tcp = asio::ip::tcp;

// How long an answer that is being read may bring nothing: a packet that was
// lost comes again after 200 ms.
constexpr core::common::duration longest_gap = std::chrono::milliseconds(400);
} // namespace

class client::pool : public std::enable_shared_from_this<client::pool>
{
public:
    pool(asio::io_context& io, client_settings settings)
        : io_(io), settings_(settings)
    {
    }

    void send(client_call call, handler handle);
    void close();
    /// Closes without a word to the handlers.
    void abandon();

private:
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    struct endpoint_pool
    {
        std::vector<connection_ptr> idle;
        std::set<connection_ptr> all;
    };

    connection_ptr take_idle(ports::endpoint const& where);
    void put_back(connection_ptr const& done);
    void forget(connection_ptr const& gone);
    void doubt_unused(connection const& silent);

    asio::io_context& io_;
    client_settings settings_;
    std::map<ports::endpoint, endpoint_pool> endpoints_;
    std::uint64_t moment_ = 0; // Of the last begin of a call, or answer.
};

// One TCP connection. States in order: connecting, then any number of times
// busy (one call) and idle (in the pool), then closed.
class client::pool::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<pool> owner, ports::endpoint where)
        : owner_(std::move(owner)), where_(std::move(where)),
          socket_(owner_->io_), deadline_(owner_->io_)
    {
    }

    ports::endpoint const& where() const noexcept
    {
        return where_;
    }

    void begin(client_call call, handler handle)
    {
        call_ = std::move(call);
        handle_ = std::move(handle);
        ended_ = false;
        timed_out_ = false;
        progress_ = 0;
        parser_.reset();
        reading_until_.reset();
        last_look_ = false;
        began_ = ++owner_->moment_;
        if (socket_.is_open())
        {
            arm(call_.timeout);
            write();
            return;
        }
        connect();
    }

    // Watches an unused connection: whatever arrives ends it.
    void rest()
    {
        arm(owner_->settings_.idle_timeout);
        socket_.async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), turn = ++turn_](beast::error_code)
            {
                if (self->turn_ == turn)
                {
                    self->close();
                }
            });
    }

    // Ends the watch of `rest`; false where the connection is no good.
    bool wake()
    {
        ++turn_;
        beast::error_code error;
        socket_.cancel(error);
        char byte = 0;
        if (!socket_.non_blocking())
        {
            socket_.non_blocking(true, error);
        }
        socket_.receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    void close()
    {
        ++turn_;
        beast::error_code ignored;
        deadline_.cancel();
        socket_.close(ignored);
        owner_->forget(shared_from_this());
    }

    void fail(exchange_status status)
    {
        auto const keep = shared_from_this();
        close();
        end(status, {});
    }

    bool heard_since_begin_of(connection const& other) const noexcept
    {
        return heard_ > other.began_;
    }

    void forget_handler()
    {
        handle_ = nullptr;
    }

    void abort()
    {
        fail(sent_ ? exchange_status::lost : exchange_status::not_sent);
    }

private:
    void arm(core::common::duration after)
    {
        deadline_.expires_after(after);
        deadline_.async_wait(
            [weak = weak_from_this()](beast::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->on_deadline();
                }
            });
    }

    void on_deadline()
    {
        // After a stall of this process it may be the one of an earlier call.
        if (deadline_.expiry() > core::common::clock::now())
        {
            return;
        }
        if (ended_)
        {
            close();
            return;
        }
        if (!sent_)
        {
            fail(exchange_status::not_sent);
            return;
        }
        if (timed_out_)
        {
            fail(exchange_status::lost);
            return;
        }
        if (answer_keeps_coming())
        {
            arm(std::min(longest_gap, call_.late_read_limit));
            return;
        }
        timed_out_ = true;
        owner_->doubt_unused(*this);
        if (!call_.drain)
        {
            fail(exchange_status::timed_out);
            return;
        }
        arm(owner_->settings_.drain_timeout);
        handle_(exchange_status::timed_out, {});
    }

    // A time limit is for a silent server. A large answer may take longer on a
    // thin link: cut off and asked for again, it would never be whole. Besides,
    // after a stall of this process its timers and what came meanwhile are due
    // together. A call that drains reads on in any case.
    bool answer_keeps_coming()
    {
        auto const now = core::common::clock::now();
        auto const before = std::exchange(progress_, progress());
        if (call_.drain || progress_ <= before)
        {
            return false;
        }
        reading_until_ = reading_until_.value_or(now + call_.late_read_limit);
        // This process may have stood still when the limit passed.
        return now < *reading_until_ || !std::exchange(last_look_, true);
    }

    // Grows with each byte of the answer that arrives, and with each that is
    // read.
    std::size_t progress()
    {
        beast::error_code ignored;
        auto const unread = buffer_.size() + socket_.available(ignored);
        return parser_ ? 2 * parser_->get().body().size() + unread : unread;
    }

    void connect()
    {
        sent_ = false;
        beast::error_code error;
        auto const address = asio::ip::make_address(where_.address, error);
        arm(std::min(call_.timeout, owner_->settings_.connect_timeout));
        socket_.async_connect(
            tcp::endpoint(address, where_.port),
            [self = shared_from_this()](beast::error_code failed)
            {
                if (self->ended_)
                {
                    return;
                }
                if (failed)
                {
                    self->fail(exchange_status::not_sent);
                    return;
                }
                beast::error_code ignored;
                self->socket_.set_option(tcp::no_delay(true), ignored);
                self->arm(self->call_.timeout);
                self->write();
            });
    }

    void write()
    {
        sent_ = true;
        message_ = {};
        message_.version(11);
        message_.method_string(call_.message.method);
        message_.target(call_.message.target);
        for (auto const& header : call_.message.headers)
        {
            message_.insert(header.name, header.value);
        }
        if (message_.find(beast::http::field::host) == message_.end())
        {
            message_.set(beast::http::field::host, to_string(where_));
        }
        message_.keep_alive(true);
        message_.body() = std::move(call_.message.body);
        message_.prepare_payload();
        beast::http::async_write(
            socket_,
            message_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (self->ended_)
                {
                    return;
                }
                if (error)
                {
                    self->fail(exchange_status::lost);
                    return;
                }
                self->read();
            });
    }

    void read()
    {
        buffer_.reserve(owner_->settings_.read_bytes);
        parser_.emplace();
        parser_->header_limit(owner_->settings_.header_bytes);
        parser_->body_limit(owner_->settings_.body_bytes);
        beast::http::async_read(
            socket_,
            buffer_,
            *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                self->on_read(error);
            });
    }

    void on_read(beast::error_code error)
    {
        if (ended_)
        {
            return;
        }
        if (error)
        {
            bool const large = error == beast::http::error::body_limit ||
                               error == beast::http::error::header_limit;
            fail(large && !timed_out_ ? exchange_status::too_large
                                      : exchange_status::lost);
            return;
        }
        heard_ = ++owner_->moment_;
        auto message = parser_->release();
        auto const keep = shared_from_this();
        if (message.keep_alive() && buffer_.size() == 0)
        {
            owner_->put_back(keep);
        }
        else
        {
            close();
        }
        end(timed_out_ ? exchange_status::drained : exchange_status::answered,
            take_response(message));
    }

    static response
    take_response(beast::http::response<beast::http::string_body>& message)
    {
        response taken;
        taken.status = static_cast<std::uint16_t>(message.result_int());
        for (auto const& field : message)
        {
            taken.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        taken.body = std::move(message.body());
        return taken;
    }

    void end(exchange_status status, response answer)
    {
        if (ended_)
        {
            return;
        }
        ended_ = true;
        auto const handle = std::move(handle_);
        handle_ = nullptr;
        if (handle)
        {
            handle(status, std::move(answer));
        }
    }

    std::shared_ptr<pool> owner_;
    ports::endpoint where_;
    tcp::socket socket_;
    runtime::timer deadline_;
    client_call call_;
    handler handle_;
    beast::flat_buffer buffer_;
    beast::http::request<beast::http::string_body> message_;
    std::optional<beast::http::response_parser<beast::http::string_body>>
        parser_;
    std::uint64_t turn_ = 0; // Of idle watches; an old one does nothing.
    bool sent_ = false;      // A byte of the present call may have gone out.
    bool ended_ = true;
    bool timed_out_ = false;
    std::size_t progress_ = 0; // At the last look, past the time limit.
    std::optional<core::common::time_point> reading_until_;
    bool last_look_ = false;  // Was taken, behind `reading_until_`.
    std::uint64_t began_ = 0; // Moments of the pool: the present call began,
    std::uint64_t heard_ = 0; // the last answer came.
};

void client::pool::send(client_call call, handler handle)
{
    while (auto const reused = take_idle(call.remote_endpoint))
    {
        if (reused->wake())
        {
            reused->begin(std::move(call), std::move(handle));
            return;
        }
        reused->close();
    }
    auto& endpoint = endpoints_[call.remote_endpoint];
    if (endpoint.all.size() >= settings_.connections_per_endpoint)
    {
        asio::post(io_,
                   [handle = std::move(handle)]
                   {
                       handle(exchange_status::not_sent, {});
                   });
        return;
    }
    auto const made =
        std::make_shared<connection>(shared_from_this(), call.remote_endpoint);
    endpoint.all.insert(made);
    made->begin(std::move(call), std::move(handle));
}

client::pool::connection_ptr
client::pool::take_idle(ports::endpoint const& where)
{
    auto const found = endpoints_.find(where);
    if (found == endpoints_.end() || found->second.idle.empty())
    {
        return nullptr;
    }
    auto taken = found->second.idle.back();
    found->second.idle.pop_back();
    return taken;
}

void client::pool::put_back(connection_ptr const& done)
{
    endpoints_[done->where()].idle.push_back(done);
    done->rest();
}

void client::pool::forget(connection_ptr const& gone)
{
    auto const found = endpoints_.find(gone->where());
    if (found == endpoints_.end())
    {
        return;
    }
    std::erase(found->second.idle, gone);
    found->second.all.erase(gone);
    if (found->second.all.empty())
    {
        endpoints_.erase(found);
    }
}

// Channels to one place can fall silent together, without a reset. Tried one
// after the other, each would cost the next call.
void client::pool::doubt_unused(connection const& silent)
{
    auto const found = endpoints_.find(silent.where());
    if (!settings_.close_idle_on_timeout || found == endpoints_.end())
    {
        return;
    }
    auto const unused = found->second.idle;
    for (auto const& each : unused)
    {
        if (!each->heard_since_begin_of(silent))
        {
            each->close();
        }
    }
}

void client::pool::close()
{
    auto const endpoints = std::move(endpoints_);
    endpoints_.clear();
    for (auto const& [where, endpoint] : endpoints)
    {
        for (auto const& open : endpoint.all)
        {
            open->abort();
        }
    }
}

void client::pool::abandon()
{
    for (auto const& [where, endpoint] : endpoints_)
    {
        for (auto const& open : endpoint.all)
        {
            open->forget_handler();
        }
    }
    close();
}

client::client(asio::io_context& io, client_settings settings)
    : pool_(std::make_shared<pool>(io, settings))
{
}

// A handler belongs to the client's owner, which is being destroyed now: parts
// of it that the handler would touch are gone already.
client::~client()
{
    pool_->abandon();
}

void client::send(client_call call, handler handle)
{
    pool_->send(std::move(call), std::move(handle));
}

void client::close()
{
    pool_->close();
}

} // namespace fuchsia::adapters::http
