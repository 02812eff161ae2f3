#pragma once

#include "ports/workers.hpp"
#include "unit/walks/virtual_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// Workers in memory, with faults, that keep books of what must never happen.
namespace fuchsia::tests::unit::tasks
{

using walks::duration;
using walks::time_point;
using walks::virtual_clock;

struct worker_faults
{
    bool cut = false;         ///< Calls and reports are lost; tasks run on.
    bool fail_starts = false; ///< Every attempt fails at once.
};

struct call_faults
{
    std::uint32_t lose_request_permille = 0;
    std::uint32_t lose_reply_permille = 0;
    duration delay = std::chrono::milliseconds(2);
    duration late_delay = std::chrono::seconds(5);
    std::uint32_t late_permille = 0;
    duration timeout = std::chrono::seconds(2);
};

class fake_workers
{
public:
    using answer = std::function<void(ports::worker_reply const&)>;

    fake_workers(virtual_clock& time, std::uint64_t seed);

    void add(ports::worker_instance info);
    /// What ends on a worker that can't be heard is known to nobody: running
    /// it again after its lease is right, and no second resume.
    void cut(std::string const& worker, bool is_cut);
    ports::worker_list list() const;
    void call(ports::worker_call const& what, answer const& back);
    /// The newest report of each worker of the rack that is old enough.
    std::vector<ports::worker_report> reports(std::string const& rack) const;
    /// Brings work, leases and reports up to now; wanted every 100 ms.
    void tick();

    struct attempt
    {
        ports::worker_start call;
        ports::attempt_state state = ports::attempt_state::running;
        std::uint64_t lease_until_ms = 0;
        std::uint64_t began_ms = 0;
        std::uint64_t base_work_ms = 0;
        std::uint32_t permille = 1000;
        time_point ended{};
    };
    struct worker
    {
        ports::worker_instance info;
        std::uint64_t clock_offset_ms = 0;
        worker_faults faults;
        std::map<ports::task_attempt, attempt> attempts;
        std::set<ports::task_attempt> barred;
        std::uint64_t sequence = 0;
        std::vector<std::pair<time_point, ports::worker_report>> history;
    };

    std::uint64_t clock_ms(worker const& at) const;
    /// Workers on which the task runs now.
    std::vector<std::string> places_of(std::string const& task) const;
    /// Sum of what runs, by a function from the task's name to its customer.
    std::map<std::string, ports::resources>
    in_use(std::function<std::string(std::string const&)> const&) const;

    call_faults faults;
    std::map<std::string, worker> workers;
    /// What operators decided, and since when.
    std::map<std::string, time_point> out_of_service_since;
    duration grace = std::chrono::seconds(5);
    duration report_lag = std::chrono::milliseconds(1500);
    /// Classes of tasks that fail wherever they start.
    std::set<std::string> broken_classes;
    std::uint64_t starts = 0;
    std::uint64_t resumed = 0;
    std::map<std::string, int> finished; ///< How often, by task.
    /// Where and when each task finished last.
    std::map<std::string, std::pair<std::string, time_point>> finished_at;
    std::string violation;
    /// Called before each start takes effect.
    std::function<void(std::string const& worker, ports::worker_start const&)>
        on_start;

private:
    struct kept_checkpoint
    {
        std::uint64_t work_ms = 0;
        std::optional<ports::task_attempt> resumer;
        /// The resumer finished, and its worker could be heard ever since.
        bool resumer_finished = false;
        std::string resumer_worker;
    };

    bool chance(std::uint32_t permille);
    duration way();
    ports::worker_reply run(worker& at, ports::worker_operation const& what);
    ports::worker_reply start(worker& at, ports::worker_start const& call);
    void end(worker const& at, attempt& which, ports::attempt_state state);
    std::uint64_t work_of(worker const& at, attempt const& which) const;
    void advance(worker& at);
    void report(worker& at);
    void note(std::string const& what);
    void note_finished(worker const& at, std::string const& task);

    virtual_clock& time_;
    std::mt19937_64 random_;
    std::map<std::string, kept_checkpoint> checkpoints_;
};

} // namespace fuchsia::tests::unit::tasks
