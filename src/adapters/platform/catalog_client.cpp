#include "adapters/platform/catalog_client.hpp"

#include "adapters/logging/logger.hpp"
#include "adapters/platform/listed_objects.hpp"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace fuchsia::adapters::platform
{

namespace
{

namespace json = boost::json;

constexpr core::common::duration call_timeout = std::chrono::seconds(2);

std::string text_in(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(key);
    auto const* const text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

// Reads a number from service metadata, where the catalog stores every value as
// a string; 0 if it is missing or malformed.
std::uint32_t count_in(json::object const& object, std::string_view key)
{
    auto const text = text_in(object, key);
    std::uint32_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

std::optional<ports::upstream_instance>
read_upstream(json::object const& object, core::common::failure& reason)
{
    ports::upstream_instance result;
    result.id = text_in(object, "ServiceID");
    result.data_centre = text_in(object, "Datacenter");
    result.remote_endpoint.address = text_in(object, "ServiceAddress");
    auto const* const port = object.if_contains("ServicePort");
    json::error_code error;
    result.remote_endpoint.port = port == nullptr
                                      ? std::uint16_t{0}
                                      : port->to_number<std::uint16_t>(error);
    auto const* const meta = object.if_contains("ServiceMeta");
    if (meta == nullptr || !meta->is_object() || result.id.empty() ||
        result.remote_endpoint.address.empty() ||
        result.remote_endpoint.port == 0)
    {
        reason = {core::common::result_code::wrong_type,
                  "upstream",
                  "an id, address, port and metadata are expected"};
        return std::nullopt;
    }
    auto const& fields = meta->as_object();
    result.state = text_in(fields, "state") == "leaving"
                       ? ports::instance_state::leaving
                       : ports::instance_state::live;
    result.slots = count_in(fields, "slots");
    result.connections = count_in(fields, "connections");
    result.slots_in_use = count_in(fields, "slots_in_use");
    result.report_age =
        std::chrono::milliseconds(count_in(fields, "report_age_ms"));
    return result;
}

std::optional<std::string> read_name(json::object const& object,
                                     core::common::failure&)
{
    return text_in(object, "ServiceID");
}

} // namespace

std::optional<std::vector<ports::upstream_instance>>
parse_upstreams(std::string_view body, core::common::failure& ignored)
{
    return parse_objects<ports::upstream_instance>(
        body, "upstream", read_upstream, ignored);
}

std::optional<std::vector<std::string>>
parse_names(std::string_view body, core::common::failure& ignored)
{
    ignored = {};
    auto names = parse_objects<std::string>(body, "member", read_name, ignored);
    bool const complete = ignored.code == core::common::result_code::ok;
    return complete ? std::move(names) : std::nullopt;
}

catalog_client::catalog_client(boost::asio::io_context& io,
                               ports::endpoint platform_endpoint,
                               core::common::duration interval,
                               std::string member_service,
                               bool poll_upstreams,
                               handler on_list)
    : platform_endpoint_(std::move(platform_endpoint)), interval_(interval),
      member_service_(std::move(member_service)),
      poll_upstreams_(poll_upstreams), on_list_(std::move(on_list)),
      client_(io, {}), timer_(io)
{
}

void catalog_client::start()
{
    poll();
}

// A list is time-stamped with the time of its request. The response may wait in
// this process for any time, and a later time stamp would make stale entries
// look fresh.
void catalog_client::poll()
{
    auto const requested_at = core::common::clock::now();
    fetch(member_service_,
          [this, requested_at](http::response const& answer)
          {
              core::common::failure ignored;
              auto names = parse_names(answer.body, ignored);
              log_ignored("members", ignored);
              if (!names)
              {
                  schedule_poll();
                  return;
              }
              ports::instance_list list;
              list.members = std::move(*names);
              if (poll_upstreams_)
              {
                  read_upstreams(std::move(list));
                  return;
              }
              list.received = requested_at;
              on_list_(std::move(list));
              schedule_poll();
          });
}

void catalog_client::read_upstreams(ports::instance_list list)
{
    auto const requested_at = core::common::clock::now();
    fetch("upstream",
          [this, requested_at, list = std::move(list)](
              http::response const& answer) mutable
          {
              core::common::failure ignored;
              auto upstreams = parse_upstreams(answer.body, ignored);
              log_ignored("upstreams", ignored);
              if (upstreams)
              {
                  list.upstreams = std::move(*upstreams);
                  list.received = requested_at;
                  on_list_(std::move(list));
              }
              schedule_poll();
          });
}

void catalog_client::log_ignored(std::string_view list,
                                 core::common::failure const& ignored)
{
    if (ignored.code != core::common::result_code::ok &&
        seen_failures_.is_new(list, ignored))
    {
        logging::write(ports::severity::warning,
                       "catalog_entry_ignored",
                       {{"list", std::string(list)},
                        {"why", core::common::to_string(ignored)}});
    }
}

void catalog_client::schedule_poll()
{
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                poll();
            }
        });
}

void catalog_client::fetch(std::string const& service,
                           std::function<void(http::response const&)> on_answer)
{
    http::client_call call;
    call.remote_endpoint = platform_endpoint_;
    call.message.method = "GET";
    call.message.target = "/v1/catalog/service/" + service;
    call.timeout = call_timeout;
    client_.send(
        std::move(call),
        [this, on_answer = std::move(on_answer)](ports::exchange_status status,
                                                 http::response const& answer)
        {
            if (status == ports::exchange_status::answered &&
                answer.status == 200)
            {
                on_answer(answer);
                return;
            }
            schedule_poll();
        });
}

} // namespace fuchsia::adapters::platform
