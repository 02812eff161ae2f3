#include "process/process_usage.hpp"

#include <filesystem>
#include <fstream>
#include <string>

namespace fuchsia::tests::process
{

namespace
{

std::string folder_of(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

} // namespace

std::uint64_t largest_memory_kb(pid_t process)
{
    std::ifstream status(folder_of(process) + "/status");
    std::string word;
    while (status >> word && word != "VmHWM:")
    {
    }
    std::uint64_t result = 0;
    status >> result;
    return result;
}

std::uint64_t open_descriptors(pid_t process)
{
    std::uint64_t result = 0;
    std::error_code error;
    for (std::filesystem::directory_iterator
             entry(folder_of(process) + "/fd", error),
         end;
         !error && entry != end;
         entry.increment(error))
    {
        ++result;
    }
    return result;
}

} // namespace fuchsia::tests::process
