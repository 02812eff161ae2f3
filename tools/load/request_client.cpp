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

constexpr duration min_deadline = std::chrono::milliseconds(1);
// Delay before a retry if the answer does not specify one.
constexpr duration default_pause = std::chrono::milliseconds(100);

adapters::http::client_settings connection_settings(experiment const& spec)
{
    adapters::http::client_settings settings;
    settings.connections_per_endpoint = spec.max_in_flight;
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
    constexpr std::string_view placeholder = "{n}";
    auto path = stream.path;
    auto const at = path.find(placeholder);
    if (at != std::string::npos)
    {
        path.replace(at, placeholder.size(), std::to_string(number));
    }
    return path;
}

} // namespace

struct request_client::pending
{
    explicit pending(request_stream const& spec) : stream(spec)
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
                               experiment const& spec,
                               balancer& entries,
                               request_statistics& statistics,
                               std::string run_id)
    : io_(io), experiment_(spec), entries_(entries), statistics_(statistics),
      run_id_(std::move(run_id)), client_(io, connection_settings(spec))
{
}

void request_client::set_direct_targets(std::vector<ports::endpoint> targets)
{
    direct_targets_ = std::move(targets);
}

void request_client::begin(time_point start)
{
    start_ = start;
}

void request_client::send(std::size_t stream, time_point due)
{
    if (in_flight_ >= experiment_.max_in_flight)
    {
        statistics_.record_unsent();
        return;
    }
    auto const request = std::make_shared<pending>(experiment_.streams[stream]);
    request->number = ++sent_;
    request->due = due;
    request->token = "T" + run_id_ + "-" + std::to_string(request->number);
    ++in_flight_;
    attempt(request);
}

ports::endpoint const& request_client::choose_endpoint(pending& request)
{
    if (request.stream.direct && !direct_targets_.empty())
    {
        direct_index_ = (direct_index_ + 1) % direct_targets_.size();
        return direct_targets_[direct_index_];
    }
    request.target = entries_.pick(request.target);
    return entries_.at(*request.target);
}

void request_client::attempt(pending_ptr const& request)
{
    ++request->attempts;
    auto const remaining = std::max(
        min_deadline, request->due + request->stream.deadline - clock::now());
    adapters::http::client_call call;
    call.remote_endpoint = choose_endpoint(*request);
    call.message = make_message(*request, remaining);
    call.timeout = remaining + experiment_.answer_timeout;
    client_.send(std::move(call),
                 [this, request](exchange_status status,
                                 adapters::http::response const& answer)
                 {
                     on_end(request, status, answer);
                 });
}

adapters::http::request request_client::make_message(pending const& request,
                                                     duration remaining) const
{
    auto const& stream = request.stream;
    adapters::http::request message;
    message.method = stream.method;
    message.target = path_of(stream, request.number);
    message.headers = {
        {"Fuchsia-Customer", stream.customer},
        {"Fuchsia-Class", std::string(ports::name_of(stream.kind))},
        {"Fuchsia-Deadline-Ms",
         std::to_string(std::max<std::int64_t>(
             1, core::common::to_milliseconds(remaining)))},
        {"Fuchsia-Load-Token", request.token}};
    if (stream.sends_key && stream.method == "POST")
    {
        message.headers.push_back(
            {"Idempotency-Key",
             run_id_ + "-" + std::to_string(request.number)});
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
    // A refused connection carried no request, so it is safe to try the next
    // target, as any load balancer does.
    if (status == exchange_status::not_sent &&
        ++request->refused_connections < entries_.size())
    {
        --request->attempts;
        attempt(request);
        return;
    }
    auto const result =
        status == exchange_status::answered
            ? judge(answer, request->token, request->stream.direct)
            : request_result::lost;
    if (auto const code = answer.header("Fuchsia-Code"))
    {
        statistics_.record_code(*code);
    }
    if (!retry(request, result, answer))
    {
        finish(*request, result, answer.status);
    }
}

bool request_client::retry(pending_ptr const& request,
                           request_result result,
                           adapters::http::response const& answer)
{
    auto const& retries = experiment_.retries;
    auto const& stream = request->stream;
    bool const repeatable = stream.method != "POST" || stream.sends_key;
    bool const retryable =
        result == request_result::refused ||
        (repeatable &&
         ((result == request_result::unknown && retries.retry_unknown) ||
          (result == request_result::lost && retries.retry_lost)));
    auto const pause =
        retries.honour_retry_after ? pause_after(answer) : duration{};
    if (!retryable || request->attempts >= retries.max_attempts ||
        clock::now() + pause >= request->due + stream.deadline)
    {
        return false;
    }
    auto const retry_timer =
        std::make_shared<adapters::runtime::timer>(io_, pause);
    retry_timer->async_wait(
        [this, retry_timer, request](auto error)
        {
            if (!error)
            {
                attempt(request);
            }
        });
    return true;
}

void request_client::finish(pending const& request,
                            request_result result,
                            std::uint16_t status)
{
    --in_flight_;
    auto const now = clock::now();
    ended_request ended;
    ended.label = request.stream.label;
    if (experiment_.phases.size() > 1)
    {
        ended.phase =
            experiment_.phases[experiment_.phase_at(request.due - start_)].name;
    }
    ended.kind = request.stream.kind;
    ended.result = result;
    ended.status = status;
    ended.attempts = request.attempts;
    ended.took = now - request.due;
    ended.late = ended.took > request.stream.deadline;
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now - start_).count();
    statistics_.record(
        static_cast<std::size_t>(std::max<std::int64_t>(0, second)), ended);
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
