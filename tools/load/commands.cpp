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

constexpr int broken_promise = 1;
constexpr int bad_input = 2;

int complain(core::common::failure const& reason)
{
    std::cerr << "fuchsia-load: " << to_string(reason) << '\n';
    return bad_input;
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
        reason = {result_code::file_unreadable, path, "can't be written"};
        return false;
    }
    return true;
}

std::optional<target_settings> targets_from(std::string const& path,
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

std::optional<experiment> experiment_from(run_options const& options,
                                          core::common::failure& reason)
{
    auto const targets = targets_from(options.targets, reason);
    auto const file =
        targets
            ? adapters::settings::toml_file::open(options.experiment, reason)
            : nullptr;
    if (!file)
    {
        return std::nullopt;
    }
    auto root = file->root();
    auto what = read_experiment(root, *targets);
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return what;
}

void apply(run_options const& options, experiment& what)
{
    if (options.seconds)
    {
        what.scale_to(std::chrono::duration_cast<core::common::duration>(
            std::chrono::duration<double>(*options.seconds)));
    }
    what.seed = options.seed.value_or(what.seed);
    for (auto& stream : what.streams)
    {
        stream.rate *= options.rate_factor;
        stream.direct = stream.direct || options.direct;
    }
}

std::optional<counts> counts_of_standin(std::string const& where,
                                        core::common::failure& reason)
{
    if (where.empty())
    {
        return counts();
    }
    auto const endpoint = adapters::http::parse_endpoint(where);
    auto books = endpoint ? fetch_counts(*endpoint) : std::optional<counts>();
    if (!books)
    {
        reason = {result_code::not_found, where, "its books can't be read"};
    }
    return books;
}

} // namespace

int run_experiment(run_options const& options)
{
    core::common::failure reason;
    auto what = experiment_from(options, reason);
    if (!what)
    {
        return complain(reason);
    }
    apply(options, *what);
    load_run load(std::move(*what));
    auto const report = load.run(reason);
    if (!report)
    {
        return complain(reason);
    }
    print_tables(std::cout, *report);
    bool const written =
        write_file(options.summary, to_json(*report), reason) &&
        write_file(options.csv, to_csv(*report), reason) &&
        write_file(options.svg, to_svg(*report), reason);
    if (!written)
    {
        return complain(reason);
    }
    return report->events_failed == 0 ? EXIT_SUCCESS : broken_promise;
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
            return complain(
                text ? core::common::failure{result_code::malformed_json,
                                             path,
                                             "no summary of a run"}
                     : reason);
        }
    }
    auto const upstreams = counts_of_standin(options.upstreams, reason);
    auto const workers =
        upstreams ? counts_of_standin(options.workers, reason) : std::nullopt;
    if (!workers)
    {
        return complain(reason);
    }
    all.add_upstreams(*upstreams);
    all.add_workers(*workers);
    std::cout << to_line(all) << '\n';
    return all.passed() ? EXIT_SUCCESS : broken_promise;
}

} // namespace fuchsia::tools::load
