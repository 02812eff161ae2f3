#pragma once

#include "core/common/result_code.hpp"
#include "ports/identity.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace fuchsia::adapters::runtime
{

/// Binds `acceptor` to an IP number and port and listens; port 0 takes a free
/// one. The address as bound; empty, with the reason, where it can't be had.
std::optional<ports::endpoint>
open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
              ports::endpoint const& where,
              core::common::failure& reason);

} // namespace fuchsia::adapters::runtime
