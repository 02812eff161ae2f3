#pragma once

#include "core/claims/claim_table.hpp"
#include "core/config/follower.hpp"
#include "core/contracts/slice.hpp"
#include "core/membership/member.hpp"
#include "core/requests/entry_lifecycle.hpp"
#include "core/requests/entry_settings.hpp"
#include "core/requests/fair_queue.hpp"
#include "core/requests/handover.hpp"
#include "core/requests/key_memory.hpp"
#include "core/requests/key_owners.hpp"
#include "core/requests/open_request.hpp"
#include "core/requests/peer_load_table.hpp"
#include "core/requests/replay_guard.hpp"
#include "core/requests/retry_budget.hpp"
#include "core/upstreams/slot_table.hpp"
#include "ports/actions.hpp"
#include "ports/instances.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fuchsia::core::requests
{

/// State of an entry, as shown in its metrics and to tests.
struct entry_status
{
    entry_phase phase = entry_phase::joining;
    bool may_act = false; ///< See `membership::member::may_act`.
    common::duration proof_age{};
    std::uint64_t revision = 0; ///< Revision of the current configuration.
    std::size_t members = 0;
    std::size_t owned_partitions = 0;
    std::uint32_t free_slots = 0;
    std::uint32_t usable_slots = 0;
    std::size_t queued = 0; ///< Requests that wait for a slot.
    std::size_t open = 0;   ///< Requests in the request table.
    std::size_t keys = 0;   ///< Keys in the key memory.
    std::size_t key_bytes = 0;
};

/// Number of events since the start of the entry.
struct entry_counts
{
    std::uint64_t upstream_sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t spilled = 0;
    /// Requests that waited for a running request with the same key.
    std::uint64_t joined_keys = 0;
    /// Requests answered from the key memory.
    std::uint64_t replayed_keys = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t handovers = 0;
};

/// Makes all decisions of one entry: which members exist and which partitions
/// it owns, whether and where each caller's request runs, and which answer the
/// caller gets.
///
/// Each event is passed with the current time. The resulting actions are
/// appended to `out`, in order. Every request that arrives under a caller id
/// gets exactly one `caller_reply`, by its deadline at the latest.
///
/// The engine keeps these invariants, among others:
/// - Nothing is sent to an upstream without a proof of membership.
/// - A request that must run at most once is sent to one upstream only. It is
///   sent to another one only if no byte of it was sent to the first.
/// - A request with an Idempotency-Key runs only through the owner of the key's
///   partition, which first looks up the key in its memory (see `key_memory`).
/// - A refusal says "not run" only if the refused sending reached no upstream.
///   For the second or a later sending of a key, it says so only if the owner's
///   memory holds no earlier run either.
class entry_engine
{
public:
    entry_engine(entry_settings const& settings,
                 membership::member_info const& self,
                 std::uint64_t seed);

    void start(common::time_point now, ports::actions& out);
    /// Does periodic work. Must be called at least every 100 ms and when
    /// `next_timer` is due.
    void tick(common::time_point now, ports::actions& out);
    void on_caller_request(common::time_point now,
                           std::uint64_t caller,
                           ports::caller_request request,
                           ports::actions& out);
    /// Handles the end of the caller's connection. A request that has not been
    /// sent to an upstream or peer need not run.
    void on_caller_disconnected(common::time_point now,
                                std::uint64_t caller,
                                ports::actions& out);
    void on_exchange_end(common::time_point now,
                         ports::upstream_end const& end,
                         ports::actions& out);
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        ports::actions& out);
    void on_peer(common::time_point now,
                 ports::peer_receive const& message,
                 ports::actions& out);
    void on_instances(common::time_point now,
                      ports::instance_list const& list,
                      ports::actions& out);
    /// Begins a planned stop, which ends with the action
    /// `ports::stop_complete`.
    void begin_stop(common::time_point now, ports::actions& out);
    /// Ends the work of this engine; must be called after its incarnation was
    /// fenced. Answers the requests that it can't complete. Requests that run
    /// on upstreams still get their answers from this object; new events go to
    /// the engine of the next incarnation.
    void retire(common::time_point now, ports::actions& out);

    /// Time of the next deadline or time-out of a request. `tick` must be
    /// called then, in addition to its regular calls.
    std::optional<common::time_point> next_timer() const noexcept;
    /// Whether the entry accepts new requests (/readyz).
    bool ready(common::time_point now) const noexcept;
    entry_status status(common::time_point now) const;
    entry_counts const& counts() const noexcept;
    membership::member const& members() const noexcept;
    claims::claim_table const& claims() const noexcept;
    config::configuration const& configuration() const noexcept;
    /// Number of a customer's requests in flight at this entry, for tests.
    std::uint32_t in_flight(std::string const& customer) const noexcept;
    upstreams::slot_table const& slots() const noexcept;

private:
    using result_code = common::result_code;
    using request_table = std::unordered_map<std::uint64_t, open_request>;

    /// Slice of one customer and the requests that wait for it.
    struct customer_state
    {
        contracts::slice_holder slice;
        std::deque<std::uint64_t> awaiting_slice;
        /// Owner that got the last slice request.
        ports::member_identity last_requested_owner;
    };
    /// Takeover of a partition. Slices that the predecessor granted may still
    /// be in use.
    struct takeover
    {
        common::time_point started_at;
        std::vector<ports::member_identity> possible_slice_holders;
    };

    // entry_engine.cpp: dispatch of events, pauses of the process and timers.
    void detect_pause(common::time_point now, ports::actions& out);
    /// Sends the waiting requests for which the last event freed a slot or
    /// capacity in a slice.
    void process_waiting_work(common::time_point now, ports::actions& out);
    void sync_platform_state(common::time_point now, ports::actions& out);
    bool owns(common::time_point now, std::uint32_t partition) const noexcept;
    void log(ports::actions& out,
             ports::severity level,
             std::string event,
             std::vector<ports::header> fields) const;

    // entry_members.cpp: changes of the members and of the configuration, and
    // the permission to send.
    void sync_members(common::time_point now, ports::actions& out);
    void sync_configuration(common::time_point now, ports::actions& out);
    bool is_live(ports::member_identity const& id) const noexcept;
    bool is_peer_silent(common::time_point now,
                        ports::member_identity const& id) const noexcept;
    bool may_send(common::time_point now) const noexcept;

    // entry_partitions.cpp: acquired and lost partitions.
    void sync_claims(common::time_point now, ports::actions& out);
    void on_claim_change(common::time_point now,
                         claims::claim_change const& change,
                         ports::actions& out);
    void on_partition_acquired(common::time_point now,
                               std::uint32_t partition,
                               claims::claim_change const& change,
                               ports::actions& out);
    void on_partition_lost(common::time_point now,
                           std::uint32_t partition,
                           ports::actions& out);

    // entry_phases.cpp: phases from joining to the stop.
    void advance_lifecycle(common::time_point now, ports::actions& out);

    // entry_requests.cpp: admission and routing of requests, and their timers.
    std::optional<result_code>
    arrival_refusal(common::time_point now,
                    ports::caller_request const& request) const;
    open_request& add_request(open_request request);
    void set_key_and_idempotency(open_request& req,
                                 contracts::contract const* limits) const;
    bool is_first_sending_confirmed(open_request const& req) const noexcept;
    common::duration predicted_queue_wait() const noexcept;
    contracts::contract const* contract_of(std::string const& customer) const;
    void admit(common::time_point now, open_request& req, ports::actions& out);
    bool resolve_remembered_key(common::time_point now,
                                open_request& req,
                                ports::actions& out);
    void take_from_slice(common::time_point now,
                         open_request& req,
                         ports::actions& out);
    void route(common::time_point now, open_request& req, ports::actions& out);
    void
    await_owner(common::time_point now, open_request& req, ports::actions& out);
    void route_awaiting_owner(common::time_point now,
                              std::uint32_t partition,
                              ports::actions& out);
    void fire_timers(common::time_point now, ports::actions& out);
    void
    on_timer(common::time_point now, open_request& req, ports::actions& out);
    void refuse_if_waiting(common::time_point now,
                           std::uint64_t id,
                           ports::actions& out);
    void refuse_all_waiting(common::time_point now, ports::actions& out);

    // entry_slots.cpp: queue, upstream slots and retries.
    void
    dispatch(common::time_point now, open_request& req, ports::actions& out);
    bool send_upstream(common::time_point now,
                       open_request& req,
                       ports::actions& out);
    void
    enqueue(common::time_point now, open_request& req, ports::actions& out);
    void send_queued(common::time_point now, ports::actions& out);
    std::optional<result_code> deadline_refusal(common::time_point now,
                                                open_request const& req) const;
    bool retry(common::time_point now, open_request& req, ports::actions& out);
    void on_complete_answer(common::time_point now,
                            open_request& req,
                            ports::upstream_end const& end,
                            ports::actions& out);
    void on_attempt_lost(common::time_point now,
                         open_request& req,
                         ports::upstream_end const& end,
                         ports::actions& out);

    // entry_answers.cpp: answers and the removal of requests.
    void refuse(common::time_point now,
                open_request& req,
                result_code code,
                ports::actions& out);
    ports::caller_answer make_refusal_answer(result_code code,
                                             bool no_earlier_run);
    static bool
    has_no_earlier_sending(ports::caller_request const& request) noexcept;
    bool has_no_earlier_run(common::time_point now,
                            open_request const& req) const;
    void finish(common::time_point now,
                std::uint64_t id,
                ports::caller_answer const& answer,
                ports::actions& out);
    void finish_with_unknown_outcome(common::time_point now,
                                     std::uint64_t id,
                                     result_code code,
                                     ports::actions& out);
    void send_answer(open_request& req,
                     ports::caller_answer answer,
                     ports::actions& out);
    void record_key_outcome(common::time_point now,
                            open_request& req,
                            ports::caller_answer const& answer,
                            ports::actions& out);
    void keep_until_execution_ends(open_request& req,
                                   common::time_point end_time);
    void erase(std::uint64_t id);
    void set_timer(open_request& req, std::optional<common::time_point> when);
    open_request* find_attempt(std::uint64_t attempt_id) noexcept;

    // entry_peers.cpp: messages between entries.
    void forward_to_owner(common::time_point now,
                          open_request& req,
                          ports::actions& out);
    bool spill(common::time_point now, open_request& req, ports::actions& out);
    bool send_to_peer(common::time_point now,
                      open_request& req,
                      ports::member_identity const& target,
                      bool is_spill,
                      ports::actions& out);
    void on_forwarded(common::time_point now,
                      ports::member_identity const& from,
                      ports::forwarded_request const& message,
                      ports::actions& out);
    void on_forwarded_answer(common::time_point now,
                             ports::member_identity const& from,
                             ports::forwarded_answer const& message,
                             ports::actions& out);
    void answer_peer(ports::member_identity const& target,
                     std::uint64_t id,
                     ports::caller_answer answer,
                     ports::actions& out) const;
    void on_peer_lost(common::time_point now, ports::actions& out);
    void on_peer_revision(common::time_point now,
                          std::uint64_t revision,
                          ports::member_identity const& from,
                          ports::actions& out);
    void send_loads(common::time_point now, ports::actions& out);
    ports::load_report own_load() const noexcept;
    void send_peer(ports::member_identity const& target,
                   ports::peer_message message,
                   ports::actions& out) const;

    // entry_contracts.cpp: slices of contracts.
    customer_state& customer_of(std::string const& name);
    std::optional<result_code>
    slice_refusal(common::time_point now,
                  customer_state const& customer,
                  contracts::slice_verdict verdict) const;
    contracts::slice_ledger& ledger_of(common::time_point now,
                                       std::string const& name);
    void request_slice(common::time_point now,
                       std::string const& name,
                       ports::actions& out);
    void request_slices(common::time_point now, ports::actions& out);
    void request_slices_from_new_owner(std::uint32_t partition);
    std::optional<ports::slice_grant>
    grant_slice(common::time_point now,
                ports::member_identity const& requester,
                ports::slice_request const& request);
    void on_slice_grant(common::time_point now,
                        ports::member_identity const& from,
                        ports::slice_grant const& grant,
                        ports::actions& out);
    void resume_awaiting_slice(common::time_point now,
                               std::string const& name,
                               ports::actions& out);

    // entry_handovers.cpp: planned handovers of partitions.
    void start_handover(common::time_point now,
                        std::uint32_t partition,
                        claims::claim_change const& change);
    void advance_handovers(common::time_point now, ports::actions& out);
    void advance_handover(common::time_point now,
                          std::uint32_t partition,
                          partition_handover& handover,
                          ports::actions& out);
    void enter_stage(common::time_point now,
                     partition_handover& handover,
                     handover_stage stage);
    void send_keys(common::time_point now,
                   std::uint32_t partition,
                   partition_handover& handover,
                   ports::actions& out);
    void on_key_handover(common::time_point now,
                         ports::member_identity const& from,
                         ports::key_handover const& message,
                         ports::actions& out);
    void on_handover_ack(common::time_point now,
                         ports::member_identity const& from,
                         ports::key_handover_ack const& ack,
                         ports::actions& out);
    /// Whether no new key of the partition may begin to run.
    bool key_is_frozen(std::uint32_t partition) const noexcept;
    /// Whether a request whose key has begun may still be sent to an upstream.
    bool key_may_run(common::time_point now,
                     open_request const& req) const noexcept;

    entry_settings settings_;
    std::mt19937_64 random_;
    membership::member members_;
    claims::claim_table claims_;
    config::configuration_follower follower_;
    upstreams::slot_table slots_;
    key_memory keys_;
    fair_queue queue_;
    retry_policy retries_;
    replay_guard replays_;
    key_owners owners_;
    peer_load_table peer_loads_;
    key_import_buffer key_imports_;
    entry_lifecycle lifecycle_;

    request_table requests_;
    std::unordered_map<std::uint64_t, std::uint64_t> by_caller_;
    std::unordered_map<std::uint64_t, std::uint64_t> by_attempt_;
    std::set<std::pair<common::time_point, std::uint64_t>> timers_;
    std::map<std::string, customer_state> customers_;
    std::map<std::string, contracts::slice_ledger> ledgers_;
    std::array<std::optional<takeover>, common::partition_count> takeovers_;
    std::map<std::uint32_t, partition_handover> handovers_;
    /// Ids of requests that wait for a change of owner, by partition.
    std::map<std::uint32_t, std::vector<std::uint64_t>> awaiting_owner_;
    /// Time of the last message from each live member.
    std::map<ports::member_identity, common::time_point> last_received_;
    /// Time at which a forwarded request last arrived or a draining entry last
    /// had work.
    common::time_point last_work_at_{};
    /// Live members, and former members with the time since which they are not
    /// live.
    std::map<ports::member_identity, std::optional<common::time_point>>
        known_members_;

    std::uint64_t next_id_ = 0;
    std::size_t open_bytes_ = 0; ///< Size of the bodies of all open requests.
    std::size_t unanswered_ = 0; ///< Number of open requests without an answer.
    /// Customers whose waiting requests are to be checked against the slice
    /// again.
    std::set<std::string> customers_to_resume_;
    std::optional<common::time_point> last_event_at_;
    /// End of the last pause of the process, or the start of the entry.
    common::time_point resumed_at_{};
    common::time_point next_load_report_at_{};
    std::size_t next_load_peer_ = 0;
    common::time_point stop_announced_at_{};
    std::uint64_t applied_revision_ = 0;
    /// Newest configuration revision that any member reported.
    std::uint64_t newest_reported_revision_ = 0;
    /// Time since which a newer configuration is known but not in use.
    std::optional<common::time_point> behind_since_;
    /// Time at which the configuration was last confirmed to be the newest.
    common::time_point configuration_current_as_of_{};
    bool may_act_ = false;
    bool retired_ = false;
    entry_counts counts_;
};

} // namespace fuchsia::core::requests
