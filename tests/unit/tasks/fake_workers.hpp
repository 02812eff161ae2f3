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

// In-memory workers with fault injection. They check invariants, such as that a
// task never runs in two places and is not finished twice, that no worker
// exceeds its capacity, and that nothing starts in a data centre that is out of
// service.
namespace fuchsia::tests::unit::tasks
{

using walks::duration;
using walks::time_point;
using walks::virtual_clock;

struct worker_faults
{
    bool cut = false; ///< Calls and reports are lost; attempts keep running.
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
    using reply_handler = std::function<void(ports::worker_reply const&)>;

    fake_workers(virtual_clock& time, std::uint64_t seed);

    void add(ports::worker_instance info);
    /// Cuts a worker off or reconnects it. Nobody learns of an attempt that
    /// ends on a worker that is cut off, so running its task again after the
    /// lease has expired is correct and does not count as a second resume.
    void cut(std::string const& worker, bool is_cut);
    ports::worker_list list() const;
    void call(ports::worker_call const& request, reply_handler const& on_reply);
    /// Returns for each worker of the rack its latest report that is at least
    /// `report_lag` old.
    std::vector<ports::worker_report> reports(std::string const& rack) const;
    /// Advances work, leases and reports to the current time. To be called
    /// every 100 ms.
    void tick();

    struct attempt
    {
        ports::worker_start call;
        ports::attempt_state state = ports::attempt_state::running;
        std::uint64_t lease_until_ms = 0;
        std::uint64_t started_at_ms = 0;
        std::uint64_t resumed_work_ms = 0;
        std::uint32_t speed_limit_permille = 1000;
        time_point ended_at{};
    };
    struct worker
    {
        ports::worker_instance info;
        std::uint64_t clock_offset_ms = 0;
        worker_faults faults;
        std::map<ports::task_attempt, attempt> attempts;
        /// Attempts stopped before their start arrived; their start is refused.
        std::set<ports::task_attempt> stopped_before_start;
        std::uint64_t sequence = 0;
        std::vector<std::pair<time_point, ports::worker_report>> history;
    };

    std::uint64_t clock_ms(worker const& w) const;
    /// Returns the workers on which the task runs now.
    std::vector<std::string> places_of(std::string const& task) const;
    /// Returns the declared resources of all running attempts by customer. The
    /// function returns the customer of a task by its name.
    std::map<std::string, ports::resources>
    in_use(std::function<std::string(std::string const&)> const&) const;

    call_faults faults;
    std::map<std::string, worker> workers;
    /// Data centres taken out of service by operators, with the time of the
    /// change.
    std::map<std::string, time_point> out_of_service_since;
    /// Time after the change during which starts there are still allowed.
    duration out_of_service_grace = std::chrono::seconds(5);
    /// Minimum age of the reports returned by `reports`.
    duration report_lag = std::chrono::milliseconds(1500);
    /// Task classes whose attempts fail on every worker.
    std::set<std::string> broken_classes;
    std::uint64_t starts = 0;
    std::uint64_t resumed = 0;
    std::map<std::string, int>
        finished; ///< Number of times each task finished.
    /// Worker and time of the last time each task finished.
    std::map<std::string, std::pair<std::string, time_point>> finished_at;
    /// Description of the first violated invariant; empty if there is none.
    std::string violation;
    /// Called before each start takes effect.
    std::function<void(std::string const& worker, ports::worker_start const&)>
        on_start;

private:
    struct stored_checkpoint
    {
        std::uint64_t work_ms = 0;
        std::optional<ports::task_attempt> resumer;
        /// Whether the resumer finished and its worker has been reachable
        /// since.
        bool resumer_finished = false;
        std::string resumer_worker;
    };

    bool chance(std::uint32_t permille);
    duration message_delay();
    ports::worker_reply run(worker& w,
                            ports::worker_operation const& operation);
    ports::worker_reply start(worker& w, ports::worker_start const& call);
    void end(worker const& w, attempt& record, ports::attempt_state state);
    std::uint64_t work_done_ms(worker const& w, attempt const& record) const;
    void advance(worker& w);
    void report(worker& w);
    void record_violation(std::string const& text);
    void record_finished(worker const& w, std::string const& task);

    virtual_clock& time_;
    std::mt19937_64 random_;
    std::map<std::string, stored_checkpoint> checkpoints_;
};

} // namespace fuchsia::tests::unit::tasks
