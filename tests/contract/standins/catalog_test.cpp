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

TEST(catalog, removes_entries_that_are_not_registered_again)
{
    catalog listed;
    listed.register_entry(start, upstream("a"));
    listed.register_entry(start, upstream("b"));
    listed.register_entry(start + 3s, upstream("b"));
    listed.tick(start + 5s);
    auto const remaining_entries = listed.list(start + 5s, "upstream");
    ASSERT_EQ(remaining_entries.size(), 1U);
    EXPECT_EQ(remaining_entries[0].id, "b");
    EXPECT_EQ(remaining_entries[0].meta.at("report_age_ms"), "2005");
    EXPECT_TRUE(listed.list(start + 5s, "fuchsia-entry").empty());
}

TEST(catalog, lists_registrations_as_they_were_before_the_lag)
{
    // An upstream starts to leave while the lagging list still shows it as
    // live, so callers that rely on the list send it requests that it refuses.
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

TEST(catalog, a_frozen_list_is_unchanged_until_it_is_unfrozen)
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

TEST(catalog, an_overridden_state_replaces_the_registered_one)
{
    struct row
    {
        listed_state state;
        std::size_t listed;
        std::string expected_state;
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
        auto const visible = listed.list(start, "upstream");
        ASSERT_EQ(visible.size(), row.listed);
        if (!visible.empty())
        {
            EXPECT_EQ(visible[0].meta.at("state"), row.expected_state);
        }
    }
}

TEST(catalog, refuses_new_entries_beyond_its_limit)
{
    catalog listed({5s, 2});
    EXPECT_TRUE(listed.register_entry(start, upstream("a")));
    EXPECT_TRUE(listed.register_entry(start, upstream("b")));
    EXPECT_FALSE(listed.register_entry(start, upstream("c")));
    EXPECT_TRUE(listed.register_entry(start, upstream("a")));
}

} // namespace fuchsia::standins::platform
