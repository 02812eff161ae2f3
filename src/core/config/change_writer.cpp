#include "core/config/change_writer.hpp"

#include <utility>

namespace fuchsia::core::config
{

namespace
{

/// Maximum number of documents erased after one change; the next change erases
/// the others.
constexpr std::size_t max_erased = 16;

} // namespace

bool change_result::accepted() const noexcept
{
    return reason.code == common::result_code::ok;
}

change_writer::change_writer(change_writer_settings settings,
                             change_request request)
    : settings_(settings), request_(std::move(request))
{
}

void change_writer::start(common::time_point now,
                          std::uint64_t& next_call,
                          ports::actions& out)
{
    give_up_at_ = now + settings_.give_up_after;
    send_due_ = true;
    send(now, next_call, out);
}

void change_writer::tick(common::time_point now,
                         std::uint64_t& next_call,
                         ports::actions& out)
{
    if (!finished() && !pending_call_id_ && now >= retry_at_)
    {
        send_due_ = true;
        send(now, next_call, out);
    }
}

bool change_writer::on_store_reply(common::time_point now,
                                   ports::store_reply const& reply,
                                   std::uint64_t& next_call,
                                   ports::actions& out)
{
    if (!pending_call_id_ || reply.id.number != *pending_call_id_)
    {
        return false;
    }
    pending_call_id_.reset();
    switch (step_)
    {
    case step::reading:
        on_index(now, reply);
        break;
    case step::writing_document:
        on_document(now, reply.status);
        break;
    case step::swapping_index:
        on_swap(now, reply.status);
        break;
    case step::listing_documents:
        on_documents(reply);
        break;
    case step::erasing_documents:
        unreferenced_documents_.pop_back();
        step_ = unreferenced_documents_.empty() ? step::finished : step_;
        send_due_ = !unreferenced_documents_.empty();
        break;
    case step::finished:
        break;
    }
    send(now, next_call, out);
    return true;
}

change_request const& change_writer::request() const noexcept
{
    return request_;
}

std::optional<change_result> const& change_writer::result() const noexcept
{
    return result_;
}

bool change_writer::finished() const noexcept
{
    return step_ == step::finished;
}

/// Sends the call of the current step if it is due; fails the change if it has
/// taken longer than `give_up_after`.
void change_writer::send(common::time_point now,
                         std::uint64_t& next_call,
                         ports::actions& out)
{
    if (!send_due_ || finished())
    {
        return;
    }
    send_due_ = false;
    if (!result_ && now >= give_up_at_)
    {
        finish({common::result_code::store_unavailable,
                std::string(index_key),
                "the store did not answer in time; nothing was changed"},
               0);
        return;
    }
    pending_call_id_ = next_call++;
    out.emplace_back(ports::store_call{
        {ports::store_requester::administration, *pending_call_id_},
        operation()});
}

ports::store_operation change_writer::operation() const
{
    switch (step_)
    {
    case step::writing_document:
    {
        auto const& contract =
            std::get<put_contract>(request_.requested_change).value;
        auto const& entry = swap_->index.contracts.at(contract.customer);
        return ports::store_write{
            document_key(contract.customer, entry.document),
            to_json(contract),
            0};
    }
    case step::swapping_index:
        return ports::store_write{
            std::string(index_key), to_json(swap_->index), swap_->expected};
    case step::listing_documents:
        return ports::store_list{document_key(*customer(), {})};
    case step::erasing_documents:
        return ports::store_erase{unreferenced_documents_.back().key,
                                  unreferenced_documents_.back().version};
    case step::reading:
    case step::finished:
        break;
    }
    return ports::store_read{std::string(index_key)};
}

void change_writer::schedule_retry(common::time_point now)
{
    retry_at_ = now + settings_.retry_interval;
    send_due_ = false;
}

/// Sets the result. While a swap may still take effect, every failure is
/// reported as `store_unclear`, not as one that changed nothing.
void change_writer::finish(common::failure reason, std::uint64_t revision)
{
    bool const accepted = reason.code == common::result_code::ok;
    if (!accepted && swap_ && swap_->may_take_effect)
    {
        reason = {
            common::result_code::store_unclear,
            std::string(index_key),
            "the reply was lost and reading back did not show the outcome"};
    }
    result_ = change_result{std::move(reason), revision};
    step_ = step::finished;
    if (accepted && customer() != nullptr)
    {
        step_ = step::listing_documents;
        send_due_ = true;
    }
}

void change_writer::on_index(common::time_point now,
                             ports::store_reply const& reply)
{
    if (reply.status != ports::store_status::done)
    {
        schedule_retry(now);
        return;
    }
    index_document index;
    std::uint64_t version = 0;
    if (!reply.entries.empty())
    {
        common::failure reason;
        auto parsed = parse_index(reply.entries.front().value, reason);
        if (!parsed)
        {
            finish(std::move(reason), 0);
            return;
        }
        index = std::move(*parsed);
        version = reply.entries.front().version;
    }
    if (index.revision < request_.known_revision)
    {
        schedule_retry(now); // A stale read.
        return;
    }
    if (swap_ && !resolve_swap(now, index, version))
    {
        return;
    }
    prepare_swap(std::move(index), version);
}

/// Determines the outcome of the sent swap from a newly read index. Returns
/// true if the swap did not take effect and never will.
bool change_writer::resolve_swap(common::time_point now,
                                 index_document const& index,
                                 std::uint64_t version)
{
    auto const swap_revision = swap_->index.revision;
    auto const recorded_write = index.recent_writes.find(swap_revision);
    if (recorded_write != index.recent_writes.end())
    {
        if (recorded_write->second == request_.write_id)
        {
            finish({}, swap_revision);
            return false;
        }
        swap_.reset();
        ++lost_races_;
        return true;
    }
    if (version == swap_->expected)
    {
        step_ = step::swapping_index;
        // Without a pause, a stale read and the swap's conflict would follow
        // each other in a tight loop.
        schedule_retry(now);
        return false;
    }
    if (index.revision < swap_revision)
    {
        schedule_retry(now); // A stale read, older than the base of the swap.
        return false;
    }
    finish({common::result_code::store_unclear,
            std::string(index_key),
            "too many later changes to determine the outcome"},
           index.revision);
    return false;
}

void change_writer::prepare_swap(index_document index, std::uint64_t version)
{
    if (!base_revision_)
    {
        base_revision_ = request_.if_revision.value_or(index.revision);
    }
    auto const newest = index.revision;
    bool const changed_since_base =
        last_change_revision(index, request_.requested_change) >
        *base_revision_;
    if (changed_since_base || *base_revision_ > newest ||
        lost_races_ > settings_.max_lost_races)
    {
        finish({common::result_code::conflict,
                std::string(index_key),
                changed_since_base
                    ? "another change was made after revision " +
                          std::to_string(*base_revision_)
                    : "the newest revision is " + std::to_string(newest)},
               newest);
        return;
    }
    if (auto const* name = customer())
    {
        auto const entry = index.contracts.find(*name);
        previous_document_ =
            entry == index.contracts.end() ? "" : entry->second.document;
    }
    common::failure reason;
    if (!make_next_index(index, reason))
    {
        finish(std::move(reason), newest);
        return;
    }
    swap_ = sent_swap{std::move(index), version, false};
    step_ = std::holds_alternative<put_contract>(request_.requested_change)
                ? step::writing_document
                : step::swapping_index;
    send_due_ = true;
}

/// Applies the change to the index that was read, which gives the index that is
/// to replace it.
bool change_writer::make_next_index(index_document& index,
                                    common::failure& reason)
{
    ++index.revision;
    index.recent_writes[index.revision] = request_.write_id;
    while (index.recent_writes.size() > max_recent_writes)
    {
        index.recent_writes.erase(index.recent_writes.begin());
    }
    for (auto const& name : request_.observed_data_centres)
    {
        if (index.data_centres.size() < max_data_centres)
        {
            index.data_centres.try_emplace(name);
        }
    }
    return apply_to_index(
        index, request_.write_id, request_.requested_change, reason);
}

void change_writer::on_document(common::time_point now,
                                ports::store_status status)
{
    // The key contains the write id, so a conflict means that an earlier
    // attempt whose reply was lost has written the document.
    if (status == ports::store_status::done ||
        status == ports::store_status::conflict)
    {
        step_ = step::swapping_index;
        send_due_ = true;
        return;
    }
    schedule_retry(now);
}

void change_writer::on_swap(common::time_point now, ports::store_status status)
{
    switch (status)
    {
    case ports::store_status::done:
        finish({}, swap_->index.revision);
        return;
    case ports::store_status::unavailable:
        schedule_retry(now);
        return;
    case ports::store_status::unclear:
        swap_->may_take_effect = true;
        [[fallthrough]];
    case ports::store_status::conflict:
        step_ = step::reading;
        send_due_ = true;
        return;
    }
}

/// Collects the customer's documents that no index refers to. A document named
/// for a revision that the index has already reached can't become referenced,
/// since its writer's swap expects an older index. The previous document is
/// kept for readers that still use the previous index.
void change_writer::on_documents(ports::store_reply const& reply)
{
    step_ = step::finished;
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    auto const own_document =
        document_name(result_->revision, request_.write_id);
    auto const prefix = document_key(*customer(), {});
    for (auto const& entry : reply.entries)
    {
        if (!entry.key.starts_with(prefix) ||
            unreferenced_documents_.size() == max_erased)
        {
            continue;
        }
        auto const document = entry.key.substr(prefix.size());
        auto const revision = revision_of_document(document);
        if (document != own_document && document != previous_document_ &&
            revision != 0 && revision <= result_->revision)
        {
            unreferenced_documents_.push_back({entry.key, {}, entry.version});
        }
    }
    if (!unreferenced_documents_.empty())
    {
        step_ = step::erasing_documents;
        send_due_ = true;
    }
}

std::string const* change_writer::customer() const noexcept
{
    if (auto const* put = std::get_if<put_contract>(&request_.requested_change))
    {
        return &put->value.customer;
    }
    auto const* withdraw =
        std::get_if<withdraw_contract>(&request_.requested_change);
    return withdraw == nullptr ? nullptr : &withdraw->customer;
}

} // namespace fuchsia::core::config
