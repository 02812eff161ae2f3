#include "core/pool/progress.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;

// Columns of the row of a task, in this order. Rows are arrays without names,
// since a large job's record contains a hundred of them.
enum column : std::size_t
{
    occurrence_column,
    step_column,
    index_column,
    done_column,
    failures_column,
    checkpoint_column,
    column_count,
};

// Maximum number of an occurrence, a step, an index or an attempt.
constexpr std::int64_t max_number = 1'000'000'000;

std::optional<std::vector<std::uint32_t>> numbers_from(json::value const& list)
{
    auto const* const cells = list.if_array();
    if (cells == nullptr)
    {
        return std::nullopt;
    }
    std::vector<std::uint32_t> numbers;
    for (auto const& cell : *cells)
    {
        auto const* const number = cell.if_int64();
        if (number == nullptr || *number < 0 || *number > max_number)
        {
            return std::nullopt;
        }
        numbers.push_back(static_cast<std::uint32_t>(*number));
    }
    return numbers;
}

std::optional<progress::task> task_from(json::value const& row)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != column_count)
    {
        return std::nullopt;
    }
    auto const place = numbers_from(
        json::array(cells->begin(), cells->begin() + failures_column));
    auto const failures = numbers_from((*cells)[failures_column]);
    auto const* const checkpoint = (*cells)[checkpoint_column].if_string();
    if (!place || !failures || checkpoint == nullptr)
    {
        return std::nullopt;
    }
    return progress::task{(*place)[occurrence_column],
                          (*place)[step_column],
                          (*place)[index_column],
                          (*place)[done_column] != 0,
                          *failures,
                          std::string(*checkpoint)};
}

// Columns of the row of a suspect, in this order.
enum suspect_column : std::size_t
{
    suspect_occurrence_column,
    suspect_step_column,
    suspect_index_column,
    alone_column,
    shared_column,
    confirmed_column,
    longest_lost_run_column,
    worker_column,
    incarnation_column,
    suspect_column_count,
};

// Maximum age of a lost run in a record, in milliseconds.
constexpr std::int64_t max_age_ms = 1'000'000'000;

json::array row_of(progress::suspect const& value)
{
    auto const& history = value.history;
    return json::array{
        value.occurrence,
        value.step,
        value.index,
        history.alone,
        history.shared,
        history.confirmed,
        std::min<std::int64_t>(
            common::to_milliseconds(history.longest_lost_run), max_age_ms),
        history.worker,
        history.worker_incarnation};
}

std::optional<progress::suspect> suspect_from(json::value const& row)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != suspect_column_count)
    {
        return std::nullopt;
    }
    auto const numbers = numbers_from(
        json::array(cells->begin(), cells->begin() + worker_column));
    auto const* const worker = (*cells)[worker_column].if_string();
    auto const* const incarnation = (*cells)[incarnation_column].if_int64();
    if (!numbers || worker == nullptr || incarnation == nullptr ||
        *incarnation < 0)
    {
        return std::nullopt;
    }
    crash_record history;
    history.alone = (*numbers)[alone_column];
    history.shared = (*numbers)[shared_column];
    history.confirmed = (*numbers)[confirmed_column];
    history.longest_lost_run =
        std::chrono::milliseconds((*numbers)[longest_lost_run_column]);
    history.worker = *worker;
    history.worker_incarnation = static_cast<std::uint64_t>(*incarnation);
    return progress::suspect{(*numbers)[suspect_occurrence_column],
                             (*numbers)[suspect_step_column],
                             (*numbers)[suspect_index_column],
                             std::move(history)};
}

// Appends the rows of the array `key` to `result`; a row that can't be parsed
// is an error of `in`.
template<class Row, class Parse>
void read_rows(common::json_reader& in,
               json::array const* rows,
               std::string_view key,
               Parse parse,
               std::vector<Row>& result)
{
    for (std::size_t number = 0; rows != nullptr && number < rows->size();
         ++number)
    {
        std::optional<Row> row = parse((*rows)[number]);
        if (!row)
        {
            in.fail(common::result_code::wrong_type,
                    key,
                    "row " + std::to_string(number) + " is no task");
            return;
        }
        result.push_back(std::move(*row));
    }
}

} // namespace

std::string to_json(progress const& value)
{
    json::array rows;
    for (auto const& t : value.tasks)
    {
        rows.push_back(json::array{t.occurrence,
                                   t.step,
                                   t.index,
                                   t.done ? 1 : 0,
                                   json::value_from(t.failures),
                                   t.checkpoint});
    }
    json::object result{{"job", value.job}, {"tasks", std::move(rows)}};
    if (!value.suspects.empty())
    {
        json::array suspects;
        for (auto const& s : value.suspects)
        {
            suspects.push_back(row_of(s));
        }
        result["suspects"] = std::move(suspects);
    }
    return json::serialize(result);
}

std::optional<progress> parse_progress(std::string_view text,
                                       common::failure& reason)
{
    auto const object = common::parse_json_object(text, "progress", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader in(*object, "progress");
    progress value;
    value.job = in.text("job");
    read_rows(in, in.array("tasks"), "tasks", task_from, value.tasks);
    // Records that were written before tasks were blamed for crashes have none.
    if (object->contains("suspects"))
    {
        read_rows(
            in, in.array("suspects"), "suspects", suspect_from, value.suspects);
    }
    if (!in.ok())
    {
        reason = in.reason();
        return std::nullopt;
    }
    return value;
}

} // namespace fuchsia::core::pool
