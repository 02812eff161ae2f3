#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fuchsia::adapters::runtime
{

/// A child process, killed at the end of its scope. It inherits no file but
/// its log.
class child
{
public:
    /// Starts the program at `path`; its output goes to `log`.
    child(std::string const& path,
          std::vector<std::string> const& arguments,
          std::string const& log);
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&&) = delete;
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    /// Does nothing once the end was seen: the id may be another's by then.
    void signal(int number) const;
    bool running();
    /// As `wait`; empty while it runs.
    std::optional<int> status();
    /// Waits for the end; the exit status, or -N where signal N ended it.
    int wait();
    /// kill -9, and waits until the process is gone.
    void kill();

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace fuchsia::adapters::runtime
