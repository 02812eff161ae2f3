#include "standins/platform/catalog.hpp"

#include <gtest/gtest.h>

namespace fuchsia::standins::platform
{

namespace
{

using namespace std::chrono_literals;

constexpr core::common::time_point start(1h);

catalog_entry upstream(std::string id, std::string state = "live")
{
    return {std::move(id),
            "upstream",
            "127.0.0.1",
            80,
            "kochi-a",
            {{"state", std::move(state)}, {"report_age_ms", "5"}},
            {}};
}

} // namespace

TEST(catalog, drops_what_is_not_registered_again)
{
    catalog listed;
    listed.register_entry(start, upstream("a"));
    listed.register_entry(start, upstream("b"));
    listed.register_entry(start + 3s, upstream("b"));
    listed.tick(start + 5s);
    auto const left = listed.list(start + 5s, "upstream");
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left[0].id, "b");
    EXPECT_EQ(left[0].meta.at("report_age_ms"), "2005");
    EXPECT_TRUE(listed.list(start + 5s, "fuchsia-entry").empty());
}

TEST(catalog, lists_what_was_true_the_lag_ago)
{
    // An upstream leaves, and the list goes on calling it live for a while:
    // callers that trust the list send it work that it won't take.
    catalog listed;
    listed.set_lag(2s);
    listed.register_entry(start, upstream("a"));
    listed.tick(start);
    EXPECT_TRUE(listed.list(start + 1s, "upstream").empty());
    listed.register_entry(start + 2s, upstream("a", "leaving"));
    listed.tick(start + 2s);
    auto const old = listed.list(start + 3s, "upstream");
    ASSERT_EQ(old.size(), 1U);
    EXPECT_EQ(old[0].meta.at("state"), "live");
    listed.tick(start + 4s);
    EXPECT_EQ(listed.list(start + 4s, "upstream")[0].meta.at("state"),
              "leaving");
}

TEST(catalog, a_frozen_list_stays_until_it_thaws)
{
    catalog listed;
    listed.register_entry(start, upstream("a"));
    listed.set_frozen(true);
    listed.deregister("a");
    listed.register_entry(start, upstream("b"));
    EXPECT_EQ(listed.list(start, "upstream").at(0).id, "a");
    listed.set_frozen(false);
    EXPECT_EQ(listed.list(start, "upstream").at(0).id, "b");
}

TEST(catalog, an_override_stands_over_the_registration)
{
    struct row
    {
        listed_state state;
        std::size_t listed;
        std::string shown;
    };
    std::vector<row> const rows{
        {listed_state::live, 1, "live"},
        {listed_state::leaving, 1, "leaving"},
        {listed_state::gone, 0, ""},
    };
    for (auto const& row : rows)
    {
        catalog listed;
        listed.override_state("a", row.state);
        listed.register_entry(start, upstream("a"));
        auto const shown = listed.list(start, "upstream");
        ASSERT_EQ(shown.size(), row.listed);
        if (!shown.empty())
        {
            EXPECT_EQ(shown[0].meta.at("state"), row.shown);
        }
    }
}

TEST(catalog, refuses_entries_beyond_its_bound)
{
    catalog listed({5s, 2});
    EXPECT_TRUE(listed.register_entry(start, upstream("a")));
    EXPECT_TRUE(listed.register_entry(start, upstream("b")));
    EXPECT_FALSE(listed.register_entry(start, upstream("c")));
    EXPECT_TRUE(listed.register_entry(start, upstream("a")));
}

} // namespace fuchsia::standins::platform
