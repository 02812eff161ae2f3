#include "adapters/http/client.hpp"

#include "adapters/runtime/timer.hpp"

#include <algorithm>
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

// Maximum time without new data while a late response is read. It is longer
// than the 200 ms after which a lost packet is retransmitted.
constexpr core::common::duration max_read_gap = std::chrono::milliseconds(400);
} // namespace

class client::pool : public std::enable_shared_from_this<client::pool>
{
public:
    pool(asio::io_context& io, client_settings settings)
        : io_(io), settings_(settings)
    {
    }

    void send(client_call call, handler handle);
    client_connections connections() const;
    void release();
    void close();
    /// Closes every connection without calling the handlers of pending calls.
    void close_without_handlers();

private:
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    struct endpoint_pool
    {
        std::vector<connection_ptr> idle;
        std::set<connection_ptr> all;
    };

    connection_ptr take_idle(ports::endpoint const& remote_endpoint);
    void put_back(connection_ptr const& conn);
    void remove(connection_ptr const& conn);
    void close_silent_idle(connection const& silent_connection);

    asio::io_context& io_;
    client_settings settings_;
    std::map<ports::endpoint, endpoint_pool> endpoints_;
    std::uint64_t event_counter_ = 0; ///< Orders call starts and responses.
};

// One TCP connection. It is first connecting, then alternates between busy
// (with one call) and idle (in the pool), and is finally closed.
class client::pool::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<pool> owner, ports::endpoint remote_endpoint)
        : owner_(std::move(owner)),
          remote_endpoint_(std::move(remote_endpoint)), socket_(owner_->io_),
          deadline_(owner_->io_), buffer_(buffer_limit(owner_->settings_))
    {
    }

    ports::endpoint const& remote_endpoint() const noexcept
    {
        return remote_endpoint_;
    }

    void start_call(client_call call, handler handle)
    {
        call_ = std::move(call);
        handle_ = std::move(handle);
        ended_ = false;
        timed_out_ = false;
        progress_ = 0;
        interim_bytes_ = 0;
        parser_.reset();
        read_deadline_.reset();
        final_check_done_ = false;
        call_started_ = ++owner_->event_counter_;
        if (socket_.is_open())
        {
            arm(call_.timeout);
            write();
            return;
        }
        connect();
    }

    // Closes the idle connection when anything arrives on it or `idle_timeout`
    // has passed.
    void watch_idle()
    {
        arm(owner_->settings_.idle_timeout);
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this(),
                            watch_id = ++watch_id_](beast::error_code)
                           {
                               if (self->watch_id_ == watch_id)
                               {
                                   self->close();
                               }
                           });
    }

    // Ends the watch that `watch_idle` started. Returns whether the connection
    // is usable: still open, with no data to read.
    bool end_idle_watch()
    {
        ++watch_id_;
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
        ++watch_id_;
        beast::error_code ignored;
        deadline_.cancel();
        socket_.close(ignored);
        owner_->remove(shared_from_this());
    }

    void fail(exchange_status status)
    {
        auto const self = shared_from_this();
        close();
        end(status, {});
    }

    bool received_since_start_of(connection const& other) const noexcept
    {
        return last_response_ > other.call_started_;
    }

    /// Closes the connection when its present call has ended.
    void close_after_call()
    {
        reusable_ = false;
    }

    void clear_handler()
    {
        handle_ = nullptr;
    }

    void abort()
    {
        fail(sent_ ? exchange_status::lost : exchange_status::not_sent);
    }

private:
    // The parser bounds the header and the body. What stands between and behind
    // the chunks of a body, such as extensions and trailer fields, is bounded
    // by the buffer alone: the parser takes it in one piece.
    static std::size_t buffer_limit(client_settings const& settings) noexcept
    {
        return std::max<std::size_t>(settings.header_bytes,
                                     settings.read_bytes);
    }

    static bool is_interim(unsigned status) noexcept
    {
        return status >= 100 && status < 200;
    }

    static bool is_over_limit(beast::error_code error)
    {
        return error == beast::http::error::body_limit ||
               error == beast::http::error::header_limit ||
               error == beast::http::error::buffer_overflow;
    }

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
        // After a stall of this process, `on_deadline` may still run for the
        // deadline of an earlier call.
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
        if (is_receiving_response())
        {
            arm(std::min(max_read_gap, call_.late_read_limit));
            return;
        }
        timed_out_ = true;
        owner_->close_silent_idle(*this);
        if (!call_.drain)
        {
            fail(exchange_status::timed_out);
            return;
        }
        arm(owner_->settings_.drain_timeout);
        handle_(exchange_status::timed_out, {});
    }

    // Returns whether the response has made progress and may be read further
    // after the timeout. The timeout is meant for an unresponsive server. A
    // large response may take longer on a slow link; if it were aborted and
    // requested again, it would never complete. Also, after a stall of this
    // process, its timers and the data received meanwhile are due at the same
    // time. Returns false for a call with `drain` set, since such a call reads
    // the late response in any case.
    bool is_receiving_response()
    {
        auto const now = core::common::clock::now();
        auto const previous = std::exchange(progress_, progress());
        if (call_.drain || progress_ <= previous)
        {
            return false;
        }
        read_deadline_ = read_deadline_.value_or(now + call_.late_read_limit);
        // One check is allowed after the deadline, because this process may
        // have been stalled when the deadline passed.
        return now < *read_deadline_ || !std::exchange(final_check_done_, true);
    }

    // Returns a value that grows with each byte of the response that arrives
    // and with each byte of its body that is parsed.
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
        auto const address =
            asio::ip::make_address(remote_endpoint_.address, error);
        arm(std::min(call_.timeout, owner_->settings_.connect_timeout));
        socket_.async_connect(
            tcp::endpoint(address, remote_endpoint_.port),
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
            message_.set(beast::http::field::host, to_string(remote_endpoint_));
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
                // An empty string that is assigned would keep the memory.
                std::string().swap(self->message_.body());
                self->read();
            });
    }

    void read()
    {
        buffer_.reserve(owner_->settings_.read_bytes);
        parser_.emplace();
        parser_->header_limit(owner_->settings_.header_bytes);
        parser_->body_limit(owner_->settings_.body_bytes);
        // The header of an answer to HEAD may state a length, but no body
        // follows.
        parser_->skip(message_.method() == beast::http::verb::head);
        beast::http::async_read(socket_,
                                buffer_,
                                *parser_,
                                [self = shared_from_this()](
                                    beast::error_code error, std::size_t size)
                                {
                                    self->on_read(error, size);
                                });
    }

    void on_read(beast::error_code error, std::size_t size)
    {
        if (ended_)
        {
            return;
        }
        if (error)
        {
            fail(is_over_limit(error) ? over_limit_status()
                                      : exchange_status::lost);
            return;
        }
        if (parser_->get().result() == beast::http::status::switching_protocols)
        {
            // No call asks for it, and what follows is no answer.
            fail(exchange_status::lost);
            return;
        }
        if (is_interim(parser_->get().result_int()))
        {
            skip_interim(size);
            return;
        }
        last_response_ = ++owner_->event_counter_;
        bool const may_be_followed = states_unread_body();
        auto message = parser_->release();
        auto const self = shared_from_this();
        if (reusable_ && message.keep_alive() && buffer_.size() == 0 &&
            !may_be_followed)
        {
            owner_->put_back(self);
        }
        else
        {
            close();
        }
        end(timed_out_ ? exchange_status::drained : exchange_status::answered,
            take_response(message));
    }

    // Returns whether the answer is one without a body, and a header announces
    // one all the same. It may follow on the connection.
    bool states_unread_body() const
    {
        bool const has_no_body =
            message_.method() == beast::http::verb::head ||
            parser_->get().result() == beast::http::status::no_content;
        return has_no_body && (parser_->chunked() ||
                               parser_->content_length().value_or(0) != 0);
    }

    exchange_status over_limit_status() const noexcept
    {
        return timed_out_ ? exchange_status::lost : exchange_status::too_large;
    }

    // Discards an interim response of `size` bytes and waits for the final one.
    void skip_interim(std::size_t size)
    {
        interim_bytes_ += size;
        if (interim_bytes_ > owner_->settings_.header_bytes)
        {
            fail(over_limit_status());
            return;
        }
        read();
    }

    static response
    take_response(beast::http::response<beast::http::string_body>& message)
    {
        response result;
        result.status = static_cast<std::uint16_t>(message.result_int());
        for (auto const& field : message)
        {
            result.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        result.body = std::move(message.body());
        return result;
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
    ports::endpoint remote_endpoint_;
    tcp::socket socket_;
    runtime::timer deadline_;
    client_call call_;
    handler handle_;
    beast::flat_buffer buffer_;
    beast::http::request<beast::http::string_body> message_;
    std::optional<beast::http::response_parser<beast::http::string_body>>
        parser_;
    std::uint64_t watch_id_ =
        0;              ///< Invalidates the handlers of earlier idle watches.
    bool sent_ = false; ///< A byte of the current call may have been sent.
    bool ended_ = true;
    bool reusable_ = true;
    bool timed_out_ = false;
    std::size_t progress_ = 0; ///< `progress()` at the last check.
    std::size_t interim_bytes_ =
        0; ///< Size of the interim responses of the current call.
    /// Time at which reading ends of a response that was still arriving at the
    /// timeout.
    std::optional<core::common::time_point> read_deadline_;
    /// Whether the only check allowed after `read_deadline_` has been made.
    bool final_check_done_ = false;
    std::uint64_t call_started_ =
        0; ///< `event_counter_` at the start of the call.
    std::uint64_t last_response_ =
        0; ///< `event_counter_` at the last response.
};

void client::pool::send(client_call call, handler handle)
{
    while (auto const idle_connection = take_idle(call.remote_endpoint))
    {
        if (idle_connection->end_idle_watch())
        {
            idle_connection->start_call(std::move(call), std::move(handle));
            return;
        }
        idle_connection->close();
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
    auto const new_connection =
        std::make_shared<connection>(shared_from_this(), call.remote_endpoint);
    endpoint.all.insert(new_connection);
    new_connection->start_call(std::move(call), std::move(handle));
}

client::pool::connection_ptr
client::pool::take_idle(ports::endpoint const& remote_endpoint)
{
    auto const it = endpoints_.find(remote_endpoint);
    if (it == endpoints_.end() || it->second.idle.empty())
    {
        return nullptr;
    }
    auto result = it->second.idle.back();
    it->second.idle.pop_back();
    return result;
}

void client::pool::put_back(connection_ptr const& conn)
{
    endpoints_[conn->remote_endpoint()].idle.push_back(conn);
    conn->watch_idle();
}

void client::pool::remove(connection_ptr const& conn)
{
    auto const it = endpoints_.find(conn->remote_endpoint());
    if (it == endpoints_.end())
    {
        return;
    }
    std::erase(it->second.idle, conn);
    it->second.all.erase(conn);
    if (it->second.all.empty())
    {
        endpoints_.erase(it);
    }
}

// Closes the idle connections to the endpoint of `silent_connection` that have
// received no response since the call on `silent_connection` started.
// Connections to one endpoint can become unresponsive together, without a
// reset. If the idle connections were then used one after the other, each would
// cost a call.
void client::pool::close_silent_idle(connection const& silent_connection)
{
    auto const it = endpoints_.find(silent_connection.remote_endpoint());
    if (!settings_.close_idle_on_timeout || it == endpoints_.end())
    {
        return;
    }
    auto const idle_connections = it->second.idle;
    for (auto const& candidate : idle_connections)
    {
        if (!candidate->received_since_start_of(silent_connection))
        {
            candidate->close();
        }
    }
}

client_connections client::pool::connections() const
{
    client_connections result;
    for (auto const& [remote_endpoint, endpoint] : endpoints_)
    {
        auto const open = endpoint.all.size();
        result.endpoints += open > 0 ? 1 : 0;
        result.idle += endpoint.idle.size();
        result.busy += open - endpoint.idle.size();
        result.most = std::max(result.most, open);
    }
    return result;
}

void client::pool::release()
{
    // `close` removes a connection from these tables.
    auto const endpoints = endpoints_;
    for (auto const& [remote_endpoint, endpoint] : endpoints)
    {
        for (auto const& current : endpoint.all)
        {
            current->close_after_call();
        }
        for (auto const& current : endpoint.idle)
        {
            current->close();
        }
    }
}

void client::pool::close()
{
    auto const endpoints = std::move(endpoints_);
    endpoints_.clear();
    for (auto const& [remote_endpoint, endpoint] : endpoints)
    {
        for (auto const& current : endpoint.all)
        {
            current->abort();
        }
    }
}

void client::pool::close_without_handlers()
{
    for (auto const& [remote_endpoint, endpoint] : endpoints_)
    {
        for (auto const& current : endpoint.all)
        {
            current->clear_handler();
        }
    }
    close();
}

client::client(asio::io_context& io, client_settings settings)
    : pool_(std::make_shared<pool>(io, settings))
{
}

// The handlers belong to the owner of the client. When the client is destroyed
// as part of its owner, members that a handler would use may be destroyed
// already, so no handler is called.
client::~client()
{
    pool_->close_without_handlers();
}

void client::send(client_call call, handler handle)
{
    pool_->send(std::move(call), std::move(handle));
}

client_connections client::connections() const
{
    return pool_->connections();
}

void client::release()
{
    pool_->release();
}

void client::close()
{
    pool_->close();
}

} // namespace fuchsia::adapters::http
