#pragma once

#include "core/common/time.hpp"
#include "core/contracts/contract.hpp"
#include "core/tasks/quota_document.hpp"
#include "core/tasks/store_calls.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

// Distribution of each customer's contract over the cells. The sum of the
// grants never exceeds the contract and each cell stays within its grant, so
// that the customer stays within its contract without a store call for each
// task.
namespace fuchsia::core::tasks
{

/// Resources that one cell needs for one customer.
struct cell_need
{
    std::uint64_t epoch = 0;
    allowance in_use;
    allowance requested; ///< `in_use` plus the queued tasks.
    /// Need of the next queued task. The unused part of a grant that cannot
    /// hold this task is returned. Otherwise the cells could split a contract
    /// into parts that are too small for any task.
    allowance next_task;
};

struct quota_settings
{
    /// Time between reads while the contract is fully granted to other cells,
    /// and before a retry of a failed call.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// Time after which an idle grant is returned.
    common::duration idle_timeout = std::chrono::seconds(1);
    /// Time before a document that could not be parsed is read again.
    common::duration refresh_interval = std::chrono::seconds(2);
};

/// Manages the grants of the cells that this planner owns.
class quota_manager
{
public:
    quota_manager(std::uint64_t incarnation, quota_settings settings);

    /// Sets the need of one cell; called whenever the need changes.
    void set_need(std::string const& customer,
                  std::string const& cell,
                  cell_need const& need);
    /// Drops a cell that this planner no longer owns.
    void drop_cell(std::string const& cell);
    /// Reads the documents again after a possible change of contracts.
    void refresh();

    /// Returns what the cell may use now. This is zero until its grant has been
    /// read and bears the epoch of the cell's current claim.
    allowance allowed(std::string const& customer,
                      std::string const& cell,
                      contracts::contract const& contract) const;
    /// Whether the grant is known, so that use above it exceeds the quota.
    bool grant_known(std::string const& customer,
                     std::string const& cell) const;

    void tick(common::time_point now,
              std::map<std::string, contracts::contract, std::less<>> const&
                  contracts,
              store_calls& calls,
              ports::actions& out);
    void on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply);

private:
    struct account
    {
        std::map<std::string, cell_need> needs;
        quota_document stored;
        std::uint64_t version = 0;
        bool loaded = false;
        std::uint64_t call = 0;
        bool call_is_write = false;
        quota_document written_document; ///< Document of the write in flight.
        /// Smallest grant of each cell in writes whose outcome is unknown.
        std::map<std::string, cell_grant> uncertain_grants;
        common::time_point next_call_at{};
        std::optional<common::time_point> idle_since;
    };

    void send_read(std::string const& customer,
                   account& entry,
                   store_calls& calls,
                   ports::actions& out);
    void send_write(std::string const& customer,
                    account& entry,
                    quota_document next,
                    store_calls& calls,
                    ports::actions& out);
    /// Whether some cell requests more than its grant.
    static bool needs_more(account const& entry);
    std::optional<quota_document>
    next_document(common::time_point now,
                  account& entry,
                  contracts::contract const& contract) const;
    static void accept_document(account& entry,
                                quota_document document,
                                std::uint64_t version);

    std::string writer_;
    quota_settings settings_;
    std::uint64_t write_count_ = 0;
    std::map<std::string, account> accounts_;
};

} // namespace fuchsia::core::tasks
