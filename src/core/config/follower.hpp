#pragma once

#include "core/config/configuration.hpp"
#include "core/config/index.hpp"
#include "ports/actions.hpp"
#include "ports/instances.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::core::config
{

struct follower_settings
{
    /// Maximum duration of one long poll of the index key.
    common::duration watch_wait = std::chrono::seconds(10);
    /// Pause before the retry of a call that the store did not answer.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// Time between two reads of the index, which keep `confirmed_at` recent
    /// between changes. Reads are used because a reply proves the state only at
    /// some time after its call was sent: a watch that waited for 10 s proves
    /// nothing about these 10 s. Two reads a second and one watch every 10 s
    /// are 2.1 calls a second for each process, or 139 of the store's limit of
    /// 2,000 for 66 processes. Shorter watches instead of the reads would cost
    /// as many calls and leave `confirmed_at` twice as old.
    common::duration confirm_interval = std::chrono::milliseconds(500);
};

/// Keeps this process's configuration at the newest revision that the store or
/// any peer has. Watches the index, reads changed contracts and applies offers
/// of peers. A revision that is not higher than the current one is never
/// applied.
class configuration_follower
{
public:
    explicit configuration_follower(follower_settings settings);

    void start(common::time_point now, ports::actions& out);
    void tick(common::time_point now, ports::actions& out);
    /// Handles a reply to a call of `store_requester::configuration`; others
    /// must not be passed in.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        ports::actions& out);
    /// Handles config_offer and config_request; `from` is the sender's address,
    /// to which the answer goes.
    void on_peer(common::time_point now,
                 ports::peer_receive const& message,
                 ports::endpoint const& from,
                 ports::actions& out);
    /// Handles the report of a peer or witness that it has `revision`. Requests
    /// the configuration from it if that revision is newer.
    void on_peer_revision(common::time_point now,
                          std::uint64_t revision,
                          ports::member_identity const& from,
                          ports::endpoint const& address,
                          ports::actions& out);

    /// Applies a configuration that is known to be stored but was not read from
    /// the store, such as the result of a change made by this process. Does
    /// nothing if it is not newer.
    void adopt(configuration newer, ports::actions& out);

    configuration const& current() const noexcept;
    /// Returns the time at which the last call that confirmed `current` as the
    /// store's newest configuration was sent, not answered. The clock's epoch
    /// if there was none.
    common::time_point confirmed_at() const noexcept;
    /// Returns the time of the store's last reply to any call; empty if there
    /// was none.
    std::optional<common::time_point> store_answered_at() const noexcept;

private:
    enum class call_kind : std::uint8_t
    {
        confirm,  ///< Read of the index.
        watch,    ///< Long poll on the index.
        document, ///< Read of one contract.
        list,     ///< Read of all contracts.
    };

    struct pending_call
    {
        call_kind kind = call_kind::confirm;
        common::time_point sent_at;
        std::string customer; ///< For `document`: customer of the contract.
        std::string key;      ///< For `document`: key that is read.
    };

    /// A newer index whose documents are being read. It is applied once all of
    /// them have been read, never in part.
    struct fetch
    {
        index_document index;
        common::time_point
            index_sent_at; ///< Time at which the latest read that
                           ///< returned this index was sent.
        std::map<std::string, contracts::contract, std::less<>> loaded;
        common::time_point retry_at;
    };

    // follower.cpp: reads and watches of the index, offers of peers.
    void send(common::time_point now,
              pending_call call,
              ports::store_operation operation,
              ports::actions& out);
    void send_confirm(common::time_point now, ports::actions& out);
    void send_watch(common::time_point now, ports::actions& out);
    bool in_flight(call_kind kind) const noexcept;
    bool in_flight(std::string const& key) const noexcept;
    void on_index(common::time_point now,
                  common::time_point sent_at,
                  ports::store_reply const& reply,
                  ports::actions& out);
    void apply(configuration newer, char const* source, ports::actions& out);
    void on_offer(common::time_point now,
                  ports::peer_receive const& message,
                  ports::config_offer const& offer,
                  ports::actions& out);
    void log_refusal(common::time_point now,
                     std::string const& subject,
                     common::failure const& reason,
                     ports::actions& out);

    // follower_fetch.cpp: reads of the documents of a newer index.
    void send_missing(common::time_point now, ports::actions& out);
    void begin_fetch(common::time_point now,
                     common::time_point sent_at,
                     index_document index,
                     ports::actions& out);
    void on_documents(common::time_point now,
                      pending_call const& call,
                      ports::store_reply const& reply,
                      ports::actions& out);
    void accept_document(common::time_point now,
                         std::string const& customer,
                         std::string const& text,
                         ports::actions& out);
    std::vector<std::string> missing_customers() const;
    void apply_if_complete(ports::actions& out);

    follower_settings settings_;
    configuration current_;
    common::time_point confirmed_at_{};
    std::optional<fetch> fetch_;
    std::map<std::uint64_t, pending_call> calls_; ///< Calls in flight.
    std::uint64_t next_call_ = 1;
    common::time_point confirm_due_{};
    common::time_point watch_due_{};
    bool index_read_ = false; ///< Whether the index was read at least once.
    std::optional<common::time_point> store_answered_at_;
    std::uint64_t watch_index_ = 0;
    std::optional<common::time_point> peer_requested_at_;
    std::string last_refusal_;
    common::time_point last_refusal_at_{};
};

} // namespace fuchsia::core::config
