#pragma once

#include "ports/identity.hpp"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace fuchsia::tests::process
{

/// What one client of a crowd sends, and whether it reads what it is sent.
struct client_script
{
    std::string opening;     ///< Sent once, first.
    std::string repeated;    ///< Sent after that, `repeats` times.
    std::size_t repeats = 0; ///< At least 1 if `repeated` is set.
    bool reads = true;
};

/// Clients that send what they like to one server and then keep their
/// connections open until the crowd is destroyed.
class crowd
{
public:
    crowd(ports::endpoint const& server,
          std::size_t clients,
          client_script const& script);
    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

    /// Sends until each client has sent all or was closed by the server, or
    /// until no client could send anything for a while.
    void send();

private:
    class client;

    std::size_t progress() const;
    bool all_ended() const;

    boost::asio::io_context io_;
    std::vector<std::shared_ptr<client>> clients_;
};

} // namespace fuchsia::tests::process
