#pragma once

#include "ports/peer.hpp"
#include "virtual_clock.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>

// In-memory links between the cores of a test, with faults.
namespace fuchsia::tests::unit::walks
{

struct link_faults
{
    /// Pairs (from, to) of addresses; one pair cuts one way only.
    std::set<std::pair<std::string, std::string>> cut;
    std::uint32_t lose_permille = 0;
    std::uint32_t duplicate_permille = 0;
    /// A frame takes `delay`, or now and then up to `late_delay`, and so
    /// overtakes others.
    duration delay = std::chrono::milliseconds(1);
    duration late_delay = std::chrono::seconds(4);
    std::uint32_t late_permille = 0;
};

/// Carries messages from address to address. A cut stops those on their way.
class fake_link
{
public:
    /// Gets the address, the identity that the frame is for, and the message.
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
              ports::peer_send const& what)
    {
        ++sent;
        if (chance(faults.lose_permille))
        {
            return;
        }
        carry(from_address, from, what);
        if (chance(faults.duplicate_permille))
        {
            carry(from_address, from, what);
        }
    }

private:
    bool chance(std::uint32_t permille)
    {
        return permille != 0 && random_() % 1000 < permille;
    }

    duration way()
    {
        if (chance(faults.late_permille))
        {
            return duration(static_cast<std::int64_t>(
                random_() %
                static_cast<std::uint64_t>(faults.late_delay.count())));
        }
        return faults.delay;
    }

    void carry(std::string const& from_address,
               ports::member_identity const& from,
               ports::peer_send const& what)
    {
        time_.after(way(),
                    [this, from_address, from, what]
                    {
                        auto const way = std::pair(
                            from_address, what.remote_endpoint.address);
                        if (faults.cut.count(way) == 0)
                        {
                            deliver_(what.remote_endpoint.address,
                                     what.to,
                                     {from, what.message});
                        }
                    });
    }

    virtual_clock& time_;
    std::mt19937_64 random_;
    receiver deliver_;
};

} // namespace fuchsia::tests::unit::walks
