#pragma once

#include "tools/soak/observed_history.hpp"

// Checks what callers are told about their jobs.
namespace fuchsia::tools::soak
{

/// Checks the rules `lost`, `state` and `counts`. Answers are checked with a
/// delay, so that every event that an answer may reflect has been observed too.
class jobs_check
{
public:
    static void record(observed_history& history,
                       core::common::time_point at,
                       submit_sent const& call);
    static void record(observed_history& history,
                       core::common::time_point at,
                       submit_ended const& call);
    static void record(observed_history& history,
                       core::common::time_point at,
                       cancel_ended const& call);

    /// Checks an answer that arrived at `at`.
    static void check_answer(observed_history& history,
                             core::common::time_point at,
                             status_query_ended const& answer);
    static void check_answer(observed_history& history,
                             core::common::time_point at,
                             waiting_query_ended const& answer);

    /// Checks the outcome of all accepted jobs. All answers must have been
    /// checked before.
    static void finish(observed_history& history, core::common::time_point now);
};

} // namespace fuchsia::tools::soak
