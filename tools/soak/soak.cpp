#include "tools/soak/soak.hpp"

#include "adapters/runtime/signals.hpp"
#include "standins/common/process_address.hpp"
#include "tools/soak/fault_injector.hpp"
#include "tools/soak/instance_group.hpp"
#include "tools/soak/owner_watch.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace fuchsia::tools::soak
{

namespace
{

using namespace std::chrono_literals;
using core::common::clock;
using core::common::duration;
using core::common::time_point;
using standins::pool::planted_defect;
using standins::pool::worker_event;
using standins::pool::worker_event_kind;

constexpr duration tick_interval = 20ms;
constexpr duration start_limit = 20s;
constexpr duration planted_takeover_at = 2s;
// Time without a fault at the end of a run, in which whatever still stands
// still after the last fault exceeds the time limits of idle work.
constexpr duration calm_at_end = time_limits{}.without_owner + 2s;
// Twice the average demand of the jobs, so that jobs of a burst have to wait.
constexpr std::uint32_t pool_millicores = 48'000;
constexpr std::uint16_t store_port = 20'000;
constexpr std::uint16_t first_worker_port = 20'100;
constexpr std::uint16_t first_worker_link_port = 20'400;
constexpr std::uint16_t first_instance_port = 21'000;

enum class phase : std::uint8_t
{
    starting,
    traffic,
    finishing,
    stopping,
};

class soak_run
{
public:
    soak_run(soak_settings const& settings,
             observation_log::sink const& on_observation)
        : settings_(settings), plan_(make_plan(settings.plan)),
          out_(settings.folder + "/observations.txt", on_observation),
          address_(standins::process_loopback_address()),
          platform_(io_, platform_settings()),
          instances_(io_, instance_settings(), out_),
          traffic_(io_, instances_, out_, settings.plan.seed),
          faults_(instances_,
                  platform_,
                  worker_links(),
                  out_,
                  settings.stale_configuration),
          probe_(io_, {}), owners_(instances_, out_), ticker_(io_)
    {
    }

    bool listen(core::common::failure& reason)
    {
        platform_.observe(
            [this](auto const& worker, auto const& event)
            {
                handle_worker_event(worker, event);
            });
        platform_.plant_defect(settings_.planted);
        for (auto const& entry : worker_links_)
        {
            if (!entry->listen(reason))
            {
                return false;
            }
        }
        faults_.begin();
        return platform_.listen(reason) && instances_.listen(reason);
    }

    soak_result play()
    {
        adapters::runtime::on_stop_signal(
            io_,
            [this]
            {
                failures_.emplace_back("the soak was interrupted");
                io_.stop(); // The child processes end with this object.
            });
        enter(phase::starting);
        probe_readiness();
        tick();
        io_.run();
        soak_result result;
        result.started_at = out_.created_at();
        result.jobs = traffic_.counts();
        result.runs = runs_;
        result.faults = faults_.applied();
        result.process_failures = instances_.process_failures();
        result.process_failures.insert(
            result.process_failures.end(), failures_.begin(), failures_.end());
        result.lag = lag_;
        return result;
    }

private:
    standins::pool::pool_server_settings platform_settings() const
    {
        standins::pool::pool_server_settings result;
        result.store = {address_, store_port};
        result.first_worker_port = first_worker_port;
        result.advertised_worker_port = first_worker_link_port;
        result.workers = settings_.plan.workers;
        result.capacity.millicores = pool_millicores / result.workers;
        return result;
    }

    instance_group_settings instance_settings() const
    {
        return {settings_.program,
                settings_.folder,
                address_,
                first_instance_port,
                {address_, store_port},
                plan_.machines};
    }

    fault_injector::relays worker_links()
    {
        for (std::uint16_t number = 0; number < settings_.plan.workers;
             ++number)
        {
            auto const at = [this, number](std::uint16_t first)
            {
                return ports::endpoint{
                    address_, static_cast<std::uint16_t>(first + number)};
            };
            worker_links_.push_back(std::make_shared<standins::links::relay>(
                io_,
                standins::links::link_settings{"worker",
                                               at(first_worker_link_port),
                                               at(first_worker_port)}));
        }
        return worker_links_;
    }

    void handle_worker_event(ports::pool_worker const& worker,
                             worker_event const& event)
    {
        switch (event.kind)
        {
        case worker_event_kind::started:
            ++runs_;
            out_.append(run_started{
                worker.id, worker.data_centre, event.run, event.fence});
            break;
        case worker_event_kind::ended:
            out_.append(run_ended{worker.id, event.run, event.end_result});
            break;
        case worker_event_kind::acknowledged:
            out_.append(end_acknowledged{
                worker.id, event.run, event.end_result, event.lease_expired});
            break;
        case worker_event_kind::crashed_worker:
            out_.append(worker_crashed{worker.id, event.run.task});
            break;
        }
    }

    void enter(phase next)
    {
        phase_ = next;
        phase_began_at_ = clock::now();
    }

    duration in_phase() const
    {
        return clock::now() - phase_began_at_;
    }

    // Probes one instance after the other; the traffic begins once each has
    // been ready.
    void probe_readiness()
    {
        if (phase_ != phase::starting || ready_count_ == instances_.size())
        {
            return;
        }
        adapters::http::client_call call;
        call.remote_endpoint = instances_.readiness(ready_count_);
        call.message = {"GET", "/readyz", {}, "", ""};
        probe_.send(std::move(call),
                    [this](ports::exchange_status status, auto const& answer)
                    {
                        bool const ready =
                            status == ports::exchange_status::answered &&
                            answer.status == 200;
                        ready_count_ += ready ? 1U : 0U;
                        probing_ = false;
                    });
        probing_ = true;
    }

    void tick()
    {
        auto const now = clock::now();
        record_lag(next_tick_at_ ? now - *next_tick_at_ : duration{});
        switch (phase_)
        {
        case phase::starting:
            tick_start();
            break;
        case phase::traffic:
            tick_traffic(now);
            break;
        case phase::finishing:
            tick_finish(now);
            break;
        case phase::stopping:
            tick_stop();
            break;
        }
        if (stopped_)
        {
            return;
        }
        next_tick_at_ = now + tick_interval;
        ticker_.expires_at(*next_tick_at_);
        ticker_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    tick();
                }
            });
    }

    // If the machine is too busy for the soak, the instances also lack CPU
    // time, so this counts as a fault.
    void record_lag(duration lag)
    {
        constexpr duration too_late = 250ms;
        lag_ = std::max(lag_, lag);
        bool const late = lag > too_late;
        if (late != busy_)
        {
            busy_ = late;
            out_.append(fault_state_set{"busy machine", late});
        }
    }

    void tick_start()
    {
        if (in_phase() > start_limit)
        {
            failures_.emplace_back(
                "not all instances became ready within the start limit");
            begin_stop();
            return;
        }
        if (ready_count_ == instances_.size())
        {
            out_.append_comment("traffic begins");
            traffic_.begin(plan_.jobs);
            enter(phase::traffic);
        }
        else if (!probing_)
        {
            probe_readiness();
        }
    }

    void tick_traffic(time_point now)
    {
        while (next_fault_ < plan_.faults.size() &&
               plan_.faults[next_fault_].at <= in_phase())
        {
            faults_.apply(plan_.faults[next_fault_++]);
        }
        if (settings_.unfinished_takeover && !planted_ &&
            in_phase() > planted_takeover_at)
        {
            planted_ = true;
            faults_.plant_unfinished_takeover();
        }
        faults_.advance(now);
        owners_.advance(now);
        if (in_phase() >= settings_.plan.traffic)
        {
            out_.append(traffic_ended{});
            traffic_.end();
            enter(phase::finishing);
        }
    }

    // The time limit for the remaining jobs starts once all faults have ended,
    // including instances that still have to exit and restart.
    void tick_finish(time_point now)
    {
        constexpr duration answer_reserve = 2s;
        bool const healed = faults_.end_all();
        faults_.advance(now);
        owners_.advance(now);
        if (!healed)
        {
            phase_began_at_ = now;
        }
        bool const late = in_phase() > time_limits{}.finish + answer_reserve;
        bool const calm = faults_.calm_for(now) > calm_at_end;
        if (late || (healed && calm && traffic_.all_finished()))
        {
            out_.append_comment(late ? "not all jobs are over"
                                     : "all jobs are over");
            begin_stop();
        }
    }

    void begin_stop()
    {
        out_.append(stop_begun{});
        traffic_.stop();
        for (std::size_t number = 0; number < instances_.size(); ++number)
        {
            instances_.terminate(number);
        }
        enter(phase::stopping);
    }

    void tick_stop()
    {
        bool all = true;
        for (std::size_t number = 0; number < instances_.size(); ++number)
        {
            all = instances_.has_exited(number) && all;
        }
        if (!all)
        {
            return;
        }
        stopped_ = true;
        platform_.stop();
        io_.stop();
    }

    soak_settings const& settings_;
    plan plan_;
    observation_log out_;
    std::string address_;
    boost::asio::io_context io_{1};
    fault_injector::relays worker_links_;
    standins::pool::pool_server platform_;
    instance_group instances_;
    traffic_generator traffic_;
    fault_injector faults_;
    adapters::http::client probe_;
    owner_watch owners_;
    adapters::runtime::timer ticker_;
    phase phase_ = phase::starting;
    time_point phase_began_at_{};
    std::optional<time_point> next_tick_at_;
    duration lag_{};
    bool busy_ = false;
    std::size_t ready_count_ = 0;
    bool probing_ = false;
    bool stopped_ = false;
    std::size_t next_fault_ = 0;
    bool planted_ = false; ///< The unfinished takeover has begun.
    std::uint64_t runs_ = 0;
    std::vector<std::string> failures_;
};

} // namespace

bool set_planted_defect(std::string_view name, soak_settings& out) noexcept
{
    constexpr std::array<std::pair<std::string_view, planted_defect>, 9> names{{
        {"two_places", planted_defect::duplicate_placement},
        {"lost_job", planted_defect::lost_job},
        {"forgotten_cancel", planted_defect::lost_cancel},
        {"ended_twice", planted_defect::rerun_after_end},
        {"early_step", planted_defect::early_dependent_step},
        {"crash_again", planted_defect::rerun_after_crash},
        {"hidden_shrink", planted_defect::hidden_shrink},
        {"dropped_end", planted_defect::dropped_late_end},
        {"ignored_fence", planted_defect::ignored_fence},
    }};
    out.stale_configuration = name == "stale_config";
    out.unfinished_takeover = name == "unfinished_takeover";
    for (auto const& [defect_name, defect] : names)
    {
        if (defect_name == name)
        {
            out.planted = defect;
            return true;
        }
    }
    return out.stale_configuration || out.unfinished_takeover;
}

std::optional<soak_result> run_soak(soak_settings const& settings,
                                    observation_log::sink const& on_observation,
                                    core::common::failure& reason)
{
    soak_run result(settings, on_observation);
    if (!result.listen(reason))
    {
        return std::nullopt;
    }
    return result.play();
}

} // namespace fuchsia::tools::soak
