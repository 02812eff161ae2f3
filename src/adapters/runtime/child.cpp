#include "adapters/runtime/child.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace fuchsia::adapters::runtime
{

namespace
{

int exit_status_of(int wait_status)
{
    return WIFSIGNALED(wait_status) ? -WTERMSIG(wait_status)
                                    : WEXITSTATUS(wait_status);
}

} // namespace

child::child(std::string const& path,
             std::vector<std::string> const& arguments,
             std::string const& log_path)
{
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (auto const& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Without this, connections closed by this process would stay open in the
    // child.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    int const error = posix_spawn(
        &pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
    {
        throw std::runtime_error("can't start " + path);
    }
}

child::child(child&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_)
{
}

pid_t child::id() const noexcept
{
    return pid_;
}

child::~child()
{
    if (pid_ > 0)
    {
        kill();
    }
}

void child::signal(int signal_number) const
{
    if (!status_)
    {
        ::kill(pid_, signal_number);
    }
}

bool child::running()
{
    int wait_status = 0;
    if (!status_ && waitpid(pid_, &wait_status, WNOHANG) == pid_)
    {
        status_ = exit_status_of(wait_status);
    }
    return !status_;
}

std::optional<int> child::status()
{
    running();
    return status_;
}

int child::wait()
{
    int wait_status = 0;
    if (!status_ && waitpid(pid_, &wait_status, 0) == pid_)
    {
        status_ = exit_status_of(wait_status);
    }
    return status_.value_or(0);
}

void child::kill()
{
    if (running())
    {
        signal(SIGKILL);
        wait();
    }
}

} // namespace fuchsia::adapters::runtime
