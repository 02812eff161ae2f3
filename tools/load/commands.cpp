#include "tools/load/commands.hpp"

#include "tools/load/load_run.hpp"
#include "tools/load/plot.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace fuchsia::tools::load
{

namespace
{

using core::common::result_code;

constexpr int failed_check_status = 1;
constexpr int bad_input_status = 2;

int report_error(core::common::failure const& reason)
{
    std::cerr << "fuchsia-load: " << to_string(reason) << '\n';
    return bad_input_status;
}

bool write_file(std::string const& path,
                std::string const& text,
                core::common::failure& reason)
{
    if (path.empty())
    {
        return true;
    }
    std::ofstream file(path, std::ios::binary);
    file << text << std::flush;
    if (!file)
    {
        reason = {result_code::file_unreadable, path, "cannot be written"};
        return false;
    }
    return true;
}

std::optional<target_settings> load_targets(std::string const& path,
                                            core::common::failure& reason)
{
    if (path.empty())
    {
        return target_settings();
    }
    auto const file = adapters::settings::toml_file::open(path, reason);
    if (!file)
    {
        return std::nullopt;
    }
    auto root = file->root();
    auto targets = read_targets(root, {});
    root.reject_unknown_keys();
    reason = file->reason();
    return file->ok() ? std::optional<target_settings>(std::move(targets))
                      : std::nullopt;
}

std::optional<experiment> load_experiment(run_options const& options,
                                          core::common::failure& reason)
{
    auto const targets = load_targets(options.targets, reason);
    auto const file =
        targets
            ? adapters::settings::toml_file::open(options.experiment, reason)
            : nullptr;
    if (!file)
    {
        return std::nullopt;
    }
    auto root = file->root();
    auto spec = read_experiment(root, *targets);
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return spec;
}

void apply(run_options const& options, experiment& spec)
{
    if (options.seconds)
    {
        spec.scale_to(std::chrono::duration_cast<core::common::duration>(
            std::chrono::duration<double>(*options.seconds)));
    }
    spec.seed = options.seed.value_or(spec.seed);
    for (auto& stream : spec.streams)
    {
        stream.rate *= options.rate_factor;
        stream.direct = stream.direct || options.direct;
    }
}

std::optional<counts> counts_of_standin(std::string const& address,
                                        core::common::failure& reason)
{
    if (address.empty())
    {
        return counts();
    }
    auto const endpoint = adapters::http::parse_endpoint(address);
    auto counters =
        endpoint ? fetch_counts(*endpoint) : std::optional<counts>();
    if (!counters)
    {
        reason = {result_code::not_found,
                  address,
                  "the stand-in's counters cannot be read"};
    }
    return counters;
}

} // namespace

int run_experiment(run_options const& options)
{
    core::common::failure reason;
    auto spec = load_experiment(options, reason);
    if (!spec)
    {
        return report_error(reason);
    }
    apply(options, *spec);
    load_run load(std::move(*spec));
    auto const report = load.run(reason);
    if (!report)
    {
        return report_error(reason);
    }
    print_tables(std::cout, *report);
    bool const written =
        write_file(options.summary, to_json(*report), reason) &&
        write_file(options.csv, to_csv(*report), reason) &&
        write_file(options.svg, to_svg(*report), reason);
    if (!written)
    {
        return report_error(reason);
    }
    return report->events_failed == 0 ? EXIT_SUCCESS : failed_check_status;
}

int print_verdict(verdict_options const& options)
{
    core::common::failure reason;
    verdict all;
    for (auto const& path : options.summaries)
    {
        auto const text = adapters::settings::read_file(path, reason);
        if (!text || !all.add_summary(*text))
        {
            return report_error(
                text ? core::common::failure{result_code::malformed_json,
                                             path,
                                             "not a summary of a run"}
                     : reason);
        }
    }
    auto const upstreams = counts_of_standin(options.upstreams, reason);
    auto const workers =
        upstreams ? counts_of_standin(options.workers, reason) : std::nullopt;
    if (!workers)
    {
        return report_error(reason);
    }
    all.add_upstreams(*upstreams);
    all.add_workers(*workers);
    std::cout << to_line(all) << '\n';
    return all.passed() ? EXIT_SUCCESS : failed_check_status;
}

} // namespace fuchsia::tools::load
