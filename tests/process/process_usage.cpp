#include "process/process_usage.hpp"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

namespace fuchsia::tests::process
{

namespace
{

std::string folder_of(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

constexpr int hexadecimal = 16;
/// State of a listening socket in /proc/net/tcp.
constexpr char const* listening = "0A";

// Returns the address as in /proc/net/tcp: its bytes in memory order, in
// hexadecimal, and the port.
std::string local_address_of(ports::endpoint const& server)
{
    in_addr address{};
    ::inet_pton(AF_INET, server.address.c_str(), &address);
    std::ostringstream text;
    text << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
         << address.s_addr << ':' << std::setw(4) << server.port;
    return text.str();
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

std::uint64_t unread_bytes(ports::endpoint const& server)
{
    auto const local = local_address_of(server);
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::uint64_t result = 0;
    while (std::getline(connections, line))
    {
        std::istringstream fields(line);
        std::string number;
        std::string address;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> address >> remote >> state >> queues;
        if (address == local && state != listening)
        {
            result += std::stoull(
                queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return result;
}

} // namespace fuchsia::tests::process
