#include "core/pool/failed_placements.hpp"
#include "core/pool/fleet.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::core::pool;
namespace ports = fuchsia::ports;

namespace
{

std::string const service_name = "s";

step make_step(std::int64_t millicores)
{
    step result;
    result.declared = {millicores, 100, 0};
    return result;
}

step make_gang(std::uint32_t count, std::int64_t millicores)
{
    auto result = make_step(millicores);
    result.gang = true;
    result.count = count;
    return result;
}

bool rules_out(step const& failed, step const& requested)
{
    failed_placements placements;
    placements.add(failed, service_name);
    return placements.rule_out(requested, service_name);
}

worker_changes list_of(std::vector<ports::pool_worker> workers)
{
    worker_changes changes;
    changes.complete = true;
    changes.present = std::move(workers);
    return changes;
}

ports::pool_worker make_worker(char const* id,
                               ports::resources capacity,
                               std::vector<std::string> labels)
{
    ports::pool_worker result;
    result.id = id;
    result.service = service_name;
    result.capacity = capacity;
    result.labels = std::move(labels);
    return result;
}

} // namespace

// Guards against steps that wait beside free workers because another step that
// needs more, or something else, has found none.
TEST(pool_failed_placements, rule_out_only_what_needs_at_least_as_much)
{
    auto labelled = make_step(1000);
    labelled.required_label = "a";
    auto limited = make_step(1000);
    limited.max_per_worker = 1;
    EXPECT_TRUE(rules_out(make_step(1000), make_step(1000)));
    EXPECT_TRUE(rules_out(make_step(1000), make_step(2000)));
    EXPECT_FALSE(rules_out(make_step(2000), make_step(1000)));
    EXPECT_FALSE(rules_out(labelled, make_step(1000)));
    EXPECT_FALSE(rules_out(limited, make_step(1000)));
    failed_placements of_another_service;
    std::string const other = "t";
    of_another_service.add(make_step(1000), other);
    EXPECT_FALSE(of_another_service.rule_out(make_step(1000), service_name));
}

// Guards against single tasks, and smaller gangs, that wait because a gang has
// found no room for all of its tasks.
TEST(pool_failed_placements, a_gang_rules_out_gangs_of_at_least_its_size)
{
    EXPECT_TRUE(rules_out(make_gang(3, 1000), make_gang(4, 1000)));
    EXPECT_FALSE(rules_out(make_gang(3, 1000), make_gang(2, 1000)));
    EXPECT_FALSE(rules_out(make_gang(3, 1000), make_step(1000)));
    EXPECT_TRUE(rules_out(make_step(1000), make_gang(2, 1000)));
    auto of_one_rack = make_gang(3, 1000);
    of_one_rack.same_rack = true;
    EXPECT_TRUE(rules_out(of_one_rack, make_gang(3, 1000)));
    EXPECT_TRUE(rules_out(make_gang(3, 1000), of_one_rack));
}

// Guards against work that is never tried although a listed worker may hold it,
// and against a list that changes unnoticed.
TEST(pool_fleet, knows_what_no_worker_can_hold)
{
    fleet workers{fleet_settings{}};
    auto labelled = make_step(4000);
    labelled.required_label = "a";
    EXPECT_FALSE(workers.may_hold(labelled, service_name));
    workers.take_list(list_of({make_worker("w0", {8000, 1000, 0}, {"b"}),
                               make_worker("w1", {4000, 50, 0}, {"a"})}));
    EXPECT_FALSE(workers.may_hold(labelled, service_name));
    EXPECT_TRUE(workers.may_hold(make_step(8000), service_name));
    EXPECT_FALSE(workers.may_hold(make_step(8001), service_name));
    EXPECT_FALSE(workers.may_hold(make_step(1000), "t"));
    auto filling = make_step(9000);
    filling.best_effort = true;
    EXPECT_TRUE(workers.may_hold(filling, service_name));
    workers.take_list(list_of({make_worker("w1", {4000, 100, 0}, {"a"})}));
    EXPECT_TRUE(workers.may_hold(labelled, service_name));
    EXPECT_FALSE(workers.may_hold(make_step(8000), service_name));
}
