#include "programs/entry/entry_metrics.hpp"

namespace fuchsia::programs::entry
{

using core::common::result_code;

entry_metrics::entry_metrics(adapters::metrics::registry& registry)
    : registry_(registry)
{
}

void entry_metrics::on_answer(std::string const& customer,
                              ports::request_class kind,
                              ports::caller_answer const& answer,
                              core::common::duration elapsed)
{
    bool const customer_is_known =
        answer.code != result_code::unknown_customer &&
        answer.code != result_code::contract_withdrawn &&
        answer.code != result_code::no_proof;
    std::string const name = customer_is_known ? customer : "unknown";
    std::string const class_name(ports::name_of(kind));
    auto& latency = latencies_[{name, kind}];
    if (latency == nullptr)
    {
        latency =
            &registry_.latency("fuchsia_request_seconds",
                               "Time from a caller's request to its "
                               "answer, refusals included",
                               {{"customer", name}, {"class", class_name}});
    }
    latency->Observe(adapters::metrics::seconds(elapsed));
    auto& count = answers_[{kind, answer.outcome, answer.code}];
    if (count == nullptr)
    {
        count = &registry_.counter(
            "fuchsia_answers_total",
            "Answers to callers by class, outcome and code",
            {{"class", class_name},
             {"outcome", std::string(core::common::name_of(answer.outcome))},
             {"code", std::string(core::common::name_of(answer.code))}});
    }
    count->Increment();
}

void entry_metrics::sample(core::requests::entry_status const& status,
                           core::requests::entry_counts const& counts)
{
    gauge("fuchsia_proof_age_seconds",
          "Age of the newest proof of membership",
          adapters::metrics::seconds(status.proof_age));
    gauge("fuchsia_may_act",
          "1 while a proof of membership stands",
          status.may_act ? 1 : 0);
    gauge("fuchsia_config_revision",
          "Configuration revision in force",
          static_cast<double>(status.revision));
    gauge("fuchsia_members",
          "Live members of this role",
          static_cast<double>(status.members));
    gauge("fuchsia_claims_owned",
          "Partitions that this entry owns",
          static_cast<double>(status.owned_partitions));
    gauge("fuchsia_slots_free",
          "Free slots of owned upstreams",
          status.free_slots);
    gauge("fuchsia_slots_usable",
          "Slots of owned upstreams that may be in use now",
          status.usable_slots);
    gauge("fuchsia_queue_length",
          "Requests that wait for a slot",
          static_cast<double>(status.queued));
    gauge("fuchsia_requests_open",
          "Requests known, those that may still run somewhere included",
          static_cast<double>(status.open));
    gauge("fuchsia_keys_remembered",
          "Idempotency keys remembered",
          static_cast<double>(status.keys));
    gauge("fuchsia_keys_bytes",
          "Memory of idempotency keys and their answers",
          static_cast<double>(status.key_bytes));
    counter("fuchsia_upstream_sends_total",
            "Requests sent to upstreams, retries included",
            static_cast<double>(counts.upstream_sends));
    counter("fuchsia_upstream_retries_total",
            "Requests sent to an upstream again",
            static_cast<double>(counts.retries));
    counter("fuchsia_requests_forwarded_total",
            "Requests passed to the owner of their key",
            static_cast<double>(counts.forwarded));
    counter("fuchsia_requests_spilled_total",
            "Requests passed to a peer for a free slot",
            static_cast<double>(counts.spilled));
    counter("fuchsia_keys_joined_total",
            "Sendings that waited for another sending of their key",
            static_cast<double>(counts.joined_keys));
    counter("fuchsia_keys_replayed_total",
            "Sendings that got the remembered answer of their key",
            static_cast<double>(counts.replayed_keys));
    counter("fuchsia_takeovers_total",
            "Partitions taken over without their keys",
            static_cast<double>(counts.takeovers));
    counter("fuchsia_handovers_total",
            "Partitions handed over with their keys",
            static_cast<double>(counts.handovers));
}

void entry_metrics::gauge(std::string const& name,
                          std::string const& help,
                          double value)
{
    registry_.gauge(name, help).Set(value);
}

void entry_metrics::counter(std::string const& name,
                            std::string const& help,
                            double total)
{
    auto& metric = registry_.counter(name, help);
    // The engine of a new incarnation restarts its counters at 0.
    if (total > metric.Value())
    {
        metric.Increment(total - metric.Value());
    }
}

} // namespace fuchsia::programs::entry
