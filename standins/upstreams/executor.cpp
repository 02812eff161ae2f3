#include "standins/upstreams/executor.hpp"

#include "adapters/http/message.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace fuchsia::standins::upstreams
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using core::common::result_code;

std::string to_text(beast::string_view text)
{
    return std::string(text.data(), text.size());
}

work_request parse_work(http::request<http::string_body> const& message)
{
    work_request request;
    request.customer = to_text(message["Fuchsia-Customer"]);
    request.kind = ports::request_class_from(to_text(message["Fuchsia-Class"]))
                       .value_or(ports::request_class::latency_critical);
    request.method = to_text(message.method_string());
    request.target = to_text(message.target());
    request.idempotency_key = to_text(message["Idempotency-Key"]);
    return request;
}

// The token at both ends of the body shows the caller that the response is
// complete and belongs to its own request.
std::string framed_body(std::string const& token, std::size_t bytes)
{
    std::string const filler(bytes, '.');
    return token.empty() ? filler : token + "\n" + filler + "\n" + token;
}

} // namespace

// Reads one request at a time, runs it and responds.
class executor::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<executor> owner)
        : stream_(std::move(socket)), owner_(std::move(owner))
    {
        beast::error_code ignored;
        stream_.set_option(tcp::no_delay(true), ignored);
        ++owner_->open_connections_;
    }

    ~connection()
    {
        --owner_->open_connections_;
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(owner_->settings_.header_bytes);
        parser_->body_limit(owner_->settings_.body_bytes);
        http::async_read(
            stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (!error)
                {
                    self->owner_->run_when_thawed(
                        [self]
                        {
                            self->begin();
                        });
                }
            });
    }

    void close()
    {
        beast::error_code ignored;
        stream_.shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close(ignored);
    }

private:
    void begin()
    {
        auto const message = parser_->release();
        keep_alive_ = message.keep_alive();
        load_token_ = to_text(message["Fuchsia-Load-Token"]);
        owner_->run(parse_work(message),
                    [self = shared_from_this()](work_outcome outcome)
                    {
                        self->respond(outcome);
                    });
    }

    void respond(work_outcome outcome)
    {
        auto const body =
            framed_body(load_token_, owner_->settings_.response_bytes);
        if (outcome == work_outcome::partial)
        {
            write_partial(body);
            return;
        }
        message_ = {};
        message_.version(11);
        message_.result(outcome == work_outcome::complete ? http::status::ok
                        : outcome == work_outcome::failed
                            ? http::status::internal_server_error
                            : http::status::service_unavailable);
        message_.set("Upstream-Id", owner_->pool_.id(owner_->number_));
        if (outcome == work_outcome::refused)
        {
            message_.set("Upstream-Outcome", "not-run");
        }
        message_.keep_alive(keep_alive_);
        message_.body() = body;
        message_.prepare_payload();
        http::async_write(
            stream_,
            message_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                self->on_written(error);
            });
    }

    void on_written(beast::error_code error)
    {
        if (error || !keep_alive_)
        {
            close();
            return;
        }
        owner_->run_when_thawed(
            [self = shared_from_this()]
            {
                self->read();
            });
    }

    void write_partial(std::string const& body)
    {
        partial_response_ =
            "HTTP/1.1 200 OK\r\nUpstream-Id: " +
            owner_->pool_.id(owner_->number_) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body.substr(0, body.size() / 2);
        asio::async_write(
            stream_,
            asio::buffer(partial_response_),
            [self = shared_from_this()](beast::error_code, std::size_t)
            {
                self->close();
            });
    }

    tcp::socket stream_;
    std::shared_ptr<executor> owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> message_;
    std::string partial_response_;
    std::string load_token_;
    bool keep_alive_ = true;
};

executor::executor(asio::io_context& io,
                   upstream_pool& pool,
                   std::size_t number,
                   executor_settings settings)
    : io_(io), pool_(pool), number_(number), settings_(std::move(settings)),
      acceptor_(io)
{
}

executor::~executor() = default;

std::optional<ports::endpoint> executor::listen(core::common::failure& reason)
{
    auto bound = acceptor_.listen(settings_.listen, reason);
    if (bound)
    {
        accept();
    }
    return bound;
}

void executor::accept()
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
                self->run_when_thawed(
                    [accepted]
                    {
                        accepted->read();
                    });
            }
            else
            {
                ++self->connections_refused_;
            }
            self->accept();
        });
}

void executor::run_when_thawed(std::function<void()> step)
{
    if (pool_.frozen(number_))
    {
        suspended_steps_.push_back(std::move(step));
        return;
    }
    step();
}

void executor::thaw()
{
    auto const steps = std::exchange(suspended_steps_, {});
    for (auto const& step : steps)
    {
        run_when_thawed(step);
    }
}

// The work runs to its end even if the caller has closed the connection, as it
// does in a real upstream.
void executor::run(work_request const& request,
                   std::function<void(work_outcome)> const& on_done)
{
    auto const started =
        pool_.begin(core::common::clock::now(), number_, request);
    if (started.outcome == work_outcome::refused)
    {
        on_done(work_outcome::refused);
        return;
    }
    auto const timer =
        std::make_shared<adapters::runtime::timer>(io_, started.time);
    timer->async_wait(
        [self = shared_from_this(), timer, outcome = started.outcome, on_done](
            auto error)
        {
            if (error)
            {
                return;
            }
            self->run_when_thawed(
                [self, outcome, on_done]
                {
                    self->pool_.end(self->number_, outcome);
                    on_done(outcome);
                });
        });
}

void executor::close()
{
    acceptor_.close();
    suspended_steps_.clear();
    for (auto const& weak : connections_)
    {
        if (auto const active = weak.lock())
        {
            active->close();
        }
    }
}

std::uint64_t executor::connections_refused() const noexcept
{
    return connections_refused_;
}

} // namespace fuchsia::standins::upstreams
