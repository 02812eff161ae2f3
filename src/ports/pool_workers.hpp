#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The workers of a pool and the orders that run tasks there. A worker holds
// everything it runs under one lease, and obeys no order with a lower fencing
// token than the highest it has seen.
namespace fuchsia::ports
{

/// One task of a job; the same in every attempt.
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

/// What a worker says of itself in the platform's list.
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
    /// Unix millisecond of its start: names the incarnation of `id`.
    std::uint64_t incarnation = 0;
};

/// Asks what runs and what ended, and renews the lease of all that runs.
struct poll_order
{
    std::uint64_t fencing_token = 0;
    std::uint64_t acknowledged_end =
        0; ///< Ends up to here are durable elsewhere.
    std::uint64_t lease_until_ms =
        0;                         ///< On the worker's clock; 0: renew nothing.
    core::common::duration wait{}; ///< For an end, before it answers.
};

struct start_order
{
    std::uint64_t fencing_token = 0;
    pool_attempt attempt_id;
    std::string spec;
    std::uint64_t lease_until_ms = 0;
    std::string checkpoint; ///< Where to resume; empty: from the start.
    std::string ticket;     ///< Of a policy; empty where none applies.
};

struct stop_order
{
    std::uint64_t fencing_token = 0;
    pool_attempt attempt_id;
};

/// Lets a task work at this share of its speed.
struct speed_limit_order
{
    std::uint64_t fencing_token = 0;
    pool_attempt attempt_id;
    std::uint32_t percent = 100;
};

using pool_operation =
    std::variant<poll_order, start_order, stop_order, speed_limit_order>;

struct pool_order
{
    std::uint64_t id = 0;
    std::string worker;
    endpoint remote_endpoint;
    std::uint64_t incarnation = 0; ///< For this incarnation only; 0: for any.
    pool_operation operation;
    core::common::duration timeout{};
};

enum class order_status : std::uint8_t
{
    done,
    stale_fencing_token, ///< It has seen a higher token.
    superseded,    ///< A later attempt, or the end of this one, is known there.
    lease_expired, ///< The lease would have been over on arrival.
    no_capacity,   ///< It does not fit now.
    no_ticket,     ///< The policy's permission is missing or too old.
    invalid,       ///< The worker can't read the order.
    unhealthy,     ///< It does nothing for now.
    wrong_incarnation, ///< Another incarnation lives at the address.
    not_sent,          ///< No connection; no byte went out.
    not_attempted,     ///< Nor was one tried: this instance was too busy.
    unclear,           ///< No answer: carried out, or still to be.
};

/// One run at work. `level` is a rough reading over the last half second: of
/// a serving task the tail of its latency in milliseconds, of any other the
/// millicores in use.
struct running_attempt
{
    pool_attempt attempt_id;
    std::string checkpoint;
    std::uint32_t progress_percent =
        0; ///< Of a serving task: 100 once it serves.
    std::int64_t measurement = 0;
};

enum class end_kind : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired,     ///< Its lease ran out.
    gang_member_ended, ///< Another member of its gang ended.
    gang_timeout,      ///< It waited in vain for the rest of its gang.
};

struct ended_attempt
{
    std::uint64_t sequence = 0; ///< Rises from 1 within an incarnation.
    pool_attempt attempt_id;
    end_kind kind = end_kind::failed;
    std::string checkpoint;
};

struct order_reply
{
    std::uint64_t id = 0;
    order_status status = order_status::unclear;
    std::uint64_t clock_ms = 0;    ///< The worker's clock; 0: not said.
    std::uint64_t incarnation = 0; ///< Of who answered; 0: not said.
    std::vector<running_attempt> running;
    std::vector<ended_attempt> ended;
};

} // namespace fuchsia::ports
