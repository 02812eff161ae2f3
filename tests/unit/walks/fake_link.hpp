#pragma once

#include "ports/peer.hpp"
#include "virtual_clock.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>

// In-memory links between the members of a test, with fault injection.
namespace fuchsia::tests::unit::walks
{

struct link_faults
{
    /// Pairs (from, to) of addresses; one pair cuts one direction only.
    std::set<std::pair<std::string, std::string>> cut;
    std::uint32_t lose_permille = 0;
    std::uint32_t duplicate_permille = 0;
    /// A frame takes `delay`; with the probability `late_permille` it takes up
    /// to `late_delay`, so that later frames overtake it.
    duration delay = std::chrono::milliseconds(1);
    duration late_delay = std::chrono::seconds(4);
    std::uint32_t late_permille = 0;
};

/// Carries messages between addresses. A cut also drops messages in transit.
class fake_link
{
public:
    /// Receives the destination address, the addressed member and the message.
    using receiver = std::function<void(std::string const& address,
                                        ports::member_identity const& to,
                                        ports::peer_receive const& message)>;

    fake_link(virtual_clock& time, std::uint64_t seed, receiver deliver)
        : time_(time), random_(seed), deliver_(std::move(deliver))
    {
    }

    link_faults faults;
    std::uint64_t sent = 0;

    void send(std::string const& from_address,
              ports::member_identity const& from,
              ports::peer_send const& outgoing)
    {
        ++sent;
        if (chance(faults.lose_permille))
        {
            return;
        }
        transmit(from_address, from, outgoing);
        if (chance(faults.duplicate_permille))
        {
            transmit(from_address, from, outgoing);
        }
    }

private:
    bool chance(std::uint32_t permille)
    {
        return permille != 0 && random_() % 1000 < permille;
    }

    duration one_way_delay()
    {
        if (chance(faults.late_permille))
        {
            return duration(static_cast<std::int64_t>(
                random_() %
                static_cast<std::uint64_t>(faults.late_delay.count())));
        }
        return faults.delay;
    }

    void transmit(std::string const& from_address,
                  ports::member_identity const& from,
                  ports::peer_send const& outgoing)
    {
        time_.after(one_way_delay(),
                    [this, from_address, from, outgoing]
                    {
                        auto const route = std::pair(
                            from_address, outgoing.remote_endpoint.address);
                        if (faults.cut.count(route) == 0)
                        {
                            deliver_(outgoing.remote_endpoint.address,
                                     outgoing.to,
                                     {from, outgoing.message});
                        }
                    });
    }

    virtual_clock& time_;
    std::mt19937_64 random_;
    receiver deliver_;
};

} // namespace fuchsia::tests::unit::walks
