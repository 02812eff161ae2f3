#include "adapters/settings/pool_settings.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

using namespace fuchsia;
using namespace std::chrono_literals;

namespace
{

std::string filled_template()
{
    std::ifstream file(std::string(FUCHSIA_SOURCE_DIR) + "/platform/pool.toml");
    std::stringstream text;
    text << file.rdbuf();
    auto filled = text.str();
    std::map<std::string, std::string> const values{
        {"{{nodeName}}", "edge-a-1"},
        {"{{zone}}", "a"},
        {"{{listen.frontend}}", "10.1.0.13:8161"},
        {"{{listen.readiness}}", "10.1.0.13:8167"},
        {"{{ip}}", "10.1.0.13"},
        {"{{platform.address}}", "10.200.1.7:8169"},
        {"{{advice}}", ""},
        {"{{platform.minTtlMs}}", "1500"},
        {"{{bounds.maxHoldMs}}", "3000"},
        {"{{bounds.graceS}}", "6"},
        {"{{bounds.status_s}}", "120"},
        {"{{bounds.impactMs}}", "2000"},
        {"{{bounds.visible_ms}}", "2000"},
        {"{{bounds.drainMs}}", "3000"},
        {"{{bounds.configApplyMs}}", "2000"},
        {"{{bounds.cancel_ms}}", "3000"},
        {"{{platform.historyS}}", "20"},
        {"{{limits.cpuShare}}", "0.069"},
        {"{{limits.linkMbps}}", "10"}};
    for (auto const& [name, value] : values)
    {
        for (auto position = filled.find(name); position != std::string::npos;
             position = filled.find(name))
        {
            filled.replace(position, name.size(), value);
        }
    }
    return filled;
}

} // namespace

// Guards the settings derived from the bounds that the platform fills into the
// template.
TEST(pool_settings, the_template_gives_settings_within_the_platform_bounds)
{
    core::common::failure reason;
    auto const file = adapters::settings::parse_pool_settings(
        filled_template(), "pool.toml", reason);
    ASSERT_TRUE(file) << to_string(reason);
    EXPECT_EQ(file->name, "edge-a-1");
    EXPECT_EQ(file->store.port, 8169);
    EXPECT_EQ(file->pool.claim.ttl, 1500ms);
    EXPECT_EQ(file->pool.owner.workers.lease, 3000ms);
    EXPECT_EQ(file->pool.owner.colocation.stop_after, 1000ms);
    EXPECT_EQ(file->pool.request_handler.count_age_limit, 3000ms);
    EXPECT_EQ(file->pool.owner.list_age_limit, 1875ms);
    EXPECT_EQ(file->pool.owner.configuration_age_limit, 1950ms);
    EXPECT_EQ(file->pool.request_handler.configuration_age_limit, 1950ms);
    EXPECT_EQ(file->pool.owner.jobs_age_limit, 2600ms);
    EXPECT_LE(file->pool.stop_limit, 4500ms);
    // The smaller share of 0.069 of 0.5 cores and 10 of 200 Mbit/s.
    EXPECT_NEAR(file->pool.claim.size, 0.05, 1e-9);
    EXPECT_EQ(file->machine_memory_mb, 0U);
    EXPECT_EQ(file->machine_descriptors, 4100U);
}

// Guards the settings of the short-job reserve; a window out of range is
// rejected by name.
TEST(pool_settings, the_short_job_reserve_can_be_configured)
{
    core::common::failure reason;
    auto const text = filled_template() +
                      "\n[guaranteed_room]\nenabled = false\n"
                      "window_ms = 4000\nenough = 0.5\n";
    auto const file =
        adapters::settings::parse_pool_settings(text, "pool.toml", reason);
    ASSERT_TRUE(file) << to_string(reason);
    EXPECT_FALSE(file->pool.owner.short_job_reserve.enabled);
    EXPECT_EQ(file->pool.owner.short_job_reserve.window, 4000ms);
    EXPECT_FALSE(adapters::settings::parse_pool_settings(
        filled_template() + "\n[guaranteed_room]\nwindow_ms = 10\n",
        "pool.toml",
        reason));
    EXPECT_NE(to_string(reason).find("window_ms"), std::string::npos);
}

// If a misspelt key were ignored, the default would stay in force unnoticed.
TEST(pool_settings, an_unknown_key_is_rejected_with_its_name_and_line)
{
    core::common::failure reason;
    auto const text = filled_template() + "\n[sharing]\nkep = 1.0\n";
    EXPECT_FALSE(
        adapters::settings::parse_pool_settings(text, "pool.toml", reason));
    EXPECT_NE(to_string(reason).find("kep"), std::string::npos);
    EXPECT_NE(to_string(reason).find("pool.toml:"), std::string::npos);
}
