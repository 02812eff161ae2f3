#include "planner_simulation.hpp"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace fuchsia;
using namespace fuchsia::tests::unit::tasks;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t walks_in_ci = 400;
constexpr int steps = 30;

/// Faults, operators and customers, at random, over a few planners.
class planner_walk
{
public:
    explicit planner_walk(std::uint64_t seed)
        : random_(seed), system_(options(seed))
    {
    }

    /// What went wrong; empty where nothing did.
    std::string run()
    {
        system_.put_contract("one", {20000, 100000, 0}, 600);
        system_.put_contract("two", {30000, 100000, 0});
        for (std::size_t slot = 0; slot < 3; ++slot)
        {
            system_.start(slot);
        }
        system_.run(8s);
        for (int number = 0; number < steps && ok(); ++number)
        {
            step();
            system_.run(
                duration(static_cast<std::int64_t>(random_() % 4'000'000)));
        }
        heal();
        system_.run(15s);
        bool over = all_over();
        for (int tries = 0; tries < 50 && ok() && !over; ++tries)
        {
            system_.run(5s);
            over = all_over();
        }
        check_end(over);
        return system_.violation;
    }

private:
    static planner_simulation_options options(std::uint64_t seed)
    {
        planner_simulation_options out;
        out.seed = seed;
        out.racks = 3;
        out.workers_per_rack = 2;
        out.settings.cell.log.records_per_snapshot = 5;
        return out;
    }

    bool ok() const
    {
        return system_.violation.empty();
    }

    std::size_t any_planner()
    {
        return random_() % 3;
    }

    fake_workers::worker& any_worker()
    {
        auto found = system_.workers.workers.begin();
        std::advance(found,
                     static_cast<std::ptrdiff_t>(
                         random_() % system_.workers.workers.size()));
        return found->second;
    }

    void step()
    {
        switch (random_() % 14)
        {
        case 0:
        case 1:
        case 2:
        case 3:
            submit();
            break;
        case 4:
            system_.request(any_planner(), "DELETE", "/v1/jobs/" + any_job());
            break;
        case 5:
            system_.kill(any_planner());
            break;
        case 6:
            restart();
            break;
        case 7:
            freeze_or_wake();
            break;
        case 8:
            system_.cut_store(any_planner(), random_() % 2 == 0);
            break;
        case 9:
            system_.store.faults.down = random_() % 4 == 0;
            break;
        case 10:
            system_.set_out_of_service("dc-" + std::to_string(random_() % 3),
                                       random_() % 2 == 0);
            break;
        case 11:
            system_.workers.cut(any_worker().info.id, random_() % 2 == 0);
            break;
        case 12:
            system_.put_contract(
                random_() % 2 == 0 ? "one" : "two",
                {static_cast<std::int64_t>(4000 + random_() % 30000),
                 100000,
                 0},
                600);
            break;
        default:
            noise();
            break;
        }
    }

    void noise()
    {
        auto const some = [this](std::uint32_t most)
        {
            return random_() % 2 == 0
                       ? 0
                       : static_cast<std::uint32_t>(random_() % most);
        };
        system_.store.faults.lose_reply_permille = some(100);
        system_.store.faults.lose_request_permille = some(50);
        system_.store.faults.duplicate_permille = some(50);
        system_.store.faults.late_permille = some(50);
        system_.workers.faults.lose_reply_permille = some(200);
        system_.workers.faults.lose_request_permille = some(100);
        system_.workers.faults.late_permille = some(100);
        system_.link.faults.lose_permille = some(100);
    }

    void submit()
    {
        bool const service = random_() % 3 == 0;
        auto const id = "j" + std::to_string(++jobs_);
        system_.request(
            any_planner(),
            "POST",
            "/v1/jobs",
            job_json(id,
                     random_() % 2 == 0 ? "one" : "two",
                     service ? "service" : "batch",
                     static_cast<std::int64_t>(500 + random_() % 3000),
                     1 + random_() % 4,
                     1000 + random_() % 20000));
    }

    std::string any_job()
    {
        return "j" + std::to_string(1 + random_() % (jobs_ + 1));
    }

    void restart()
    {
        auto const slot = any_planner();
        if (!frozen_[slot])
        {
            system_.start(slot);
        }
    }

    void freeze_or_wake()
    {
        auto const slot = any_planner();
        if (std::exchange(frozen_[slot], false))
        {
            system_.unfreeze(slot);
        }
        else if (system_.alive(slot))
        {
            frozen_[slot] = true;
            system_.freeze(slot);
        }
    }

    void heal()
    {
        system_.store.faults.down = false;
        system_.store.faults.cut.clear();
        system_.store.faults.lose_reply_permille = 0;
        system_.store.faults.lose_request_permille = 0;
        system_.store.faults.duplicate_permille = 0;
        system_.store.faults.late_permille = 0;
        system_.workers.faults = {};
        system_.link.faults.lose_permille = 0;
        for (auto& [id, worker] : system_.workers.workers)
        {
            system_.workers.cut(id, false);
        }
        for (int number = 0; number < 3; ++number)
        {
            system_.set_out_of_service("dc-" + std::to_string(number), false);
        }
        system_.put_contract("one", {40000, 100000, 0});
        system_.put_contract("two", {40000, 100000, 0});
        for (std::size_t slot = 0; slot < 3; ++slot)
        {
            if (std::exchange(frozen_[slot], false))
            {
                system_.unfreeze(slot);
            }
            if (!system_.alive(slot))
            {
                system_.start(slot);
            }
        }
    }

    /// No batch job is left that has not ended.
    bool all_over()
    {
        auto const answer = system_.request_and_wait(0, "GET", "/v1/jobs");
        core::common::failure reason;
        auto const object =
            core::common::parse_json_object(answer.body, "jobs", reason);
        if (!object || !object->contains("jobs"))
        {
            return false;
        }
        listed_.clear();
        bool over = true;
        for (auto const& item : object->at("jobs").as_array())
        {
            auto const& job = item.as_object();
            std::string const state(job.at("state").as_string());
            bool const batch = job.at("kind").as_string() == "batch";
            listed_[std::string(job.at("id").as_string())] = state;
            bool const live = state == "queued" || state == "running";
            over = over && !(batch && live) && state != "queued";
        }
        return over;
    }

    void check_end(bool over)
    {
        if (ok() && !over)
        {
            for (auto const& [id, state] : listed_)
            {
                if (state == "queued" || state == "running")
                {
                    system_.violation.append(id)
                        .append(" is still ")
                        .append(state)
                        .append("; ");
                }
            }
        }
        for (auto const& [caller, answer] : system_.answers)
        {
            auto const mark = answer.body.find("\"accepted\":true");
            if (!ok() || mark == std::string::npos)
            {
                continue;
            }
            auto const job =
                answer.body.substr(8, answer.body.find('"', 8) - 8);
            if (listed_.count(job) == 0)
            {
                system_.violation = job + " was accepted and is not listed";
            }
        }
    }

    std::mt19937_64 random_;
    planner_simulation system_;
    std::uint64_t jobs_ = 0;
    std::map<std::size_t, bool> frozen_;
    std::map<std::string, std::string> listed_;
};

std::uint64_t number_from(char const* variable, std::uint64_t fallback)
{
    char const* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// Anything may fail at any moment, together or twice, while operators change
// contracts and data centres and customers submit and cancel. No task may run
// in two places, no worker or contract be overdrawn, nothing start in a data
// centre that is out, no checkpoint be used twice, no accepted job be lost.
TEST(planner_walks, keep_every_promise)
{
    auto const first = number_from("FUCHSIA_FIRST_SEED", 1);
    auto const count = number_from("FUCHSIA_WALKS", walks_in_ci);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        EXPECT_EQ(planner_walk(seed).run(), "") << "seed " << seed;
    }
}

// Seeds that showed faults: tasks that waited for ever for room (38, 54), that
// were never renewed (1343), and that were run again although their end was
// there to be read (356, 825).
TEST(planner_walks, keep_every_promise_where_they_once_did_not)
{
    for (std::uint64_t const seed : {38, 54, 214, 356, 825, 1067, 1343, 1387})
    {
        EXPECT_EQ(planner_walk(seed).run(), "") << "seed " << seed;
    }
}
