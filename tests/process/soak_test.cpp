#include "process/child.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

// Short runs of the fault soak: clean ones, and lies that it has to find.
using namespace fuchsia;
using tests::process::child;

namespace
{

struct result
{
    int status = -1;
    std::string violations;
    std::string closing; ///< The last line of its output.
};

std::string text_of(std::filesystem::path const& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

result play(std::string const& name, std::vector<std::string> options)
{
    auto const folder =
        std::filesystem::temp_directory_path() /
        ("fuchsia-soak-" + name + "-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    options.insert(options.end(), {"--out", folder.string()});
    auto const log = folder / "soak.log";
    result made;
    made.status = child("fuchsia-soak", options, log.string()).wait();
    made.violations = text_of(folder / "violations.txt");
    auto const output = text_of(log);
    auto const end = output.find_last_not_of('\n');
    auto const begin = output.rfind('\n', end);
    made.closing = output.substr(begin + 1, end - begin);
    std::filesystem::remove_all(folder);
    return made;
}

class soak_seed : public testing::TestWithParam<int>
{
};

struct lie
{
    char const* name;
    char const* rule;
};

class soak_lie : public testing::TestWithParam<lie>
{
};

} // namespace

// A promise is broken under faults drawn from this seed.
TEST_P(soak_seed, keeps_every_promise)
{
    auto const seed = std::to_string(GetParam());
    auto const seen = play("seed-" + seed, {"--seed", seed, "--seconds", "10"});
    EXPECT_EQ(seen.status, 0) << seen.violations << seen.closing;
    EXPECT_TRUE(seen.closing.starts_with("jobs accepted ")) << seen.closing;
    EXPECT_FALSE(seen.closing.starts_with("jobs accepted 0,")) << seen.closing;
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_seed, testing::Values(1, 2));

// A check that finds nothing, whatever happens.
TEST_P(soak_lie, is_found)
{
    auto const& planted = GetParam();
    auto const seen = play(planted.name,
                           {"--seed",
                            "2",
                            "--seconds",
                            "8",
                            "--instances",
                            "3",
                            "--fault-set",
                            "configuration",
                            "--plant",
                            planted.name});
    EXPECT_EQ(seen.status, 1);
    EXPECT_NE(seen.violations.find(std::string(" ms ") + planted.rule + " "),
              std::string::npos)
        << seen.violations;
}

INSTANTIATE_TEST_SUITE_P(planted,
                         soak_lie,
                         testing::Values(lie{"two_places", "doubled"},
                                         lie{"lost_job", "lost"},
                                         lie{"forgotten_cancel", "cancelled"},
                                         lie{"stale_config", "configuration"},
                                         lie{"ended_twice", "doubled"},
                                         lie{"early_step", "order"}),
                         [](auto const& test)
                         {
                             return std::string(test.param.name);
                         });
