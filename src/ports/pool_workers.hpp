#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The workers of a pool and the orders that run tasks on them. All tasks of a
// worker share one lease. A worker rejects an order with a lower fencing token
// than the highest it has received.
namespace fuchsia::ports
{

/// Name of one task of a job, the same for every attempt.
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(task_name const&) const = default;
};

struct pool_attempt
{
    task_name task;
    std::uint32_t attempt = 0;

    auto operator<=>(pool_attempt const&) const = default;
};

/// A worker's own entry in the platform's list.
struct pool_worker
{
    std::string id;
    std::string service;
    endpoint remote_endpoint;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    /// Unix time of the worker's start in milliseconds; identifies the
    /// incarnation of `id`.
    std::uint64_t incarnation = 0;
};

/// Requests the running and ended attempts of a worker, and renews the lease of
/// the running ones.
struct poll_order
{
    std::uint64_t fencing_token = 0;
    std::uint64_t acknowledged_end =
        0; ///< Ends up to this sequence number are stored durably.
    std::uint64_t lease_until_ms = 0; ///< On the worker's clock; 0: no renewal.
    core::common::duration wait{};    ///< Maximum wait for an end (long poll).
};

struct start_order
{
    std::uint64_t fencing_token = 0;
    pool_attempt attempt_id;
    std::string spec;
    std::uint64_t lease_until_ms = 0;
    std::string checkpoint; ///< Where to resume; empty: from the start.
    std::string ticket;     ///< Ticket of the policy; empty if none applies.
};

struct stop_order
{
    std::uint64_t fencing_token = 0;
    pool_attempt attempt_id;
};

/// Limits the speed of a task to this share of its full speed.
struct speed_limit_order
{
    std::uint64_t fencing_token = 0;
    pool_attempt attempt_id;
    std::uint32_t percent = 100;
};

using pool_operation =
    std::variant<poll_order, start_order, stop_order, speed_limit_order>;

/// An order to the worker with this id. If the worker has restarted under its
/// id, its new incarnation carries the order out; only the reply tells which
/// one did.
struct pool_order
{
    std::uint64_t id = 0;
    std::string worker;
    endpoint remote_endpoint;
    pool_operation operation;
    core::common::duration timeout{};
};

enum class order_status : std::uint8_t
{
    done,
    stale_fencing_token, ///< The worker has received a higher fencing token.
    superseded,    ///< The worker knows a later attempt or the end of this one.
    lease_expired, ///< The lease had already expired on arrival.
    no_capacity,   ///< The task does not fit at present.
    no_ticket,     ///< The policy ticket is missing or too old.
    invalid,       ///< The worker can't parse the order.
    unhealthy,     ///< The worker accepts no orders at present.
    wrong_incarnation, ///< A worker with another id runs at the address.
    not_sent,          ///< No connection was made; no byte was sent.
    not_attempted,     ///< No connection was tried: this instance was too busy.
    unclear,           ///< No answer: it may have taken effect, or still may.
};

/// One running attempt. `measurement` is a rough measurement over the last half
/// second: the tail latency in milliseconds for a serving task, the millicores
/// in use for any other task.
struct running_attempt
{
    pool_attempt attempt_id;
    std::string checkpoint;
    std::uint32_t progress_percent =
        0; ///< For a serving task: 100 once it serves.
    std::int64_t measurement = 0;
};

enum class end_kind : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired,     ///< The lease of the attempt expired.
    gang_member_ended, ///< Another member of the gang ended.
    gang_timeout,      ///< The rest of the gang did not start in time.
};

struct ended_attempt
{
    std::uint64_t sequence = 0; ///< Increases from 1 within an incarnation.
    pool_attempt attempt_id;
    end_kind kind = end_kind::failed;
    std::string checkpoint;
};

struct order_reply
{
    std::uint64_t id = 0;
    order_status status = order_status::unclear;
    std::uint64_t clock_ms = 0; ///< The worker's clock; 0: not reported.
    /// Incarnation of the worker that answered; 0: not reported.
    std::uint64_t incarnation = 0;
    std::vector<running_attempt> running;
    std::vector<ended_attempt> ended;
    /// `ended` is as long as a worker makes it, so the worker may have further
    /// ends that it lists once these are acknowledged.
    bool ended_is_full = false;
};

} // namespace fuchsia::ports
