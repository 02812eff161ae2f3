#include "adapters/daemon/daemon_runtime.hpp"

#include <array>

// Counts of the store's and the peers' thread, for the metrics.
namespace fuchsia::adapters::daemon
{

namespace
{

constexpr core::common::duration sample_interval = std::chrono::seconds(1);

// Brings a counter to a total that another thread's adapter keeps.
void raise(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

// The platform thread's counts.
void daemon_runtime::sample_store()
{
    constexpr std::array<char const*, 5> kinds{
        "read", "list", "write", "erase", "watch"};
    auto const& counts = store_->counts();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
    {
        raise(metrics_.counter("fuchsia_store_calls_total",
                               "Calls made to the platform's store",
                               {{"kind", kinds[kind]}}),
              counts.calls[kind]);
    }
    raise(metrics_.counter("fuchsia_store_over_budget_total",
                           "Store calls not made: the budget was used up"),
          counts.over_budget);
    platform_sampler_.expires_after(sample_interval);
    platform_sampler_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                sample_store();
            }
        });
}

// The peer thread's counts.
void daemon_runtime::sample_peers()
{
    auto const& counts = transport_->counts();
    raise(metrics_.counter("fuchsia_peer_sent_bytes_total",
                           "Bytes sent to peers"),
          counts.bytes_sent);
    raise(metrics_.counter("fuchsia_peer_received_bytes_total",
                           "Bytes received from peers"),
          counts.bytes_received);
    raise(metrics_.counter("fuchsia_peer_dropped_total",
                           "Messages to peers dropped with their connection"),
          counts.dropped);
    raise(metrics_.counter("fuchsia_peer_refused_total",
                           "Frames or connections refused: wrong token, "
                           "address, incarnation or form"),
          counts.refused);
    peers_sampler_.expires_after(sample_interval);
    peers_sampler_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                sample_peers();
            }
        });
}

} // namespace fuchsia::adapters::daemon
