#include "tools/load/request_client.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{

using core::common::clock;
using core::common::duration;
using core::common::time_point;
using ports::exchange_status;

constexpr duration least_deadline = std::chrono::milliseconds(1);
// Where a refusal doesn't say when to come back.
constexpr duration default_pause = std::chrono::milliseconds(100);

adapters::http::client_settings connection_settings(experiment const& what)
{
    adapters::http::client_settings settings;
    settings.connections_per_endpoint = what.max_in_flight;
    settings.connect_timeout = std::chrono::seconds(2);
    return settings;
}

std::optional<std::int64_t> number_in(adapters::http::response const& answer,
                                      std::string_view header)
{
    auto const text = answer.header(header);
    std::int64_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec !=
            std::errc())
    {
        return std::nullopt;
    }
    return value;
}

duration pause_after(adapters::http::response const& answer)
{
    if (auto const exact = number_in(answer, "Fuchsia-Retry-After-Ms"))
    {
        return std::chrono::milliseconds(*exact);
    }
    if (auto const whole = number_in(answer, "Retry-After"))
    {
        return std::chrono::seconds(*whole);
    }
    return default_pause;
}

std::string path_of(request_stream const& stream, std::uint64_t number)
{
    constexpr std::string_view mark = "{n}";
    auto path = stream.path;
    auto const at = path.find(mark);
    if (at != std::string::npos)
    {
        path.replace(at, mark.size(), std::to_string(number));
    }
    return path;
}

} // namespace

struct request_client::pending
{
    explicit pending(request_stream const& what) : stream(what)
    {
    }
    request_stream const& stream;
    std::uint64_t number = 0;
    time_point due{};
    std::uint32_t attempts = 0;
    std::size_t refused_connections = 0;
    std::optional<std::size_t> target;
    std::string token;
};

request_client::request_client(boost::asio::io_context& io,
                               experiment const& what,
                               balancer& entries,
                               request_statistics& into,
                               std::string run)
    : io_(io), what_(what), entries_(entries), book_(into),
      run_(std::move(run)), client_(io, connection_settings(what))
{
}

void request_client::set_direct_targets(std::vector<ports::endpoint> targets)
{
    direct_ = std::move(targets);
}

void request_client::begin(time_point start)
{
    start_ = start;
}

void request_client::send(std::size_t stream, time_point due)
{
    if (in_flight_ >= what_.max_in_flight)
    {
        book_.record_unsent();
        return;
    }
    auto const request = std::make_shared<pending>(what_.streams[stream]);
    request->number = ++sent_;
    request->due = due;
    request->token = "T" + run_ + "-" + std::to_string(request->number);
    ++in_flight_;
    attempt(request);
}

ports::endpoint const& request_client::choose(pending& request)
{
    if (request.stream.direct && !direct_.empty())
    {
        direct_turn_ = (direct_turn_ + 1) % direct_.size();
        return direct_[direct_turn_];
    }
    request.target = entries_.pick(request.target);
    return entries_.at(*request.target);
}

void request_client::attempt(pending_ptr const& request)
{
    ++request->attempts;
    auto const left = std::max(
        least_deadline, request->due + request->stream.deadline - clock::now());
    adapters::http::client_call call;
    call.remote_endpoint = choose(*request);
    call.message = message_of(*request, left);
    call.timeout = left + what_.answer_timeout;
    client_.send(std::move(call),
                 [this, request](exchange_status status,
                                 adapters::http::response const& answer)
                 {
                     on_end(request, status, answer);
                 });
}

adapters::http::request request_client::message_of(pending const& request,
                                                   duration left) const
{
    auto const& stream = request.stream;
    adapters::http::request message;
    message.method = stream.method;
    message.target = path_of(stream, request.number);
    message.headers = {
        {"Fuchsia-Customer", stream.customer},
        {"Fuchsia-Class", std::string(ports::name_of(stream.kind))},
        {"Fuchsia-Deadline-Ms",
         std::to_string(
             std::max<std::int64_t>(1, core::common::to_milliseconds(left)))},
        {"Fuchsia-Load-Token", request.token}};
    if (stream.sends_key && stream.method == "POST")
    {
        message.headers.push_back(
            {"Idempotency-Key", run_ + "-" + std::to_string(request.number)});
        message.headers.push_back(
            {"Fuchsia-Attempt", std::to_string(request.attempts)});
    }
    bool const has_body = stream.method == "POST" || stream.method == "PUT";
    message.body = std::string(has_body ? stream.body_bytes : 0, 'b');
    return message;
}

void request_client::on_end(pending_ptr const& request,
                            exchange_status status,
                            adapters::http::response const& answer)
{
    // A connection that was refused carried nothing: any balancer goes on to
    // the next target.
    if (status == exchange_status::not_sent &&
        ++request->refused_connections < entries_.size())
    {
        --request->attempts;
        attempt(request);
        return;
    }
    auto const how = status == exchange_status::answered
                         ? judge(answer, request->token, request->stream.direct)
                         : request_result::lost;
    if (auto const code = answer.header("Fuchsia-Code"))
    {
        book_.record_code(*code);
    }
    if (!try_again(request, how, answer))
    {
        finish(*request, how, answer.status);
    }
}

bool request_client::try_again(pending_ptr const& request,
                               request_result how,
                               adapters::http::response const& answer)
{
    auto const& retries = what_.retries;
    auto const& stream = request->stream;
    bool const repeatable = stream.method != "POST" || stream.sends_key;
    bool const wanted =
        how == request_result::refused ||
        (repeatable &&
         ((how == request_result::unknown && retries.retry_unknown) ||
          (how == request_result::lost && retries.retry_lost)));
    auto const pause =
        retries.honour_retry_after ? pause_after(answer) : duration{};
    if (!wanted || request->attempts >= retries.max_attempts ||
        clock::now() + pause >= request->due + stream.deadline)
    {
        return false;
    }
    auto const later = std::make_shared<adapters::runtime::timer>(io_, pause);
    later->async_wait(
        [this, later, request](auto error)
        {
            if (!error)
            {
                attempt(request);
            }
        });
    return true;
}

void request_client::finish(pending const& request,
                            request_result how,
                            std::uint16_t status)
{
    --in_flight_;
    auto const now = clock::now();
    ended_request ended;
    ended.label = request.stream.label;
    if (what_.phases.size() > 1)
    {
        ended.phase = what_.phases[what_.phase_at(request.due - start_)].name;
    }
    ended.kind = request.stream.kind;
    ended.result = how;
    ended.status = status;
    ended.attempts = request.attempts;
    ended.took = now - request.due;
    ended.late = ended.took > request.stream.deadline;
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now - start_).count();
    book_.record(static_cast<std::size_t>(std::max<std::int64_t>(0, second)),
                 ended);
}

std::size_t request_client::in_flight() const noexcept
{
    return in_flight_;
}

std::uint64_t request_client::sent() const noexcept
{
    return sent_;
}

void request_client::close()
{
    client_.close();
}

} // namespace fuchsia::tools::load
