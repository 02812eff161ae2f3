#include "process/child.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

// Short runs of fuchsia-soak: runs without violations, and runs with a planted
// violation that it must report.
using namespace fuchsia;
using tests::process::child;

namespace
{

struct soak_result
{
    int status = -1;
    std::string violations;
    std::string last_line; ///< Last line of the output.
};

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

soak_result run_soak(std::string const& name, std::vector<std::string> options)
{
    auto const folder =
        std::filesystem::temp_directory_path() /
        ("fuchsia-soak-" + name + "-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    options.insert(options.end(), {"--out", folder.string()});
    auto const log = folder / "soak.log";
    soak_result result;
    result.status = child("fuchsia-soak", options, log.string()).wait();
    result.violations = read_file(folder / "violations.txt");
    auto const output = read_file(log);
    auto const end = output.find_last_not_of('\n');
    auto const begin = output.rfind('\n', end);
    result.last_line = output.substr(begin + 1, end - begin);
    std::filesystem::remove_all(folder);
    return result;
}

class soak_seed : public testing::TestWithParam<int>
{
};

struct planted_violation
{
    char const* name;
    char const* rule;
    char const* seconds = "8";
    char const* faults = "configuration";
};

class soak_planted_violation : public testing::TestWithParam<planted_violation>
{
};

} // namespace

// Guards against a guarantee that is violated under the random faults of a
// seed.
TEST_P(soak_seed, run_reports_no_violation)
{
    auto const seed = std::to_string(GetParam());
    auto const result =
        run_soak("seed-" + seed, {"--seed", seed, "--seconds", "10"});
    EXPECT_EQ(result.status, 0) << result.violations << result.last_line;
    EXPECT_TRUE(result.last_line.starts_with("jobs accepted "))
        << result.last_line;
    EXPECT_FALSE(result.last_line.starts_with("jobs accepted 0,"))
        << result.last_line;
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_seed, testing::Values(1, 2));

// Guards against orders that are carried out by an incarnation of a worker for
// which they were not meant.
TEST(soak, late_orders_beside_restarts_violate_nothing)
{
    auto const result = run_soak("late-orders",
                                 {"--seed",
                                  "2",
                                  "--seconds",
                                  "18",
                                  "--instances",
                                  "3",
                                  "--fault-set",
                                  "late_orders,same_id_restart"});
    EXPECT_EQ(result.status, 0) << result.violations << result.last_line;
}

// Guards against a check of the soak that never reports a violation.
TEST_P(soak_planted_violation, violation_is_reported)
{
    auto const& planted = GetParam();
    auto const result = run_soak(planted.name,
                                 {"--seed",
                                  "2",
                                  "--seconds",
                                  planted.seconds,
                                  "--instances",
                                  "3",
                                  "--fault-set",
                                  planted.faults,
                                  "--plant",
                                  planted.name});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.violations.find(std::string(" ms ") + planted.rule + " "),
              std::string::npos)
        << result.violations;
}

INSTANTIATE_TEST_SUITE_P(
    planted,
    soak_planted_violation,
    testing::Values(
        planted_violation{"two_places", "doubled"},
        planted_violation{"lost_job", "lost"},
        planted_violation{"forgotten_cancel", "cancelled"},
        planted_violation{"stale_config", "configuration"},
        planted_violation{"ended_twice", "doubled"},
        planted_violation{"early_step", "order"},
        planted_violation{"crash_again", "crashes", "12"},
        planted_violation{"unfinished_takeover", "owner", "4"},
        planted_violation{"hidden_shrink", "capacity", "16", "shrink"},
        planted_violation{"dropped_end",
                          "doubled",
                          "30",
                          "store_outage,owner_loss,long_worker_cut"},
        planted_violation{
            "ignored_fence", "doubled", "18", "late_orders,same_id_restart"}),
    [](auto const& test)
    {
        return std::string(test.param.name);
    });
