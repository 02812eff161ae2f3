#pragma once

#include "core/pool/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

/// Workers by an amount that each has left.
class sorted_workers
{
public:
    /// Forgets all; numbers below `count` may be put in.
    void clear(std::size_t count);
    void append(std::size_t number, std::int64_t left);
    /// To be called once all are appended.
    void sort();
    /// Puts a worker in its place, or takes it out of it.
    void insert(std::size_t number, std::int64_t left);
    void erase(std::size_t number);
    /// Adds the numbers of those that have at least `least` left.
    void take(std::int64_t least, std::vector<std::size_t>& into) const;

private:
    struct entry
    {
        std::int64_t left = 0;
        std::size_t number = 0;
    };
    static bool before(entry const& one, entry const& other) noexcept;

    std::vector<entry> entries_;      ///< The most first.
    std::vector<std::int64_t> lefts_; ///< By number, as put in.
    std::vector<bool> present_;       ///< By number.
};

/// The workers that a round of placing may use, by the cores that they have
/// left, so that a task is held against those alone that may have room for it.
/// It only leaves workers out: whether one takes the task, its user finds out.
class room_index
{
public:
    /// A worker and its place in the fleet's order.
    struct candidate
    {
        std::size_t number = 0;
        worker* which = nullptr;
    };

    /// In the fleet's order, that of their ids.
    explicit room_index(std::vector<worker*> usable);

    /// Something was placed on the worker, or taken from it.
    void touch(worker const& changed);
    /// Those that may have so many cores, in thousandths, without a
    /// reservation.
    std::vector<candidate> with_free(std::int64_t millicores);
    /// Those on which so many may be idle. How many are is known only where the
    /// worker's view is; those without a view are always among them.
    std::vector<candidate> with_idle(std::int64_t millicores);

private:
    void sort_free();
    void sort_idle();
    void put_idle(std::size_t number);
    std::vector<candidate>
    candidates(std::vector<std::size_t> const& numbers) const;

    std::vector<worker*> all_;
    sorted_workers free_;
    sorted_workers idle_;
    std::vector<std::size_t> unknown_; ///< Without a view when last looked at.
    bool free_sorted_ = false;
    bool idle_sorted_ = false;
};

} // namespace fuchsia::core::pool
