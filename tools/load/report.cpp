#include "tools/load/report.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <ostream>

namespace fuchsia::tools::load
{

namespace
{

constexpr double millisecond_us = 1'000.0;

double milliseconds(std::int64_t microseconds)
{
    return static_cast<double>(microseconds) / millisecond_us;
}

template<class... Values>
std::string formatted(char const* format, Values... values)
{
    std::array<char, 512> text{};
    std::snprintf(text.data(), text.size(), format, values...);
    return text.data();
}

unsigned long long to_ull(std::uint64_t value)
{
    return value;
}

void print_header(std::ostream& out, char const* first)
{
    out << formatted("%-38s %9s %9s %9s %9s %9s %9s %8s %6s %6s %6s %6s\n",
                     first,
                     "count",
                     "good",
                     "p50 ms",
                     "p99 ms",
                     "p99.9 ms",
                     "refused",
                     "unknown",
                     "lost",
                     "mixed",
                     "late",
                     "failed");
}

void print_row(std::ostream& out, std::string const& name, tally const& row)
{
    out << formatted("%-38s %9llu %9llu %9.2f %9.2f %9.2f %9llu %8llu %6llu "
                     "%6llu %6llu %6llu\n",
                     name.c_str(),
                     to_ull(row.requests),
                     to_ull(row.good()),
                     milliseconds(row.latency.quantile(0.5)),
                     milliseconds(row.latency.quantile(0.99)),
                     milliseconds(row.latency.quantile(0.999)),
                     to_ull(row.count(request_result::refused)),
                     to_ull(row.count(request_result::unknown)),
                     to_ull(row.count(request_result::lost)),
                     to_ull(row.count(request_result::mixed)),
                     to_ull(row.late),
                     to_ull(row.failed));
}

void print_tasks(std::ostream& out, run_report const& report)
{
    auto const& counters = report.workers;
    out << "jobs: submitted=" << report.jobs.submitted
        << " accepted=" << report.jobs.accepted
        << " refused=" << report.jobs.refused
        << " gave_up=" << report.jobs.unanswered << '\n';
    if (report.jobs.refused + report.jobs.unanswered > 0)
    {
        out << "last refusal of a job: " << report.job_reason << '\n';
    }
    out << "tasks: started=" << count_of(counters, "starts")
        << " finished=" << count_of(counters, "finished")
        << " evicted=" << count_of(counters, "stopped")
        << " checkpoints=" << count_of(counters, "checkpoints")
        << " resumed=" << count_of(counters, "resumed")
        << " failed=" << count_of(counters, "failed")
        << " expired=" << count_of(counters, "expired")
        << " lost=" << count_of(counters, "lost") << '\n';
}

void print_services(std::ostream& out, run_report const& report)
{
    for (auto const& [phase, tails] : report.services)
    {
        if (tails.count() == 0)
        {
            continue;
        }
        out << formatted("services in phase %s: samples=%llu "
                         "median_p99_ms=%.2f worst_hundredth_ms=%.2f "
                         "worst_ms=%.2f\n",
                         phase.c_str(),
                         to_ull(tails.count()),
                         milliseconds(tails.quantile(0.5)),
                         milliseconds(tails.quantile(0.99)),
                         milliseconds(tails.largest()));
    }
}

void print_upstreams(std::ostream& out, run_report const& report)
{
    auto const& counters = report.upstreams;
    auto const requests = report.requests.total().requests;
    double const per_request =
        requests == 0 ? 0.0
                      : static_cast<double>(count_of(counters, "received")) /
                            static_cast<double>(requests);
    out << "upstreams: received=" << count_of(counters, "received")
        << formatted(" per_request=%.3f", per_request)
        << " refused=" << count_of(counters, "refused")
        << " failed=" << count_of(counters, "failed")
        << " overfilled=" << count_of(counters, "overfilled")
        << " doubled=" << count_of(counters, "doubled")
        << " after_leaving=" << count_of(counters, "after_leaving") << '\n';
}

void print_store(std::ostream& out, run_report const& report)
{
    double const seconds = std::max(report.seconds, 0.001);
    out << "store calls a second:";
    for (auto const* const name :
         {"reads", "lists", "watches", "writes", "erases"})
    {
        double const rate =
            static_cast<double>(count_of(report.platform, name)) / seconds;
        out << formatted(" %s=%.1f", name, rate);
    }
    out << " conflicts=" << count_of(report.platform, "conflicts")
        << " over_bound=" << count_of(report.platform, "over_bound") << '\n';
}

boost::json::object json_of(tally const& row)
{
    return {{"requests", row.requests},
            {"attempts", row.attempts},
            {"answered", row.count(request_result::answered)},
            {"refused", row.count(request_result::refused)},
            {"unknown", row.count(request_result::unknown)},
            {"lost", row.count(request_result::lost)},
            {"mixed", row.count(request_result::mixed)},
            {"good", row.good()},
            {"late", row.late},
            {"failed", row.failed},
            {"p50_us", row.latency.quantile(0.5)},
            {"p99_us", row.latency.quantile(0.99)},
            {"p999_us", row.latency.quantile(0.999)},
            {"largest_us", row.latency.largest()},
            {"refusal_p99_us", row.refusal_latency.quantile(0.99)}};
}

template<class Map>
boost::json::object json_of_rows(Map const& rows)
{
    boost::json::object json;
    for (auto const& [name, row] : rows)
    {
        json[name] = json_of(row);
    }
    return json;
}

boost::json::object json_of_counts(counts const& counters)
{
    boost::json::object json;
    for (auto const& [name, count] : counters)
    {
        json[name] = count;
    }
    return json;
}

} // namespace

void print_tables(std::ostream& out, run_report const& report)
{
    auto const& requests = report.requests;
    out << "experiment " << report.name << " seed=" << report.seed
        << formatted(" seconds=%.1f", report.seconds) << '\n';
    print_header(out, "class");
    for (auto const& [name, row] : requests.by_class())
    {
        print_row(out, name, row);
    }
    print_row(out, "all", requests.total());
    out << '\n';
    print_header(out, "stream");
    for (auto const& [name, row] : requests.by_label())
    {
        print_row(out, name, row);
    }
    out << '\n';
    if (!requests.by_phase().empty())
    {
        print_header(out, "phase, stream");
        for (auto const& [name, row] : requests.by_phase())
        {
            print_row(out, name, row);
        }
        out << '\n';
    }
    for (auto const& [code, count] : requests.codes())
    {
        out << "answers with code " << code << ": " << count << '\n';
    }
    if (requests.unsent() > 0)
    {
        out << "not sent by this tool, too many in flight: "
            << requests.unsent() << '\n';
    }
    if (report.events_failed > 0)
    {
        out << "events that did not happen: " << report.events_failed << '\n';
    }
    print_upstreams(out, report);
    print_tasks(out, report);
    print_services(out, report);
    print_store(out, report);
}

std::string to_json(run_report const& report)
{
    auto json = json_of(report.requests.total());
    json["experiment"] = report.name;
    json["seed"] = report.seed;
    json["seconds"] = report.seconds;
    json["events_failed"] = report.events_failed;
    json["unsent"] = report.requests.unsent();
    json["classes"] = json_of_rows(report.requests.by_class());
    json["streams"] = json_of_rows(report.requests.by_label());
    json["phases"] = json_of_rows(report.requests.by_phase());
    json["codes"] = json_of_counts(report.requests.codes());
    boost::json::object services;
    for (auto const& [phase, tails] : report.services)
    {
        services[phase] = {{"samples", tails.count()},
                           {"median_p99_us", tails.quantile(0.5)},
                           {"worst_hundredth_us", tails.quantile(0.99)}};
    }
    json["services"] = std::move(services);
    json["jobs"] = boost::json::object{{"submitted", report.jobs.submitted},
                                       {"accepted", report.jobs.accepted},
                                       {"refused", report.jobs.refused},
                                       {"gave_up", report.jobs.unanswered}};
    json["platform"] = json_of_counts(report.platform);
    json["upstreams"] = json_of_counts(report.upstreams);
    json["workers"] = json_of_counts(report.workers);
    return boost::json::serialize(json);
}

std::string to_csv(run_report const& report)
{
    std::string csv = "second,ended,answered,good,refused,unknown,lost,mixed,"
                      "p50_us,p99_us\n";
    std::size_t second = 0;
    for (auto const& row : report.requests.by_second())
    {
        csv += formatted("%llu,%llu,%llu,%llu,%llu,%llu,%llu,%llu,%lld,%lld\n",
                         to_ull(second),
                         to_ull(row.requests),
                         to_ull(row.count(request_result::answered)),
                         to_ull(row.good()),
                         to_ull(row.count(request_result::refused)),
                         to_ull(row.count(request_result::unknown)),
                         to_ull(row.count(request_result::lost)),
                         to_ull(row.count(request_result::mixed)),
                         static_cast<long long>(row.latency.quantile(0.5)),
                         static_cast<long long>(row.latency.quantile(0.99)));
        ++second;
    }
    return csv;
}

bool verdict::add_summary(std::string_view json)
{
    boost::json::error_code error;
    auto const parsed = boost::json::parse(json, error);
    auto const* const object = error ? nullptr : parsed.if_object();
    if (object == nullptr)
    {
        return false;
    }
    auto const add = [&](std::string_view key, std::uint64_t& total)
    {
        auto const* const value = object->if_contains(key);
        auto const count =
            value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
        total += count;
        return value != nullptr && !error;
    };
    return add("requests", requests) && add("answered", answered) &&
           add("refused", refused) && add("unknown", unknown) &&
           add("lost", lost) && add("mixed", mixed);
}

void verdict::add_upstreams(counts const& counters)
{
    doubled += count_of(counters, "doubled");
    overfilled += count_of(counters, "overfilled");
}

// Two attempts that resume the same checkpoint run the work of one task twice.
void verdict::add_workers(counts const& counters)
{
    overfilled += count_of(counters, "overfilled");
    two_places +=
        count_of(counters, "two_places") + count_of(counters, "resumed_twice");
    late_starts += count_of(counters, "late_starts");
}

bool verdict::passed() const noexcept
{
    return lost + doubled + mixed + overfilled + two_places + late_starts == 0;
}

std::string to_line(verdict const& result)
{
    return formatted("requests=%llu answered=%llu refused=%llu unknown=%llu "
                     "lost=%llu doubled=%llu mixed=%llu overfilled=%llu "
                     "two_places=%llu late_starts=%llu",
                     to_ull(result.requests),
                     to_ull(result.answered),
                     to_ull(result.refused),
                     to_ull(result.unknown),
                     to_ull(result.lost),
                     to_ull(result.doubled),
                     to_ull(result.mixed),
                     to_ull(result.overfilled),
                     to_ull(result.two_places),
                     to_ull(result.late_starts));
}

} // namespace fuchsia::tools::load
