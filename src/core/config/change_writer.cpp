#include "core/config/change_writer.hpp"

#include <utility>

namespace fuchsia::core::config
{

namespace
{

/// Documents erased after one change; the next change erases more.
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
    ready_ = true;
    send(now, next_call, out);
}

void change_writer::tick(common::time_point now,
                         std::uint64_t& next_call,
                         ports::actions& out)
{
    if (!finished() && !waiting_for_ && now >= retry_at_)
    {
        ready_ = true;
        send(now, next_call, out);
    }
}

bool change_writer::on_store_reply(common::time_point now,
                                   ports::store_reply const& reply,
                                   std::uint64_t& next_call,
                                   ports::actions& out)
{
    if (!waiting_for_ || reply.id.number != *waiting_for_)
    {
        return false;
    }
    waiting_for_.reset();
    switch (step_)
    {
    case step::reading:
        on_index(now, reply);
        break;
    case step::writing_document:
        on_document(now, reply.status);
        break;
    case step::moving_index:
        on_move(now, reply.status);
        break;
    case step::listing_documents:
        on_documents(reply);
        break;
    case step::erasing_documents:
        garbage_.pop_back();
        step_ = garbage_.empty() ? step::finished : step_;
        ready_ = !garbage_.empty();
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

/// Sends the call of the present step where it is due, or gives up.
void change_writer::send(common::time_point now,
                         std::uint64_t& next_call,
                         ports::actions& out)
{
    if (!ready_ || finished())
    {
        return;
    }
    ready_ = false;
    if (!result_ && now >= give_up_at_)
    {
        finish({common::result_code::store_unavailable,
                std::string(index_key),
                "the store did not answer in time; nothing was changed"},
               0);
        return;
    }
    waiting_for_ = next_call++;
    out.emplace_back(ports::store_call{
        {ports::store_requester::administration, *waiting_for_}, operation()});
}

ports::store_operation change_writer::operation() const
{
    switch (step_)
    {
    case step::writing_document:
    {
        auto const& contract =
            std::get<put_contract>(request_.requested_change).value;
        auto const& entry = move_->index.contracts.at(contract.customer);
        return ports::store_write{
            document_key(contract.customer, entry.document),
            to_json(contract),
            0};
    }
    case step::moving_index:
        return ports::store_write{
            std::string(index_key), to_json(move_->index), move_->expected};
    case step::listing_documents:
        return ports::store_list{document_key(*customer(), {})};
    case step::erasing_documents:
        return ports::store_erase{garbage_.back().key, garbage_.back().version};
    case step::reading:
    case step::finished:
        break;
    }
    return ports::store_read{std::string(index_key)};
}

void change_writer::pause(common::time_point now)
{
    retry_at_ = now + settings_.retry_interval;
    ready_ = false;
}

/// Sets the result. While a swap may still take effect, no failure is told as
/// one that changed nothing.
void change_writer::finish(common::failure reason, std::uint64_t revision)
{
    bool const accepted = reason.code == common::result_code::ok;
    if (!accepted && move_ && move_->unclear)
    {
        reason = {common::result_code::store_unclear,
                  std::string(index_key),
                  "the answer was lost and reading back did not settle it"};
    }
    result_ = change_result{std::move(reason), revision};
    step_ = step::finished;
    if (accepted && customer() != nullptr)
    {
        step_ = step::listing_documents;
        ready_ = true;
    }
}

void change_writer::on_index(common::time_point now,
                             ports::store_reply const& reply)
{
    if (reply.status != ports::store_status::done)
    {
        pause(now);
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
        pause(now); // A stale answer.
        return;
    }
    if (move_ && !settle_move(now, index, version))
    {
        return;
    }
    decide(std::move(index), version);
}

/// Looks in a newly read index for the fate of the swap that was sent. True:
/// it did not take effect and never will.
bool change_writer::settle_move(common::time_point now,
                                index_document const& index,
                                std::uint64_t version)
{
    auto const target = move_->index.revision;
    auto const writer_of = index.recent_writes.find(target);
    if (writer_of != index.recent_writes.end())
    {
        if (writer_of->second == request_.write_id)
        {
            finish({}, target);
            return false;
        }
        move_.reset();
        ++lost_races_;
        return true;
    }
    if (version == move_->expected)
    {
        step_ = step::moving_index;
        pause(now); // A stale answer would have the two alternate at once.
        return false;
    }
    if (index.revision < target)
    {
        pause(now); // Older than what the swap was made from: stale.
        return false;
    }
    finish({common::result_code::store_unclear,
            std::string(index_key),
            "too many changes came after it to tell"},
           index.revision);
    return false;
}

void change_writer::decide(index_document index, std::uint64_t version)
{
    if (!base_)
    {
        base_ = request_.if_revision.value_or(index.revision);
    }
    auto const newest = index.revision;
    bool const changed =
        last_change_revision(index, request_.requested_change) > *base_;
    if (changed || *base_ > newest || lost_races_ > settings_.max_lost_races)
    {
        finish({common::result_code::conflict,
                std::string(index_key),
                changed ? "somebody else changed it after revision " +
                              std::to_string(*base_)
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
    if (!make_next(index, reason))
    {
        finish(std::move(reason), newest);
        return;
    }
    move_ = sent_move{std::move(index), version, false};
    step_ = std::holds_alternative<put_contract>(request_.requested_change)
                ? step::writing_document
                : step::moving_index;
    ready_ = true;
}

/// Turns the index that was read into the one that is to replace it.
bool change_writer::make_next(index_document& index, common::failure& reason)
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
    // The key holds the write id: a conflict says that an earlier try, whose
    // answer was lost, has written it.
    if (status == ports::store_status::done ||
        status == ports::store_status::conflict)
    {
        step_ = step::moving_index;
        ready_ = true;
        return;
    }
    pause(now);
}

void change_writer::on_move(common::time_point now, ports::store_status status)
{
    switch (status)
    {
    case ports::store_status::done:
        finish({}, move_->index.revision);
        return;
    case ports::store_status::unavailable:
        pause(now);
        return;
    case ports::store_status::unclear:
        move_->unclear = true;
        [[fallthrough]];
    case ports::store_status::conflict:
        step_ = step::reading;
        ready_ = true;
        return;
    }
}

/// Collects the documents of this customer that nothing points to. One named
/// for a revision that the index has reached can't be pointed to any more,
/// since its writer's swap expects an older index. The document before this
/// one stays, for those who still read the index before this one.
void change_writer::on_documents(ports::store_reply const& reply)
{
    step_ = step::finished;
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    auto const own = document_name(result_->revision, request_.write_id);
    auto const prefix = document_key(*customer(), {});
    for (auto const& entry : reply.entries)
    {
        if (!entry.key.starts_with(prefix) || garbage_.size() == max_erased)
        {
            continue;
        }
        auto const document = entry.key.substr(prefix.size());
        auto const revision = revision_of_document(document);
        if (document != own && document != previous_document_ &&
            revision != 0 && revision <= result_->revision)
        {
            garbage_.push_back({entry.key, {}, entry.version});
        }
    }
    if (!garbage_.empty())
    {
        step_ = step::erasing_documents;
        ready_ = true;
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
