#pragma once

#include "tools/soak/observed_history.hpp"

// What callers are told of their jobs.
namespace fuchsia::tools::soak
{

/// Checks `lost`, `state` and `counts`. Answers are judged a while after they
/// came, when all that they may rightly tell has been seen here as well.
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

    /// Judges an answer that came at `at`.
    static void check_answer(observed_history& history,
                      core::common::time_point at,
                      status_query_ended const& answer);
    static void check_answer(observed_history& history,
                      core::common::time_point at,
                      waiting_query_ended const& answer);

    /// What became of all accepted jobs; all answers have been judged.
    static void finish(observed_history& history, core::common::time_point now);
};

} // namespace fuchsia::tools::soak
