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

std::string text_of(beast::string_view text)
{
    return std::string(text.data(), text.size());
}

work_request work_of(http::request<http::string_body> const& message)
{
    work_request what;
    what.customer = text_of(message["Fuchsia-Customer"]);
    what.kind = ports::request_class_from(text_of(message["Fuchsia-Class"]))
                    .value_or(ports::request_class::latency_critical);
    what.method = text_of(message.method_string());
    what.target = text_of(message.target());
    what.idempotency_key = text_of(message["Idempotency-Key"]);
    return what;
}

// A caller that finds its token at both ends holds a whole answer of its own.
std::string framed_body(std::string const& token, std::size_t bytes)
{
    std::string const filler(bytes, '.');
    return token.empty() ? filler : token + "\n" + filler + "\n" + token;
}

} // namespace

// Reads one request at a time, runs it, answers.
class executor::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<executor> owner)
        : stream_(std::move(socket)), owner_(std::move(owner))
    {
        beast::error_code ignored;
        stream_.set_option(tcp::no_delay(true), ignored);
        ++owner_->open_;
    }

    ~connection()
    {
        --owner_->open_;
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
                    self->owner_->when_thawed(
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
        token_ = text_of(message["Fuchsia-Load-Token"]);
        owner_->run(work_of(message),
                    [self = shared_from_this()](work_outcome how)
                    {
                        self->answer(how);
                    });
    }

    void answer(work_outcome how)
    {
        auto const body = framed_body(token_, owner_->settings_.answer_bytes);
        if (how == work_outcome::partial)
        {
            write_half(body);
            return;
        }
        message_ = {};
        message_.version(11);
        message_.result(how == work_outcome::complete ? http::status::ok
                        : how == work_outcome::failed
                            ? http::status::internal_server_error
                            : http::status::service_unavailable);
        message_.set("Upstream-Id", owner_->pool_.id(owner_->number_));
        if (how == work_outcome::refused)
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
        owner_->when_thawed(
            [self = shared_from_this()]
            {
                self->read();
            });
    }

    void write_half(std::string const& body)
    {
        half_ = "HTTP/1.1 200 OK\r\nUpstream-Id: " +
                owner_->pool_.id(owner_->number_) +
                "\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body.substr(0, body.size() / 2);
        asio::async_write(
            stream_,
            asio::buffer(half_),
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
    std::string half_;
    std::string token_;
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
                self->when_thawed(
                    [made]
                    {
                        made->read();
                    });
            }
            else
            {
                ++self->connections_refused_;
            }
            self->accept();
        });
}

void executor::when_thawed(std::function<void()> step)
{
    if (pool_.frozen(number_))
    {
        parked_.push_back(std::move(step));
        return;
    }
    step();
}

void executor::thaw()
{
    auto const steps = std::exchange(parked_, {});
    for (auto const& step : steps)
    {
        when_thawed(step);
    }
}

// The work goes on to its end even where the caller has hung up, as a real
// upstream's would.
void executor::run(work_request const& what,
                   std::function<void(work_outcome)> const& done)
{
    auto const begun = pool_.begin(core::common::clock::now(), number_, what);
    if (begun.outcome == work_outcome::refused)
    {
        done(work_outcome::refused);
        return;
    }
    auto const timer =
        std::make_shared<adapters::runtime::timer>(io_, begun.time);
    timer->async_wait(
        [self = shared_from_this(), timer, how = begun.outcome, done](
            auto error)
        {
            if (error)
            {
                return;
            }
            self->when_thawed(
                [self, how, done]
                {
                    self->pool_.end(self->number_, how);
                    done(how);
                });
        });
}

void executor::close()
{
    acceptor_.close();
    parked_.clear();
    for (auto const& weak : connections_)
    {
        if (auto const open = weak.lock())
        {
            open->close();
        }
    }
}

std::uint64_t executor::connections_refused() const noexcept
{
    return connections_refused_;
}

} // namespace fuchsia::standins::upstreams
