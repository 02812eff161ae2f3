#include "process/crowd.hpp"
#include "process/entry_deployment.hpp"
#include "process/own_address.hpp"
#include "process/process_usage.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <optional>
#include <sys/resource.h>
#include <utility>

// Tests of an entry whose clients keep to no limit.
using namespace fuchsia;
using tests::process::crowd;
using tests::process::entry_deployment;
using tests::process::open_descriptors;
using tests::process::wait_until;

namespace
{

/// Descriptors of the entry's process.
constexpr std::uint64_t descriptors = 200;
/// A quarter stays for files and for the calls to upstreams, peers and store.
constexpr std::uint64_t max_open_descriptors = descriptors * 3 / 4;
constexpr std::size_t idle_clients = 300;

/// Lowers the descriptors of the processes that are started while it lives.
class lowered_descriptors
{
public:
    lowered_descriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit const lowered{descriptors, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~lowered_descriptors()
    {
        setrlimit(RLIMIT_NOFILE, &before_);
    }

    lowered_descriptors(lowered_descriptors const&) = delete;
    lowered_descriptors& operator=(lowered_descriptors const&) = delete;

private:
    rlimit before_{};
};

} // namespace

// Guards against idle connections that leave an entry no descriptor for
// callers, the readiness check and upstreams.
TEST(misbehaving_clients_of_an_entry, idle_connections_beyond_the_descriptors)
{
    std::optional<lowered_descriptors> lowered(std::in_place);
    entry_deployment system("crowd");
    lowered.reset();
    ASSERT_TRUE(system.is_ready);
    crowd idle({tests::process::process_loopback_address(), system.port(0)},
               idle_clients,
               {"G", "", 0, true});
    idle.send();
    EXPECT_LE(open_descriptors(system.entry(0).id()), max_open_descriptors);
    EXPECT_TRUE(wait_until(
        [&system]
        {
            return system.ready(0);
        }));
    EXPECT_TRUE(wait_until(
        [&system]
        {
            return tests::process::is_own(system.bid(0, "1", 1, "T1"), "T1");
        }));
    EXPECT_LE(open_descriptors(system.entry(0).id()), max_open_descriptors);
    EXPECT_TRUE(system.entry(0).running());
}
