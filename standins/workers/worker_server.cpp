#include "standins/workers/worker_server.hpp"

#include "standins/workers/worker_calls.hpp"

#include <utility>

namespace fuchsia::standins::workers
{

namespace
{

using core::common::clock;
using core::common::json_reader;

constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t conflict = 409;
constexpr std::uint16_t unavailable = 503;
constexpr std::size_t max_parked = 20'000;
constexpr core::common::duration tick_interval = std::chrono::milliseconds(100);
constexpr std::int64_t max_report_lag_ms = 600'000;
constexpr double max_noise = 1'000;
constexpr std::string_view workers_path = "/v1/workers/";

struct pool_caller
{
    worker_pool& pool;
    std::size_t worker;
    core::common::time_point now;

    call_result operator()(ports::worker_start const& call) const
    {
        return pool.start(now, worker, call);
    }
    call_result operator()(ports::worker_renew const& call) const
    {
        return pool.renew(now, worker, call);
    }
    call_result operator()(ports::worker_throttle const& call) const
    {
        return pool.throttle(now, worker, call);
    }
    call_result operator()(ports::worker_checkpoint const& call) const
    {
        return pool.checkpoint(now, worker, call);
    }
    call_result operator()(ports::worker_stop const& call) const
    {
        return pool.stop(now, worker, call);
    }
};

std::optional<bool>
flag(json_reader& reader, boost::json::object const& json, std::string_view key)
{
    bool const value = reader.flag_or(key, false);
    return json.contains(key) ? std::optional<bool>(value) : std::nullopt;
}

} // namespace

worker_server::worker_server(boost::asio::io_context& io,
                             worker_server_settings settings)
    : io_(io), settings_(std::move(settings)),
      pool_(settings_.pool, clock::now()),
      server_(io,
              {},
              [this](request const& message, responder const& respond)
              {
                  handle(message, respond);
              }),
      timer_(io)
{
}

std::optional<ports::endpoint>
worker_server::listen(core::common::failure& reason)
{
    auto endpoint = server_.listen(settings_.listen, reason);
    if (!endpoint)
    {
        return std::nullopt;
    }
    bound_endpoint_ = *endpoint;
    tick();
    if (settings_.platform)
    {
        registrar_.emplace(io_,
                           *settings_.platform,
                           std::chrono::seconds(1),
                           1,
                           [this](std::size_t)
                           {
                               return instance_registration{
                                   "worker-agent-1",
                                   "worker-agent",
                                   bound_endpoint_,
                                   "",
                                   {{"state", "live"}}};
                           });
        registrar_->start();
    }
    return endpoint;
}

void worker_server::stop()
{
    timer_.cancel();
    if (registrar_)
    {
        registrar_->stop();
    }
    parked_.clear();
    server_.close();
}

void worker_server::handle(request const& message, responder const& respond)
{
    auto const target = parse_target(message.target);
    if (!target)
    {
        respond(error_response(bad_request, "malformed target"));
    }
    else if (target->path.starts_with("/control/"))
    {
        respond(handle_control(*target, message));
    }
    else if (target->path == "/v1/workers" && message.method == "GET")
    {
        respond(list());
    }
    else if (target->path == "/v1/reports" && message.method == "GET")
    {
        respond(reports(target->text("rack")));
    }
    else if (auto const path = target->after(workers_path);
             path && message.method == "POST")
    {
        handle_worker(*path, message, respond);
    }
    else
    {
        respond(error_response(not_found, "unknown path"));
    }
}

void worker_server::handle_worker(std::string_view path,
                                  request const& message,
                                  responder const& respond)
{
    auto const slash = path.find('/');
    auto const worker = pool_.find(path.substr(0, slash));
    if (slash == std::string_view::npos || !worker)
    {
        respond(error_response(conflict, "no such worker"));
        return;
    }
    if (pool_.crashed(*worker))
    {
        return; // Dropping the responder closes the connection.
    }
    auto const operation = path.substr(slash + 1);
    if (!pool_.frozen(*worker))
    {
        respond(call(*worker, operation, message.body));
        return;
    }
    if (parked_.size() >= max_parked)
    {
        respond(error_response(unavailable,
                               "too many calls wait for frozen workers"));
        return;
    }
    parked_.push_back({*worker, std::string(operation), message.body, respond});
}

worker_server::response worker_server::call(std::size_t worker,
                                            std::string_view operation,
                                            std::string const& body)
{
    core::common::failure reason;
    auto const parsed = parse_call(operation, body, reason);
    if (!parsed)
    {
        return error_response(bad_request, to_string(reason));
    }
    auto const result =
        std::visit(pool_caller{pool_, worker, clock::now()}, *parsed);
    auto answer = json_response(to_json(result));
    answer.status = result.done ? answer.status : conflict;
    return answer;
}

worker_server::response worker_server::list() const
{
    boost::json::array listed;
    for (auto const& worker : pool_.list())
    {
        listed.push_back(to_json(worker));
    }
    return json_response(listed);
}

worker_server::response worker_server::reports(std::string_view rack) const
{
    boost::json::array listed;
    for (auto const& report : pool_.reports(clock::now(), rack))
    {
        listed.push_back(to_json(report));
    }
    return json_response(listed);
}

worker_server::response
worker_server::handle_control(request_target const& target,
                              request const& message)
{
    if (target.path == "/control/counts" && message.method == "GET")
    {
        return counters_answer();
    }
    if (target.path == "/control/faults" && message.method == "POST")
    {
        return set_faults(message.body);
    }
    if (auto const name = target.after("/control/data-centres/");
        name && message.method == "POST")
    {
        return set_data_centre(*name, message.body);
    }
    return error_response(not_found, "unknown control path");
}

worker_server::response worker_server::set_faults(std::string const& body)
{
    core::common::failure reason;
    auto const json = core::common::parse_json_object(body, "faults", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "faults");
    reader.allow_only(
        {"worker", "fail_starts", "freeze", "gone", "report_lag_ms", "noise"});
    auto const id = reader.text("worker");
    worker_faults faults;
    faults.fail_starts = flag(reader, *json, "fail_starts");
    faults.freeze = flag(reader, *json, "freeze");
    faults.crashed = flag(reader, *json, "gone");
    auto const lag =
        reader.integer_or("report_lag_ms", 0, 0, max_report_lag_ms);
    auto const noise = reader.number_or("noise", 0.0, 0.0, max_noise);
    if (json->contains("report_lag_ms"))
    {
        faults.report_lag = std::chrono::milliseconds(lag);
    }
    if (json->contains("noise"))
    {
        faults.noise = noise;
    }
    if (!reader.ok())
    {
        return error_response(bad_request, to_string(reader.reason()));
    }
    if (!pool_.set_faults(clock::now(), id, faults))
    {
        return error_response(not_found, "no such worker");
    }
    answer_parked();
    return json_response(boost::json::object{{"set", true}});
}

void worker_server::answer_parked()
{
    auto calls = std::exchange(parked_, {});
    for (auto& parked : calls)
    {
        if (pool_.crashed(parked.worker))
        {
            continue;
        }
        if (pool_.frozen(parked.worker))
        {
            parked_.push_back(std::move(parked));
            continue;
        }
        parked.respond(call(parked.worker, parked.operation, parked.body));
    }
}

worker_server::response worker_server::set_data_centre(std::string_view name,
                                                       std::string const& body)
{
    core::common::failure reason;
    auto const json =
        core::common::parse_json_object(body, "data_centre", reason);
    if (!json)
    {
        return error_response(bad_request, to_string(reason));
    }
    json_reader reader(*json, "data_centre");
    reader.allow_only({"state"});
    auto const state = reader.text("state");
    if (!reader.ok() || (state != "out" && state != "in"))
    {
        return error_response(bad_request, "state must be out or in");
    }
    pool_.set_data_centre_out_of_service(
        clock::now(), std::string(name), state == "out");
    return json_response(boost::json::object{{"set", true}});
}

worker_server::response worker_server::counters_answer() const
{
    auto const& counts = pool_.counters();
    return counters_response({{"starts", counts.starts},
                              {"refused", counts.refused},
                              {"finished", counts.finished},
                              {"failed", counts.failed},
                              {"stopped", counts.stopped},
                              {"checkpoints", counts.checkpoints},
                              {"resumed", counts.resumed},
                              {"expired", counts.expired},
                              {"lost", counts.lost},
                              {"running", counts.running},
                              {"overfilled", counts.over_capacity},
                              {"two_places", counts.concurrent_attempts},
                              {"late_starts", counts.late_starts},
                              {"resumed_twice", counts.resumed_twice}});
}

void worker_server::tick()
{
    pool_.tick(clock::now());
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                tick();
            }
        });
}

} // namespace fuchsia::standins::workers
