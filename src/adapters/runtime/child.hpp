#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fuchsia::adapters::runtime
{

/// A child process, killed by the destructor. It inherits no file except its
/// log.
class child
{
public:
    /// Starts the program at `path` and appends its output to `log_path`.
    child(std::string const& path,
          std::vector<std::string> const& arguments,
          std::string const& log_path);
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&&) = delete;
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    /// Sends a signal. Does nothing after the end of the child was observed,
    /// because the process id may have been reused.
    void signal(int signal_number) const;
    /// Returns the process id, which is valid until the end was observed.
    pid_t id() const noexcept;
    bool running();
    /// Returns the same value as `wait`; empty while the child runs.
    std::optional<int> status();
    /// Waits for the end of the child. Returns its exit status, or -N if it was
    /// terminated by signal N.
    int wait();
    /// Sends SIGKILL and waits for the end of the process.
    void kill();

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace fuchsia::adapters::runtime
