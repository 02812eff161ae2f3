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
    /// One long poll of the store's index key waits this long.
    common::duration watch_wait = std::chrono::seconds(10);
    /// Pause before the next try after an unanswered call.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// The index is read this often, so that the configuration's proof stays
    /// young between changes. A read, since a reply proves the state at some
    /// time after its call was sent and not later than that: a watch that
    /// waited for 10 s proves nothing about its last 10 s. Two reads a second
    /// and a watch each 10 s make 2.1 calls a second of a process, 139 of the
    /// store's 2,000 for 66 processes; shorter watches in place of the reads
    /// would cost as many calls and leave the proof twice as old.
    common::duration confirm_interval = std::chrono::milliseconds(500);
};

/// Keeps this process's configuration the newest that the store or any peer
/// has: watches the index, reads changed contracts, takes a peer's offer, and
/// never applies a revision that is not higher than the last.
class configuration_follower
{
public:
    explicit configuration_follower(follower_settings settings);

    void start(common::time_point now, ports::actions& out);
    void tick(common::time_point now, ports::actions& out);
    /// Only replies of `store_user::configuration`.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        ports::actions& out);
    /// Handles config_offer and config_request, answers through `from`.
    void on_peer(common::time_point now,
                 ports::peer_receive const& message,
                 ports::endpoint const& from,
                 ports::actions& out);
    /// A peer or witness said that it has `revision`: asks it for the content
    /// where that is newer.
    void on_peer_revision(common::time_point now,
                          std::uint64_t revision,
                          ports::member_identity const& from,
                          ports::endpoint const& where,
                          ports::actions& out);

    /// Applies a configuration that the store is known to hold, learnt from
    /// another than the store: the writer of a change knows it first. Nothing
    /// happens where it is not newer.
    void adopt(configuration newer, ports::actions& out);

    configuration const& current() const noexcept;
    /// When the store last showed that `current` is its newest: the time at
    /// which the confirming call was SENT. The epoch where it never did.
    common::time_point confirmed_at() const noexcept;
    /// When the store last answered any call; empty where it never did.
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
        common::time_point sent;
        std::string customer; ///< Of `document`.
        std::string key;      ///< Of `document`.
    };

    /// A newer index whose documents are being read. It is applied once all
    /// are there and never in part.
    struct fetch
    {
        index_document index;
        common::time_point index_sent; ///< When its newest proof was sent.
        std::map<std::string, contracts::contract, std::less<>> loaded;
        common::time_point retry_at;
    };

    // follower.cpp: when to look, and what was found.
    void send(common::time_point now,
              pending_call call,
              ports::store_operation operation,
              ports::actions& out);
    void send_confirm(common::time_point now, ports::actions& out);
    void send_watch(common::time_point now, ports::actions& out);
    bool in_flight(call_kind kind) const noexcept;
    bool in_flight(std::string const& key) const noexcept;
    void on_index(common::time_point now,
                  common::time_point sent,
                  ports::store_reply const& reply,
                  ports::actions& out);
    void apply(configuration newer, char const* source, ports::actions& out);
    void on_offer(common::time_point now,
                  ports::peer_receive const& message,
                  ports::config_offer const& offer,
                  ports::actions& out);
    void refuse(common::time_point now,
                std::string const& what,
                common::failure const& reason,
                ports::actions& out);

    // follower_fetch.cpp: the documents of a newer index.
    void send_missing(common::time_point now, ports::actions& out);
    void begin_fetch(common::time_point now,
                     common::time_point sent,
                     index_document index,
                     ports::actions& out);
    void on_documents(common::time_point now,
                      pending_call const& call,
                      ports::store_reply const& reply,
                      ports::actions& out);
    void take_document(common::time_point now,
                       std::string const& customer,
                       std::string const& text,
                       ports::actions& out);
    std::vector<std::string> missing() const;
    void apply_if_whole(ports::actions& out);

    follower_settings settings_;
    configuration current_;
    common::time_point confirmed_at_{};
    std::optional<fetch> fetch_;
    std::map<std::uint64_t, pending_call> calls_; ///< At most a handful.
    std::uint64_t next_call_ = 1;
    common::time_point confirm_due_{};
    common::time_point watch_due_{};
    bool store_seen_ = false; ///< Whether the index was read at least once.
    std::optional<common::time_point> store_answered_at_;
    std::uint64_t watch_index_ = 0;
    std::optional<common::time_point> asked_peer_at_;
    std::string last_refusal_;
    common::time_point last_refusal_at_{};
};

} // namespace fuchsia::core::config
