#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsia::adapters::http
{

/// Limits of all connections of a process together.
struct budget_limits
{
    /// Maximum memory of incomplete requests, of requests without an answer
    /// and of answers that aren't sent yet.
    std::uint64_t bytes = 256 * 1024 * 1024;
    /// Maximum number of connections.
    std::uint32_t connections = 4096;
};

/// Returns the limits of a process on a machine with this memory, in MB, and
/// this number of descriptors. 0 stands for an unknown number: of the memory of
/// a small machine, and of the descriptors that the process may open, which is
/// an upper bound in any case.
budget_limits limits_of_machine(std::uint64_t memory_mb,
                                std::uint32_t descriptors);

/// Returns the limits of a process that may hold `memory_mb` and have
/// `connections`, but at most half of the descriptors that it may open.
budget_limits limits_of_process(std::uint64_t memory_mb,
                                std::uint32_t connections);

enum class connection_phase : std::uint8_t
{
    receiving, ///< Waits for a request or for the rest of it.
    handling,  ///< A request waits for its answer.
    answering, ///< The answer is being sent.
};

/// Why a connection is closed, or its request refused, for the others' sake.
enum class shed_reason : std::uint8_t
{
    memory,
    connections,
    unread, ///< The client didn't read its answer within the time for it.
};

/// Returns the name as written in logs and metrics.
std::string_view name_of(shed_reason reason) noexcept;

/// Shares the memory and the descriptors of a process among the connections of
/// its servers, which must run on the same `io_context`. Where there isn't
/// enough, it takes the largest incomplete request, or the connection that has
/// waited longest for a request, and never one whose request is being handled.
class connection_budget
{
    struct entry
    {
        std::string address;
        std::function<void(shed_reason)> shed;
        connection_phase phase = connection_phase::receiving;
        core::common::time_point since{}; ///< Begin of the phase.
        std::uint64_t bytes = 0;
        bool served = false;  ///< Whether a request was handled.
        bool closing = false; ///< Whether it was shed for its descriptor.
    };

public:
    /// Called for each connection that is shed, refused for want of room, or
    /// reported by its server.
    using observer = std::function<void(
        shed_reason, std::string const& address, std::uint64_t bytes)>;

    /// The share of one connection, which the destructor returns. It must not
    /// outlive the budget.
    class member
    {
    public:
        member(connection_budget& budget, std::list<entry>::iterator place);
        ~member();
        member(member const&) = delete;
        member& operator=(member const&) = delete;

        void enter(connection_phase phase);
        /// Sets the memory that the connection holds, and sheds others or this
        /// one if that is too much. Returns whether this one may go on.
        bool hold(std::uint64_t bytes);
        /// Tells the observer that the server closes this connection.
        void report(shed_reason reason) const;

    private:
        connection_budget& budget_;
        std::list<entry>::iterator place_;
    };

    explicit connection_budget(budget_limits limits, observer observe = {});

    /// Makes room for a connection from `address`, by closing another one if
    /// need be. Returns whether there is room.
    bool make_room(std::string const& address);
    /// Adds a connection. `shed` must give up the request or the connection and
    /// must not destroy the member.
    std::unique_ptr<member> add(std::string address,
                                std::function<void(shed_reason)> shed);

private:
    static bool is_large_answer(entry const& candidate);
    entry* least_needed();
    entry* largest();
    void shed(entry& victim, shed_reason reason);
    void report(entry const& subject, shed_reason reason) const;
    void set_bytes(entry& changed, std::uint64_t bytes);
    void remove(std::list<entry>::iterator place);

    budget_limits limits_;
    observer observe_;
    std::list<entry> entries_;
    std::uint64_t bytes_ = 0;
    std::uint32_t open_ = 0;
};

} // namespace fuchsia::adapters::http
