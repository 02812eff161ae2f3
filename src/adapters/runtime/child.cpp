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

int status_of(int raw)
{
    return WIFSIGNALED(raw) ? -WTERMSIG(raw) : WEXITSTATUS(raw);
}

} // namespace

child::child(std::string const& path,
             std::vector<std::string> const& arguments,
             std::string const& log)
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
                                     log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Else a connection that we close stays open in the child.
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

child::~child()
{
    if (pid_ > 0)
    {
        kill();
    }
}

void child::signal(int number) const
{
    if (!status_)
    {
        ::kill(pid_, number);
    }
}

bool child::running()
{
    int raw = 0;
    if (!status_ && waitpid(pid_, &raw, WNOHANG) == pid_)
    {
        status_ = status_of(raw);
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
    int raw = 0;
    if (!status_ && waitpid(pid_, &raw, 0) == pid_)
    {
        status_ = status_of(raw);
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
