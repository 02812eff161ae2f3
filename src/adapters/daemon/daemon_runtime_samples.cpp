#include "adapters/daemon/daemon_runtime.hpp"

#include <array>

// Copies the counters of the store client and the peer transport to the
// metrics.
namespace fuchsia::adapters::daemon
{

namespace
{

constexpr core::common::duration sample_interval = std::chrono::seconds(1);

// Raises a metric to the total that an adapter counts itself.
void raise_to(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

// Runs on the platform thread.
void daemon_runtime::sample_store()
{
    constexpr std::array<char const*, 5> kinds{
        "read", "list", "write", "erase", "watch"};
    auto const& counts = store_->counts();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
    {
        raise_to(metrics_.counter("fuchsia_store_calls_total",
                                  "Calls made to the platform's store",
                                  {{"kind", kinds[kind]}}),
                 counts.calls[kind]);
    }
    raise_to(metrics_.counter("fuchsia_store_over_budget_total",
                              "Store calls not made: the budget was used up"),
             counts.over_budget);
    platform_sample_timer_.expires_after(sample_interval);
    platform_sample_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                sample_store();
            }
        });
}

// Runs on the peer thread.
void daemon_runtime::sample_peers()
{
    auto const& counts = transport_->counts();
    raise_to(metrics_.counter("fuchsia_peer_sent_bytes_total",
                              "Bytes sent to peers"),
             counts.bytes_sent);
    raise_to(metrics_.counter("fuchsia_peer_received_bytes_total",
                              "Bytes received from peers"),
             counts.bytes_received);
    raise_to(
        metrics_.counter("fuchsia_peer_dropped_total",
                         "Messages to peers dropped with their connection"),
        counts.dropped);
    raise_to(metrics_.counter("fuchsia_peer_refused_total",
                              "Frames or connections refused: wrong token, "
                              "address, incarnation or form"),
             counts.refused);
    peer_sample_timer_.expires_after(sample_interval);
    peer_sample_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                sample_peers();
            }
        });
}

} // namespace fuchsia::adapters::daemon
