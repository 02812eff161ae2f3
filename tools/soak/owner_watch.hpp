#pragma once

#include "core/common/time.hpp"
#include "tools/soak/instance_group.hpp"
#include "tools/soak/observation_log.hpp"

#include <cstdint>
#include <ios>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::tools::soak
{

/// Follows the log of one instance. The gauge `fuchsia_pool_working_owner` has
/// the same content, but is up to 5 s old.
class owner_log_reader
{
public:
    /// Reads the next part of the log, which may end within a line.
    void read(std::string_view text);
    /// The process has ended or was started again.
    void restart() noexcept;
    /// Whether the instance schedules and its takeover is complete.
    bool working() const noexcept;

private:
    std::string incomplete_line_;
    bool working_ = false;
};

/// Records when each instance begins and ceases to be a working owner.
class owner_watch
{
public:
    owner_watch(instance_group& instances, observation_log& out);

    /// Reads what the instances have logged, a few times a second.
    void advance(core::common::time_point now);

private:
    struct followed
    {
        std::uint64_t incarnation = 0;
        std::streamoff read_to = 0;
        owner_log_reader log;
        bool recorded = false; ///< Last recorded state; none counts as false.
    };

    void follow(std::size_t number);
    std::string read_new_text(std::size_t number);

    instance_group& instances_;
    observation_log& out_;
    std::vector<followed> followed_;
    core::common::time_point next_at_{};
    bool begun_ = false;
};

} // namespace fuchsia::tools::soak
