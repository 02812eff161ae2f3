#pragma once

#include "core/common/time.hpp"
#include "core/contracts/contract.hpp"
#include "core/tasks/quota_document.hpp"
#include "core/tasks/store_calls.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

// What of a customer's contract each cell may use. The sum of the grants
// never exceeds the contract, and each cell stays within its grant, so the
// customer stays within its contract without a call per task.
namespace fuchsia::core::tasks
{

/// One cell's need of one customer: in use now, and hoped for.
struct cell_need
{
    std::uint64_t epoch = 0;
    allowance in_use;
    allowance requested; ///< `in_use` and what is queued.
    /// Of the next queued task. A grant that can't hold one more is given
    /// back, or cells could share a contract in parts too small for any task.
    allowance next_task;
};

struct quota_settings
{
    /// Between reads while the contract is fully granted elsewhere.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// A grant that stands idle this long is given back.
    common::duration idle_time = std::chrono::seconds(1);
    /// A document is read again at least this often while a contract is
    /// overdrawn or was changed.
    common::duration refresh_interval = std::chrono::seconds(2);
};

/// The grants of this planner's cells.
class quota_manager
{
public:
    quota_manager(std::uint64_t incarnation, quota_settings settings);

    /// Tells the need of one cell, whenever it changes.
    void set_need(std::string const& customer,
                  std::string const& cell,
                  cell_need const& need);
    /// The cell is no longer this planner's.
    void drop_cell(std::string const& cell);
    /// Contracts may have changed: read the documents again.
    void refresh();

    /// What the cell may use now. Zero until its grant is read and bears the
    /// epoch of the cell's present claim.
    allowance allowed(std::string const& customer,
                      std::string const& cell,
                      contracts::contract const& contract) const;
    /// Whether the grant is known, so that use above it is an overage.
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
        bool read = false;
        std::uint64_t call = 0;
        bool call_writes = false;
        quota_document attempted; ///< Of the write in flight.
        /// What writes of unknown fate would leave each cell.
        std::map<std::string, cell_grant> doubtful;
        common::time_point next_try{};
        std::optional<common::time_point> idle_since;
    };

    void send_read(std::string const& customer,
                   account& of,
                   store_calls& calls,
                   ports::actions& out);
    void send_write(std::string const& customer,
                    account& of,
                    quota_document next,
                    store_calls& calls,
                    ports::actions& out);
    /// Some cell hopes for more than its grant.
    static bool is_short(account const& of);
    std::optional<quota_document>
    next_document(common::time_point now,
                  account& of,
                  contracts::contract const& contract) const;
    static void accept_document(account& of,
                                quota_document document,
                                std::uint64_t version);

    std::string writer_;
    quota_settings settings_;
    std::uint64_t writes_ = 0;
    std::map<std::string, account> accounts_;
};

} // namespace fuchsia::core::tasks
