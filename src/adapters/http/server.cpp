#include "adapters/http/server.hpp"

#include "adapters/runtime/acceptor.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <utility>

namespace fuchsia::adapters::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using core::common::result_code;
using tcp = asio::ip::tcp;

/// Receive buffer of a connection, which counts as memory of the process; the
/// system adds as much again.
constexpr int receive_buffer_bytes = 16 * 1024;
/// Time for which the rest of a refused request is read.
constexpr core::common::duration discard_time = std::chrono::seconds(1);
constexpr std::size_t discard_bytes = 512;
/// Memory of one header field beside its text.
constexpr std::uint64_t field_bytes = 128;
/// Size up to which an idle connection keeps its read buffer.
constexpr std::size_t kept_buffer_bytes = 4096;

core::common::failure failure_of(beast::error_code error)
{
    if (error == beast::http::error::body_limit)
    {
        return {result_code::body_too_large, "body", ""};
    }
    if (error == beast::http::error::header_limit)
    {
        return {result_code::headers_too_large, "header", ""};
    }
    if (error == beast::http::error::buffer_overflow)
    {
        return {result_code::headers_too_large, "chunk or trailer", ""};
    }
    return {result_code::malformed_http, "request", error.message()};
}

response out_of_memory()
{
    auto answer = failure_response(
        {result_code::queue_full, "", "the memory for requests is used up"});
    answer.headers.push_back({"Retry-After", "1"});
    return answer;
}

// Returns whether the client sent malformed HTTP, as opposed to closing the
// connection.
bool is_parse_error(beast::error_code error)
{
    return error.category() ==
               beast::http::make_error_code(beast::http::error::bad_method)
                   .category() &&
           error != beast::http::error::end_of_stream &&
           error != beast::http::error::partial_message;
}

} // namespace

class server::listener : public std::enable_shared_from_this<server::listener>
{
public:
    listener(asio::io_context& io,
             server_limits limits,
             request_handler handle,
             std::shared_ptr<connection_budget> budget)
        : acceptor_(io), limits_(limits), handle_(std::move(handle)),
          budget_(std::move(budget))
    {
    }

    std::optional<ports::endpoint> listen(ports::endpoint const& local_endpoint,
                                          core::common::failure& reason)
    {
        auto bound =
            acceptor_.listen(local_endpoint, reason, receive_buffer_bytes);
        if (bound)
        {
            accept();
        }
        return bound;
    }

    void drain();
    void close();

    void close_after_answers() noexcept
    {
        keep_alive_ = false;
    }

    std::uint32_t waiting() const noexcept
    {
        return pending_requests_;
    }

private:
    class connection;

    void accept();
    bool has_room(tcp::socket const& socket) const;

    runtime::acceptor acceptor_;
    server_limits limits_;
    request_handler handle_;
    std::shared_ptr<connection_budget> budget_;
    std::list<std::weak_ptr<connection>> connections_;
    std::uint32_t pending_requests_ = 0;
    bool keep_alive_ =
        true; ///< Whether connections stay open after a response.
};

class server::listener::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<listener> owner)
        : stream_(std::move(socket)), timer_(stream_.get_executor()),
          owner_(std::move(owner)), buffer_(owner_->limits_.header_bytes)
    {
        beast::error_code ignored;
        stream_.set_option(tcp::no_delay(true), ignored);
        auto const peer = stream_.remote_endpoint(ignored);
        remote_address_ = peer.address().to_string();
        member_ = owner_->budget_->add(remote_address_,
                                       [this](shed_reason reason)
                                       {
                                           shed(reason);
                                       });
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(owner_->limits_.header_bytes);
        parser_->body_limit(owner_->limits_.body_bytes);
        member_->enter(connection_phase::receiving);
        arm(owner_->limits_.idle);
        read_some();
    }

    void drain()
    {
        draining_ = true;
        if (!response_pending_ && buffer_.size() == 0)
        {
            close();
        }
    }

    void close()
    {
        beast::error_code ignored;
        disarm();
        stream_.shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close(ignored);
    }

private:
    // Closes the connection after `limit`, unless the timer is armed again or
    // disarmed before.
    void arm(core::common::duration limit)
    {
        timer_.expires_after(limit);
        timer_.async_wait(
            [weak = weak_from_this(),
             number = ++armed_](beast::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self && self->armed_ == number)
                {
                    self->on_timeout();
                }
            });
    }

    void on_timeout()
    {
        if (writing_)
        {
            member_->report(shed_reason::unread);
        }
        close();
    }

    void disarm()
    {
        ++armed_;
        timer_.cancel();
    }

    // Reads in parts, so that the budget knows what the request holds.
    void read_some()
    {
        beast::http::async_read_some(
            stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                self->on_read_some(error);
            });
    }

    void on_read_some(beast::error_code error)
    {
        if (!out_of_memory_ && !error)
        {
            out_of_memory_ = !member_->hold(held_bytes());
        }
        if (out_of_memory_)
        {
            disarm();
            refuse(out_of_memory());
            return;
        }
        if (!error && !parser_->is_done())
        {
            read_some();
            return;
        }
        on_read(error);
    }

    std::uint64_t held_bytes() const
    {
        auto const& message = parser_->get();
        std::uint64_t result = buffer_.capacity() + message.body().capacity();
        for (auto const& field : message)
        {
            result +=
                field_bytes + field.name_string().size() + field.value().size();
        }
        return result;
    }

    // Gives up an incomplete request or an answer that isn't read.
    void shed(shed_reason reason)
    {
        if (reason == shed_reason::memory && !response_pending_)
        {
            out_of_memory_ = true;
            release_request();
            beast::error_code ignored;
            stream_.cancel(ignored);
            return;
        }
        close();
    }

    // Frees what was read of a request. A read that is still open uses the
    // parser, so that it stays.
    void release_request()
    {
        auto& message = parser_->get();
        message.clear();
        message.body().clear();
        message.body().shrink_to_fit();
    }

    void on_read(beast::error_code error)
    {
        disarm();
        if (error)
        {
            if (is_parse_error(error))
            {
                refuse(failure_response(failure_of(error)));
                return;
            }
            close();
            return;
        }
        response_pending_ = true;
        ++owner_->pending_requests_;
        member_->enter(connection_phase::handling);
        owner_->handle_(take_request(), make_responder());
    }

    // Answers instead of the handler and closes the connection after that.
    void refuse(response answer)
    {
        parser_.reset();
        buffer_.clear();
        draining_ = true;
        unread_input_ = true;
        response_pending_ = true;
        ++owner_->pending_requests_;
        write(std::move(answer));
    }

    request take_request()
    {
        auto message = parser_->release();
        keep_alive_ = message.keep_alive();
        request result;
        result.method = std::string(message.method_string());
        result.target = std::string(message.target());
        for (auto const& field : message)
        {
            result.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        result.body = std::move(message.body());
        result.remote_address = remote_address_;
        return result;
    }

    responder make_responder()
    {
        auto const number = ++request_number_;
        return [self = shared_from_this(), number](response answer)
        {
            bool const is_current = self->request_number_ == number;
            if (is_current && self->response_pending_ && !self->writing_)
            {
                self->write(std::move(answer));
            }
        };
    }

    void write(response answer)
    {
        writing_ = true;
        message_ = {};
        message_.version(11);
        message_.result(answer.status);
        for (auto const& header : answer.headers)
        {
            message_.insert(header.name, header.value);
        }
        keep_alive_ = keep_alive_ && owner_->keep_alive_;
        message_.keep_alive(keep_alive_ && !draining_);
        message_.body() = std::move(answer.body);
        message_.prepare_payload();
        member_->enter(connection_phase::answering);
        if (!member_->hold(message_.body().size()))
        {
            on_written(asio::error::no_buffer_space);
            return;
        }
        arm(owner_->limits_.write);
        beast::http::async_write(
            stream_,
            message_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                self->on_written(error);
            });
    }

    void on_written(beast::error_code error)
    {
        disarm();
        --owner_->pending_requests_;
        response_pending_ = false;
        writing_ = false;
        release_memory();
        if (!error && unread_input_)
        {
            close_after_input();
            return;
        }
        if (error || draining_ || !keep_alive_)
        {
            close();
            return;
        }
        read();
    }

    void release_memory()
    {
        message_ = {};
        if (buffer_.size() == 0 && buffer_.capacity() > kept_buffer_bytes)
        {
            buffer_.shrink_to_fit();
        }
        member_->hold(buffer_.size());
    }

    // Discards what the client still sends, for a short time: closing a socket
    // with unread input resets the connection, and the client could lose the
    // answer.
    void close_after_input()
    {
        beast::error_code ignored;
        stream_.shutdown(tcp::socket::shutdown_send, ignored);
        arm(discard_time);
        discard_input();
    }

    void discard_input()
    {
        stream_.async_read_some(
            buffer_.prepare(discard_bytes),
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                self->discard_input();
            });
    }

    tcp::socket stream_;
    runtime::timer timer_;
    std::shared_ptr<listener> owner_;
    std::string remote_address_;
    std::unique_ptr<connection_budget::member> member_;
    beast::flat_buffer buffer_;
    std::optional<beast::http::request_parser<beast::http::string_body>>
        parser_;
    beast::http::response<beast::http::string_body> message_;
    std::uint64_t request_number_ = 0;
    std::uint64_t armed_ = 0; ///< Number of the last call of `arm`.
    bool keep_alive_ = true;
    bool draining_ = false;
    bool out_of_memory_ = false; ///< Whether the request was given up.
    bool unread_input_ = false; ///< Whether the request wasn't read to its end.
    bool response_pending_ = false;
    bool writing_ = false;
};

void server::listener::accept()
{
    acceptor_.accept_next(
        [self = shared_from_this()](tcp::socket socket)
        {
            if (self->has_room(socket))
            {
                auto const new_connection =
                    std::make_shared<connection>(std::move(socket), self);
                self->connections_.remove_if(
                    [](auto const& weak)
                    {
                        return weak.expired();
                    });
                self->connections_.push_back(new_connection);
                new_connection->read();
            }
            self->accept();
        });
}

bool server::listener::has_room(tcp::socket const& socket) const
{
    beast::error_code ignored;
    return budget_->make_room(
        socket.remote_endpoint(ignored).address().to_string());
}

void server::listener::drain()
{
    acceptor_.close();
    for (auto const& weak : connections_)
    {
        if (auto const current = weak.lock())
        {
            current->drain();
        }
    }
}

void server::listener::close()
{
    acceptor_.close();
    for (auto const& weak : connections_)
    {
        if (auto const current = weak.lock())
        {
            current->close();
        }
    }
}

server::server(asio::io_context& io,
               server_limits limits,
               request_handler handle,
               std::shared_ptr<connection_budget> budget)
    : listener_(std::make_shared<listener>(
          io,
          limits,
          std::move(handle),
          budget ? std::move(budget)
                 : std::make_shared<connection_budget>(
                       budget_limits{.connections = limits.connections})))
{
}

server::~server()
{
    listener_->close();
}

std::optional<ports::endpoint>
server::listen(ports::endpoint const& local_endpoint,
               core::common::failure& reason)
{
    return listener_->listen(local_endpoint, reason);
}

void server::close_after_answers() noexcept
{
    listener_->close_after_answers();
}

void server::drain()
{
    listener_->drain();
}

std::uint32_t server::waiting() const noexcept
{
    return listener_->waiting();
}

void server::close()
{
    listener_->close();
}

} // namespace fuchsia::adapters::http
