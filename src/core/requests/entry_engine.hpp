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

/// What an entry shows of itself in its metrics and to tests.
struct entry_status
{
    entry_phase phase = entry_phase::joining;
    bool may_act = false;
    common::duration proof_age{};
    std::uint64_t revision = 0;
    std::size_t members = 0;
    std::size_t owned_partitions = 0;
    std::uint32_t free_slots = 0;
    std::uint32_t usable_slots = 0;
    std::size_t queued = 0;
    std::size_t open = 0;
    std::size_t keys = 0;
    std::size_t key_bytes = 0;
};

/// Counts since the start.
struct entry_counts
{
    std::uint64_t upstream_sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t spilled = 0;
    std::uint64_t joined_keys = 0;
    std::uint64_t replayed_keys = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t handovers = 0;
};

/// All decisions of one entry: who its members are and what it owns, whether
/// and where each caller's request runs, and what its caller is told.
///
/// Events come in with the present time; what is to be done is appended to
/// `out`, in order. Every request that comes in under a caller's number gets
/// exactly one `caller_reply`, by its deadline at the latest.
///
/// Of the rules that hold here:
/// - Nothing is sent to an upstream without a proof of membership.
/// - A request that must run at most once is sent to an upstream once. It is
///   sent elsewhere only where no byte of it went out.
/// - With an Idempotency-Key it is run by the owner of the key's partition
///   alone, which first looks the key up in its memory (see `key_memory`).
/// - A refusal says "not run" only where this sending reached no upstream; of
///   a key's second or later sending, only where the owner's memory holds no
///   earlier one either.
class entry_engine
{
public:
    entry_engine(entry_settings const& settings,
                 membership::member_info const& self,
                 std::uint64_t seed);

    void start(common::time_point now, ports::actions& out);
    /// To be called at least every 100 ms, and when `next_timer` is due.
    void tick(common::time_point now, ports::actions& out);
    void on_caller_request(common::time_point now,
                           std::uint64_t caller,
                           ports::caller_request request,
                           ports::actions& out);
    /// Its connection closed: what has not been sent need not run.
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
    /// Planned stop; ends with `stop_complete`.
    void begin_stop(common::time_point now, ports::actions& out);
    /// This incarnation was buried: answers what it can't finish. What runs on
    /// upstreams still gets its answer from this object; everything new goes
    /// to the engine of the next incarnation.
    void retire(common::time_point now, ports::actions& out);

    /// When the next deadline or time-out of a request is due: `tick` wants to
    /// be called then, beside its regular calls.
    std::optional<common::time_point> next_timer() const noexcept;
    /// Whether new requests are welcome (/readyz).
    bool ready(common::time_point now) const noexcept;
    entry_status status(common::time_point now) const;
    entry_counts const& counts() const noexcept;
    membership::member const& members() const noexcept;
    claims::claim_table const& claims() const noexcept;
    config::configuration const& configuration() const noexcept;
    /// For tests: requests of a customer in flight here, and the most there
    /// may be.
    std::uint32_t in_flight(std::string const& customer) const noexcept;
    upstreams::slot_table const& slots() const noexcept;

private:
    using result_code = common::result_code;
    using request_table = std::unordered_map<std::uint64_t, open_request>;

    /// One customer's requests that wait for its slice, and the slice.
    struct customer_state
    {
        contracts::slice_holder slice;
        std::deque<std::uint64_t> awaiting_slice;
        ports::member_identity
            last_requested_owner; ///< Owner the last request went to.
    };
    /// A takeover whose predecessor's grants may still be used.
    struct takeover
    {
        common::time_point started_at;
        std::vector<ports::member_identity> possible_holders;
    };

    // entry_engine.cpp: composition and time.
    void detect_pause(common::time_point now, ports::actions& out);
    /// Does what an event made possible: sends what waits for a slot or slice.
    void process_waiting_work(common::time_point now, ports::actions& out);
    void sync_platform_state(common::time_point now, ports::actions& out);
    bool owns(common::time_point now, std::uint32_t partition) const noexcept;
    void log(ports::actions& out,
             ports::severity level,
             std::string event,
             std::vector<ports::header> fields) const;

    // entry_members.cpp: what members and the configuration mean here.
    void sync_members(common::time_point now, ports::actions& out);
    void sync_configuration(common::time_point now, ports::actions& out);
    bool is_live(ports::member_identity const& id) const noexcept;
    bool is_peer_silent(common::time_point now,
                        ports::member_identity const& id) const noexcept;
    bool may_send(common::time_point now) const noexcept;

    // entry_partitions.cpp: partitions that come and go.
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

    // entry_life.cpp: from joining to the end.
    void advance_lifecycle(common::time_point now, ports::actions& out);

    // entry_requests.cpp: the way of one request.
    std::optional<result_code>
    arrival_refusal(common::time_point now,
                    ports::caller_request const& request) const;
    open_request& add_request(open_request request);
    void set_key_and_idempotency(open_request& one,
                                 contracts::contract const* limits) const;
    bool is_first_sending_confirmed(open_request const& one) const noexcept;
    common::duration predicted_queue_wait() const noexcept;
    contracts::contract const* contract_of(std::string const& customer) const;
    void admit(common::time_point now, open_request& one, ports::actions& out);
    bool resolve_remembered_key(common::time_point now,
                                open_request& one,
                                ports::actions& out);
    void take_from_slice(common::time_point now,
                         open_request& one,
                         ports::actions& out);
    void route(common::time_point now, open_request& one, ports::actions& out);
    void
    await_owner(common::time_point now, open_request& one, ports::actions& out);
    void route_awaiting_owner(common::time_point now,
                              std::uint32_t partition,
                              ports::actions& out);
    void fire_timers(common::time_point now, ports::actions& out);
    void
    on_timer(common::time_point now, open_request& one, ports::actions& out);
    void refuse_if_waiting(common::time_point now,
                           std::uint64_t id,
                           ports::actions& out);
    void refuse_all_waiting(common::time_point now, ports::actions& out);

    // entry_slots.cpp: its part at the slots.
    void
    dispatch(common::time_point now, open_request& one, ports::actions& out);
    bool send_upstream(common::time_point now,
                       open_request& one,
                       ports::actions& out);
    void
    enqueue(common::time_point now, open_request& one, ports::actions& out);
    void send_queued(common::time_point now, ports::actions& out);
    std::optional<result_code> deadline_refusal(common::time_point now,
                                                open_request const& one) const;
    bool retry(common::time_point now, open_request& one, ports::actions& out);
    void on_complete_answer(common::time_point now,
                            open_request& one,
                            ports::upstream_end const& end,
                            ports::actions& out);
    void on_attempt_lost(common::time_point now,
                         open_request& one,
                         ports::upstream_end const& end,
                         ports::actions& out);

    // entry_answers.cpp: how requests end.
    void refuse(common::time_point now,
                open_request& one,
                result_code code,
                ports::actions& out);
    ports::caller_answer make_refusal_answer(result_code code, bool unheard);
    static bool
    has_no_earlier_sending(ports::caller_request const& request) noexcept;
    bool has_no_earlier_run(common::time_point now,
                            open_request const& one) const;
    void finish(common::time_point now,
                std::uint64_t id,
                ports::caller_answer const& answer,
                ports::actions& out);
    void finish_with_unknown_outcome(common::time_point now,
                                     std::uint64_t id,
                                     result_code code,
                                     ports::actions& out);
    void send_answer(open_request& one,
                     ports::caller_answer answer,
                     ports::actions& out);
    void record_key_outcome(common::time_point now,
                            open_request& one,
                            ports::caller_answer const& answer,
                            ports::actions& out);
    void keep_until_ended(open_request& one, common::time_point until);
    void erase(std::uint64_t id);
    void set_timer(open_request& one, std::optional<common::time_point> when);
    open_request* find_attempt(std::uint64_t sending) noexcept;

    // entry_peers.cpp: what goes between entries.
    void forward_to_owner(common::time_point now,
                          open_request& one,
                          ports::actions& out);
    bool spill(common::time_point now, open_request& one, ports::actions& out);
    bool send_to_peer(common::time_point now,
                      open_request& one,
                      ports::member_identity const& to,
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
    void answer_peer(ports::member_identity const& to,
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
    void send_peer(ports::member_identity const& to,
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
                ports::member_identity const& to,
                ports::slice_request const& request);
    void on_slice_grant(common::time_point now,
                        ports::member_identity const& from,
                        ports::slice_grant const& grant,
                        ports::actions& out);
    void resume_awaiting_slice(common::time_point now,
                               std::string const& name,
                               ports::actions& out);

    // entry_handovers.cpp: partitions that change hands as planned.
    void start_handover(common::time_point now,
                        std::uint32_t partition,
                        claims::claim_change const& change);
    void advance_handovers(common::time_point now, ports::actions& out);
    void advance_handover(common::time_point now,
                          std::uint32_t partition,
                          partition_handover& one,
                          ports::actions& out);
    void enter_stage(common::time_point now,
                     partition_handover& one,
                     handover_stage stage);
    void send_keys(common::time_point now,
                   std::uint32_t partition,
                   partition_handover& one,
                   ports::actions& out);
    void on_key_handover(common::time_point now,
                         ports::member_identity const& from,
                         ports::key_handover const& message,
                         ports::actions& out);
    void on_handover_ack(common::time_point now,
                         ports::member_identity const& from,
                         ports::key_handover_ack const& ack,
                         ports::actions& out);
    /// No new key of the partition may begin to run.
    bool key_is_frozen(std::uint32_t partition) const noexcept;
    /// Whether a key that has begun may still be sent to an upstream.
    bool key_may_run(common::time_point now,
                     open_request const& one) const noexcept;

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
    /// Requests that wait for another owner, by their key's partition.
    std::map<std::uint32_t, std::vector<std::uint64_t>> awaiting_owner_;
    /// When each live member was last heard from.
    std::map<ports::member_identity, common::time_point> last_received_;
    common::time_point last_work_at_{}; ///< Of a stop: last sign of work.
    /// Live members, and since when those that are not any more are gone.
    std::map<ports::member_identity, std::optional<common::time_point>>
        known_members_;

    std::uint64_t next_id_ = 0;
    std::size_t open_bytes_ = 0;
    std::size_t unanswered_ = 0;
    std::set<std::string> customers_to_resume_; ///< Customers with room again.
    std::optional<common::time_point> last_event_at_;
    common::time_point resumed_at_{}; ///< End of the last pause, or the start.
    common::time_point next_load_report_at_{};
    std::size_t next_load_peer_ = 0;
    common::time_point stop_announced_at_{};
    std::uint64_t applied_revision_ = 0;
    std::uint64_t newest_reported_revision_ = 0; ///< That anybody told of.
    std::optional<common::time_point> behind_since_;
    /// When the configuration was last known to be the newest.
    common::time_point configuration_current_as_of_{};
    bool may_act_ = false;
    bool retired_ = false;
    entry_counts counts_;
};

} // namespace fuchsia::core::requests
