#include "planner_simulation.hpp"
#include "unit/walks/seed_count.hpp"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <gtest/gtest.h>
#include <vector>

using namespace fuchsia;
using namespace fuchsia::tests::unit::tasks;
using fuchsia::tests::unit::walks::seed_count;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t walks_in_ci = 400;
constexpr int steps_per_walk = 30;

/// Order in which the arguments of an event are drawn. The two orders make two
/// walks of each seed.
enum class draw_order
{
    last_first,
    first_first,
};

/// Random sequence of faults and of requests by operators and customers on
/// three planners.
class planner_walk
{
public:
    explicit planner_walk(std::uint64_t seed,
                          draw_order order = draw_order::last_first)
        : random_(seed), order_(order), system_(options(seed))
    {
    }

    /// Returns the violation that was found, or an empty text.
    std::string run()
    {
        system_.put_contract("one", {20000, 100000, 0}, 600);
        system_.put_contract("two", {30000, 100000, 0});
        for (std::size_t slot = 0; slot < 3; ++slot)
        {
            system_.start(slot);
        }
        system_.run(8s);
        for (int number = 0; number < steps_per_walk && no_violation();
             ++number)
        {
            apply_random_event();
            system_.run(
                duration(static_cast<std::int64_t>(random_() % 4'000'000)));
        }
        clear_faults();
        system_.run(15s);
        bool all_ended = check_all_ended();
        for (int tries = 0; tries < 50 && no_violation() && !all_ended; ++tries)
        {
            system_.run(5s);
            all_ended = check_all_ended();
        }
        check_end(all_ended);
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

    bool no_violation() const
    {
        return system_.violation.empty();
    }

    std::size_t random_planner()
    {
        return random_() % 3;
    }

    fake_workers::worker& random_worker()
    {
        auto found = system_.workers.workers.begin();
        std::advance(found,
                     static_cast<std::ptrdiff_t>(
                         random_() % system_.workers.workers.size()));
        return found->second;
    }

    void apply_random_event()
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
            cancel();
            break;
        case 5:
            system_.kill(random_planner());
            break;
        case 6:
            restart();
            break;
        case 7:
            freeze_or_wake();
            break;
        case 8:
            cut_or_reconnect_store();
            break;
        case 9:
            system_.store.faults.down = random_() % 4 == 0;
            break;
        case 10:
            change_data_centre();
            break;
        case 11:
            cut_or_reconnect_worker();
            break;
        case 12:
            change_contract();
            break;
        default:
            set_random_faults();
            break;
        }
    }

    void set_random_faults()
    {
        auto const random_rate = [this](std::uint32_t max_permille)
        {
            return random_() % 2 == 0
                       ? 0
                       : static_cast<std::uint32_t>(random_() % max_permille);
        };
        system_.store.faults.lose_reply_permille = random_rate(100);
        system_.store.faults.lose_request_permille = random_rate(50);
        system_.store.faults.duplicate_permille = random_rate(50);
        system_.store.faults.late_permille = random_rate(50);
        system_.workers.faults.lose_reply_permille = random_rate(200);
        system_.workers.faults.lose_request_permille = random_rate(100);
        system_.workers.faults.late_permille = random_rate(100);
        system_.link.faults.lose_permille = random_rate(100);
    }

    // Each draw is a statement of its own, because the compiler may evaluate
    // the arguments of a call in any order.
    void submit()
    {
        bool const service = random_() % 3 == 0;
        auto const id = "j" + std::to_string(++jobs_);
        std::uint64_t work_ms = 0;
        std::uint32_t tasks = 0;
        std::int64_t millicores = 0;
        std::string customer;
        std::size_t planner = 0;
        draw_all({[&]
                  {
                      planner = random_planner();
                  },
                  [&]
                  {
                      customer = random_customer();
                  },
                  [&]
                  {
                      millicores =
                          static_cast<std::int64_t>(500 + random_() % 3000);
                  },
                  [&]
                  {
                      tasks = static_cast<std::uint32_t>(1 + random_() % 4);
                  },
                  [&]
                  {
                      work_ms = 1000 + random_() % 20000;
                  }});
        system_.request(planner,
                        "POST",
                        "/v1/jobs",
                        job_json(id,
                                 customer,
                                 service ? "service" : "batch",
                                 millicores,
                                 tasks,
                                 work_ms));
    }

    void cancel()
    {
        std::string job;
        std::size_t planner = 0;
        draw_all({[&]
                  {
                      planner = random_planner();
                  },
                  [&]
                  {
                      job = random_job();
                  }});
        system_.request(planner, "DELETE", "/v1/jobs/" + job);
    }

    void cut_or_reconnect_store()
    {
        std::size_t planner = 0;
        bool is_cut = false;
        draw_all({[&]
                  {
                      planner = random_planner();
                  },
                  [&]
                  {
                      is_cut = random_() % 2 == 0;
                  }});
        system_.cut_store(planner, is_cut);
    }

    void change_data_centre()
    {
        std::uint64_t number = 0;
        bool out_of_service = false;
        draw_all({[&]
                  {
                      number = random_() % 3;
                  },
                  [&]
                  {
                      out_of_service = random_() % 2 == 0;
                  }});
        system_.set_out_of_service("dc-" + std::to_string(number),
                                   out_of_service);
    }

    void cut_or_reconnect_worker()
    {
        std::string worker;
        bool is_cut = false;
        draw_all({[&]
                  {
                      worker = random_worker().info.id;
                  },
                  [&]
                  {
                      is_cut = random_() % 2 == 0;
                  }});
        system_.workers.cut(worker, is_cut);
    }

    void change_contract()
    {
        std::string customer;
        std::int64_t millicores = 0;
        draw_all({[&]
                  {
                      customer = random_customer();
                  },
                  [&]
                  {
                      millicores =
                          static_cast<std::int64_t>(4000 + random_() % 30000);
                  }});
        system_.put_contract(customer, {millicores, 100000, 0}, 600);
    }

    std::string random_customer()
    {
        return random_() % 2 == 0 ? "one" : "two";
    }

    void draw_all(std::vector<std::function<void()>> draws)
    {
        if (order_ == draw_order::last_first)
        {
            std::reverse(draws.begin(), draws.end());
        }
        for (auto const& draw : draws)
        {
            draw();
        }
    }

    std::string random_job()
    {
        return "j" + std::to_string(1 + random_() % (jobs_ + 1));
    }

    void restart()
    {
        auto const slot = random_planner();
        if (!frozen_[slot])
        {
            system_.start(slot);
        }
    }

    void freeze_or_wake()
    {
        auto const slot = random_planner();
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

    void clear_faults()
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

    /// Whether all batch jobs have ended and no job is queued, except for jobs
    /// whose queued tasks fit on no worker.
    bool check_all_ended()
    {
        auto const answer = system_.request_and_wait(0, "GET", "/v1/jobs");
        core::common::failure reason;
        auto const object =
            core::common::parse_json_object(answer.body, "jobs", reason);
        if (!object || !object->contains("jobs"))
        {
            return false;
        }
        listed_states_.clear();
        bool all_ended = true;
        for (auto const& item : object->at("jobs").as_array())
        {
            auto const& job = item.as_object();
            std::string const state(job.at("state").as_string());
            bool const batch = job.at("kind").as_string() == "batch";
            listed_states_[std::string(job.at("id").as_string())] = state;
            bool const live = state == "queued" || state == "running";
            bool const unfinished = (batch && live) || state == "queued";
            all_ended = all_ended &&
                        (!unfinished ||
                         lacks_room(std::string(job.at("id").as_string())));
        }
        return all_ended;
    }

    using job_part = core::tasks::job_part;
    using task_status = core::tasks::task_status;

    /// Returns the job's parts in the cells that are owned.
    std::vector<job_part const*> parts_of(std::string const& job)
    {
        std::vector<job_part const*> out;
        for (auto const* cell : owned_cells())
        {
            auto const found = cell->state().jobs.find(job);
            if (found != cell->state().jobs.end())
            {
                out.push_back(&found->second);
            }
        }
        return out;
    }

    std::vector<core::tasks::cell_runner const*> owned_cells()
    {
        std::vector<core::tasks::cell_runner const*> out;
        for (auto const* rack : {"rack-0", "rack-1", "rack-2"})
        {
            if (auto const owner = system_.owner_of(rack))
            {
                out.push_back(system_.engine(*owner).cells().at(rack).get());
            }
        }
        return out;
    }

    /// Whether some task of the job is queued, and none of its tasks can change
    /// its status without an event from outside. All of them must be in some
    /// cell.
    bool lacks_room(std::string const& job)
    {
        std::size_t queued = 0;
        std::size_t found = 0;
        std::size_t expected = 0;
        for (auto const* part : parts_of(job))
        {
            expected = part->definition.tasks;
            for (auto const& [index, task] : part->tasks)
            {
                if (!can_rest(part->definition, task.status))
                {
                    return false;
                }
                queued += task.status == task_status::queued ? 1 : 0;
                found += task.status == task_status::moved ? 0 : 1;
            }
        }
        return queued > 0 && found == expected;
    }

    bool can_rest(core::tasks::job const& definition, task_status status)
    {
        switch (status)
        {
        case task_status::queued:
            return !fits_somewhere(definition.declared);
        case task_status::started:
            return definition.kind == core::tasks::job_kind::service;
        case task_status::moving:
            return false;
        default:
            return true;
        }
    }

    /// Whether a worker has that much room beside the attempts of all cells.
    bool fits_somewhere(ports::resources const& declared)
    {
        std::map<std::string, ports::resources> free;
        for (auto const& [id, worker] : system_.workers.workers)
        {
            free[id] = worker.info.capacity;
        }
        for (auto const* cell : owned_cells())
        {
            for (auto const& [key, run] : cell->active_attempts())
            {
                free[run.worker] -= run.part->definition.declared;
            }
        }
        return std::any_of(free.begin(),
                           free.end(),
                           [&](auto const& item)
                           {
                               return item.second.covers(declared);
                           });
    }

    void check_end(bool all_ended)
    {
        if (no_violation() && !all_ended)
        {
            for (auto const& [id, state] : listed_states_)
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
            if (!no_violation() || mark == std::string::npos)
            {
                continue;
            }
            auto const job =
                answer.body.substr(8, answer.body.find('"', 8) - 8);
            if (listed_states_.count(job) == 0)
            {
                system_.violation = job + " was accepted and is not listed";
            }
        }
    }

    std::mt19937_64 random_;
    draw_order order_;
    planner_simulation system_;
    std::uint64_t jobs_ = 0;
    std::map<std::size_t, bool> frozen_;
    std::map<std::string, std::string> listed_states_;
};

std::uint64_t number_from(char const* variable, std::uint64_t fallback)
{
    char const* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// Any part may fail at any time, also together or repeatedly, while operators
// change contracts and data centres and customers submit and cancel jobs. No
// task may run in two places, no worker or contract may be exceeded, nothing
// may start in a data centre out of service, no checkpoint may be used twice,
// and no accepted job may be lost.
TEST(planner_walks, preserve_all_guarantees_under_random_faults)
{
    auto const first = number_from("FUCHSIA_FIRST_SEED", 1);
    auto const count = seed_count(walks_in_ci);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        EXPECT_EQ(planner_walk(seed).run(), "") << "seed " << seed;
    }
}

// Seeds that showed faults: tasks that waited forever for free capacity (38,
// 54), tasks whose leases were never renewed (1343), and tasks that were run
// again although their end could have been read (356, 825).
TEST(planner_walks, preserve_all_guarantees_with_seeds_of_former_faults)
{
    for (std::uint64_t const seed : {38, 54, 214, 356, 825, 1067, 1343, 1387})
    {
        EXPECT_EQ(planner_walk(seed).run(), "") << "seed " << seed;
    }
}

// Guards against a batch task that waits forever beside free room, because a
// task that fits on no worker took all of the cell's demand for quota. Services
// leave no worker with room for two other tasks, which wait.
TEST(planner_walks, start_what_fits_behind_tasks_that_fit_on_no_worker)
{
    EXPECT_EQ(planner_walk(17, draw_order::first_first).run(), "");
}
