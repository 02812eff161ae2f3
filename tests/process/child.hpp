#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fuchsia::tests::process
{

/// One of our programs as a child of the test; killed at the end of its scope.
class child
{
public:
    /// Starts `program` of the build folder; its output goes to `log`.
    child(std::string const& program,
          std::vector<std::string> const& arguments,
          std::string const& log);
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&&) = delete;
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    void signal(int number) const;
    bool running();
    /// Waits for the end; the exit status, or -N where signal N ended it.
    int wait();
    /// kill -9, and waits until the process is gone.
    void kill();

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace fuchsia::tests::process
