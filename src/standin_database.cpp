#include "standin_database.h"

#include <algorithm>
#include <utility>

namespace primrosehead::standin {

namespace {

constexpr clock::duration unknown_age{24 * 60 * 60 * 1'000};

error wrong_term(std::uint64_t requested_term, std::uint64_t current_term)
{
    return error{error_kind::wrong_term,
                 "The request is for term " + std::to_string(requested_term) +
                     "; this server is at term " + std::to_string(current_term) + ".",
                 "Send the request to the primary of the current term."};
}

error unknown_transaction(std::string_view name)
{
    return error{error_kind::unknown_transaction,
                 "Transaction " + std::string(name) + " is not open on this connection.",
                 "Begin a new transaction."};
}

error refused_error(std::string_view reason, std::string_view remedy)
{
    return error{error_kind::backend_refused, std::string(reason), std::string(remedy)};
}

const std::string& key_of(const statement& parsed)
{
    if (const auto* put = std::get_if<put_statement>(&parsed)) {
        return put->key;
    }
    if (const auto* add = std::get_if<add_statement>(&parsed)) {
        return add->key;
    }
    if (const auto* get = std::get_if<get_statement>(&parsed)) {
        return get->key;
    }
    return std::get<scan_statement>(parsed).prefix;
}

boost::json::value write_outcome(const statement& parsed, const change& written_change)
{
    if (std::holds_alternative<add_statement>(parsed)) {
        return boost::json::object{{"value", written_change.value}};
    }
    return boost::json::object{{"ok", true}};
}

} // namespace

database::database(std::string server, storage& log_storage, database_faults faults,
                   std::uint64_t promised_term, std::vector<log_entry> entries)
    : server_(std::move(server)), storage_(log_storage), faults_(faults), term_(promised_term)
{
    for (log_entry& entry : entries) {
        store(entry);
        log_.append(std::move(entry));
    }
    applied_ = log_.last().index;
}

log_position database::position_at(std::uint64_t index) const noexcept
{
    return log_position{log_.term_at(index), index};
}

log_position database::applied() const noexcept
{
    return position_at(applied_);
}

clock::duration database::data_age(clock::time_point now) const noexcept
{
    if (primary_) {
        return clock::duration(0);
    }
    return fresh_as_of_ ? now - *fresh_as_of_ : unknown_age;
}

std::optional<error> database::check_term(std::uint64_t term) const
{
    const bool is_current_primary = primary_ && term == term_;
    if (is_current_primary || faults_.ignore_terms) {
        return std::nullopt;
    }
    return wrong_term(term, term_);
}

std::optional<error> database::check_minimum(std::optional<log_position> minimum) const
{
    const log_position visible = applied();
    const bool is_reached = !minimum || visible.term > minimum->term ||
                            (visible.term == minimum->term && visible.index >= minimum->index);
    if (is_reached) {
        return std::nullopt;
    }
    return error{error_kind::behind,
                 "The server has applied index " + std::to_string(applied_) +
                     "; the request requires index " + std::to_string(minimum->index) + ".",
                 "Retry, or use a server that has applied more of the log."};
}

std::optional<answer> database::recorded_answer(std::string_view idempotency_id) const
{
    if (idempotency_id.empty() || faults_.forget_idempotency) {
        return std::nullopt;
    }
    const auto found = idempotency_.find(std::string(idempotency_id));
    if (found == idempotency_.end()) {
        return std::nullopt;
    }
    return answer{log_.at(found->second).result, position_at(found->second), false, true};
}

boost::json::value database::read_at(const statement& parsed, std::uint64_t index) const
{
    if (const auto* scan = std::get_if<scan_statement>(&parsed)) {
        return boost::json::object{{"items", store_.scan(scan->prefix, scan->limit, index)}};
    }
    const boost::json::value* value = store_.find(key_of(parsed), index);
    return boost::json::object{{"value", value == nullptr ? boost::json::value() : *value}};
}

result<answer> database::read(const statement& parsed, std::optional<log_position> minimum) const
{
    if (writes(parsed)) {
        return refused_error("A read request contains a statement that writes.",
                             "Send it as a write request.");
    }
    if (const std::optional<error> behind = check_minimum(minimum)) {
        return *behind;
    }
    return answer{read_at(parsed, applied_), applied()};
}

result<std::vector<change>> database::changes_of(const statement& parsed,
                                                 const boost::json::value* old) const
{
    if (const auto* put = std::get_if<put_statement>(&parsed)) {
        return std::vector{change{put->key, put->value}};
    }
    const auto& add = std::get<add_statement>(parsed);
    const bool is_integer_or_null = old == nullptr || old->is_null() || old->is_int64();
    if (!is_integer_or_null) {
        return refused_error("add needs a key that has no value or an integer.",
                             "Store an integer with put first.");
    }
    const std::int64_t before = old != nullptr && old->is_int64() ? old->get_int64() : 0;
    return std::vector{change{add.key, boost::json::value(before + add.by)}};
}

result<answer> database::write(const statement& parsed, std::uint64_t term,
                               std::string_view idempotency_id)
{
    if (const std::optional<error> refusal = check_term(term)) {
        return *refusal;
    }
    if (!writes(parsed)) {
        return answer{read_at(parsed, applied_), applied()};
    }
    if (const std::optional<answer> earlier = recorded_answer(idempotency_id)) {
        return *earlier;
    }
    result<std::vector<change>> changes =
        changes_of(parsed, store_.find(key_of(parsed), log_.last().index));
    if (!ok(changes)) {
        return failure(changes);
    }
    const boost::json::value outcome = write_outcome(parsed, value(changes).front());
    const log_position position = append(std::move(value(changes)), idempotency_id, outcome);
    return answer{outcome, position, true};
}

result<transaction_begin> database::begin(transaction_mode mode, std::uint64_t connection,
                                          std::uint64_t term, std::optional<log_position> minimum)
{
    if (mode == transaction_mode::write) {
        if (const std::optional<error> refusal = check_term(term)) {
            return *refusal;
        }
    }
    if (const std::optional<error> behind = check_minimum(minimum)) {
        return *behind;
    }
    const bool has_open_transaction =
        std::any_of(transactions_.begin(), transactions_.end(), [connection](const auto& each) {
            return each.second.connection == connection;
        });
    if (has_open_transaction) {
        return refused_error("This connection already has an open transaction.",
                             "Commit or roll it back, or use another connection.");
    }
    std::string name = server_ + "-" + std::to_string(next_transaction_++);
    transaction open;
    open.mode = mode;
    open.connection = connection;
    open.snapshot = applied_;
    transactions_.emplace(name, std::move(open));
    return transaction_begin{std::move(name), applied()};
}

database::transactions::iterator database::find(std::string_view name, std::uint64_t connection)
{
    const auto found = transactions_.find(name);
    const bool is_owned = found != transactions_.end() && found->second.connection == connection;
    return is_owned ? found : transactions_.end();
}

const boost::json::value* database::find_visible(const transaction& open,
                                                 const std::string& key) const
{
    const auto own = open.pending.find(key);
    return own != open.pending.end() ? &own->second : store_.find(key, open.snapshot);
}

answer database::execute_read(transaction& open, const statement& parsed) const
{
    const std::uint64_t read_index = faults_.unstable_snapshot ? applied_ : open.snapshot;
    if (const auto* scan = std::get_if<scan_statement>(&parsed)) {
        open.prefixes_read.push_back(scan->prefix);
        boost::json::object items = store_.scan(scan->prefix, scan->limit, read_index);
        for (const auto& [key, value] : open.pending) {
            if (key.starts_with(scan->prefix)) {
                items[key] = value;
            }
        }
        return answer{boost::json::object{{"items", std::move(items)}}, position_at(read_index)};
    }
    const std::string& key = key_of(parsed);
    open.keys_read.push_back(key);
    const bool own = open.pending.contains(key);
    const boost::json::value* value = own ? &open.pending.at(key) : store_.find(key, read_index);
    return answer{boost::json::object{{"value", value == nullptr ? boost::json::value() : *value}},
                  position_at(read_index)};
}

result<answer> database::execute_write(transaction& open, const statement& parsed)
{
    result<std::vector<change>> changes = changes_of(parsed, find_visible(open, key_of(parsed)));
    if (!ok(changes)) {
        return failure(changes);
    }
    if (std::holds_alternative<add_statement>(parsed)) {
        open.keys_read.push_back(key_of(parsed));
    }
    const change& written_change = value(changes).front();
    answer outcome{write_outcome(parsed, written_change), position_at(open.snapshot)};
    if (faults_.mix_transactions) {
        append(std::move(value(changes)), {}, outcome.result);
        return outcome;
    }
    open.pending[written_change.key] = written_change.value;
    return outcome;
}

result<answer> database::execute(std::string_view name, std::uint64_t connection,
                                 const statement& parsed)
{
    const auto found = find(name, connection);
    if (found == transactions_.end()) {
        return unknown_transaction(name);
    }
    if (!writes(parsed)) {
        return execute_read(found->second, parsed);
    }
    if (found->second.mode == transaction_mode::read) {
        return refused_error("A read transaction does not accept statements that write.",
                             "Begin a write transaction.");
    }
    return execute_write(found->second, parsed);
}

bool database::conflicts(const transaction& open) const
{
    const auto changed = [&](const std::string& key) {
        return store_.key_changed_after(key, open.snapshot);
    };
    const auto prefix_changed = [&](const std::string& prefix) {
        return store_.prefix_changed_after(prefix, open.snapshot);
    };
    const auto written = [&](const auto& item) { return changed(item.first); };
    return std::any_of(open.pending.begin(), open.pending.end(), written) ||
           std::any_of(open.keys_read.begin(), open.keys_read.end(), changed) ||
           std::any_of(open.prefixes_read.begin(), open.prefixes_read.end(), prefix_changed);
}

result<answer> database::commit(std::string_view name, std::uint64_t connection, std::uint64_t term,
                                std::string_view idempotency_id)
{
    const auto found = find(name, connection);
    if (found == transactions_.end()) {
        return unknown_transaction(name);
    }
    const transaction open = std::move(found->second);
    transactions_.erase(found);
    if (open.mode == transaction_mode::read) {
        return answer{boost::json::object{{"ok", true}}, position_at(open.snapshot)};
    }
    if (const std::optional<error> refusal = check_term(term)) {
        return *refusal;
    }
    if (std::optional<answer> earlier = recorded_answer(idempotency_id)) {
        return *earlier;
    }
    if (open.pending.empty()) {
        return answer{boost::json::object{{"ok", true}}, position_at(open.snapshot)};
    }
    if (conflicts(open)) {
        return refused_error("A concurrent transaction changed data that this one read or wrote.",
                             "Retry the transaction.");
    }
    std::vector<change> changes;
    for (const auto& [key, value] : open.pending) {
        changes.push_back(change{key, value});
    }
    const boost::json::value outcome = boost::json::object{{"ok", true}};
    return answer{outcome, append(std::move(changes), idempotency_id, outcome), true};
}

status database::rollback(std::string_view name, std::uint64_t connection)
{
    const auto found = find(name, connection);
    if (found == transactions_.end()) {
        return unknown_transaction(name);
    }
    transactions_.erase(found);
    return std::monostate{};
}

void database::connection_closed(std::uint64_t connection)
{
    std::erase_if(transactions_,
                  [connection](const auto& each) { return each.second.connection == connection; });
}

bool database::is_replicated(std::uint64_t index) const noexcept
{
    const std::uint64_t required_index = std::max(index, term_start_ + 1);
    return std::any_of(
        received_by_.begin(), received_by_.end(),
        [required_index](const auto& each) { return each.second >= required_index; });
}

log_position database::append(std::vector<change> changes, std::string_view idempotency_id,
                              boost::json::value outcome)
{
    log_entry entry{log_position{term_, log_.last().index + 1}, std::string(idempotency_id),
                    std::move(changes), std::move(outcome)};
    const log_position position = entry.position;
    storage_.append_entry(entry);
    store(entry);
    log_.append(std::move(entry));
    applied_ = position.index;
    return position;
}

void database::store(const log_entry& entry)
{
    for (const change& each : entry.changes) {
        store_.put(each.key, each.value, entry.position.index);
    }
    if (!entry.idempotency_id.empty()) {
        idempotency_[entry.idempotency_id] = entry.position.index;
    }
}

void database::truncate_after(std::uint64_t index)
{
    if (index >= log_.last().index) {
        return;
    }
    storage_.truncate_after(index);
    log_.truncate_after(index);
    store_.truncate_after(index);
    std::erase_if(idempotency_, [index](const auto& each) { return each.second > index; });
    std::erase_if(transactions_,
                  [index](const auto& each) { return each.second.snapshot > index; });
    std::erase_if(arrivals_, [index](const arrival& each) { return each.index > index; });
    applied_ = std::min(applied_, index);
}

void database::promise(std::uint64_t term)
{
    if (term <= term_) {
        return;
    }
    storage_.save_term(term);
    term_ = term;
    primary_ = false;
    following_ = 0;
    discard_write_transactions();
}

void database::discard_write_transactions()
{
    std::erase_if(transactions_,
                  [](const auto& each) { return each.second.mode == transaction_mode::write; });
}

result<log_position> database::fence(std::uint64_t term)
{
    if (term < term_) {
        return wrong_term(term, term_);
    }
    promise(term);
    return received();
}

result<std::uint64_t> database::promote(std::uint64_t term, std::span<const term_boundary> starts)
{
    if (term != term_ || following_ == term) {
        return wrong_term(term, term_);
    }
    if (primary_) {
        return term_start_;
    }
    truncate_after(log_.last_consistent_index(starts));
    primary_ = true;
    term_start_ = log_.last().index;
    received_by_.clear();
    freshness_.clear();
    arrivals_.clear();
    // The first entry of a term is empty. It makes this server's position the highest of the group.
    append({}, {}, nullptr);
    return term_start_;
}

status database::follow(std::uint64_t term, std::string_view primary,
                        std::span<const term_boundary> starts)
{
    const bool is_own_term = primary_ && term == term_;
    if (term < term_ || is_own_term || primary == server_) {
        return wrong_term(term, term_);
    }
    promise(term);
    truncate_after(log_.last_consistent_index(starts));
    if (following_ != term) {
        following_ = term;
        freshness_.clear();
    }
    return std::monostate{};
}

bool database::matches_log(const log_request& request) const noexcept
{
    return request.after == 0 || log_.term_at(request.after) == request.after_term;
}

void database::record_received(std::string_view server, const log_request& request)
{
    const bool is_current = primary_ && request.term == term_;
    if (!is_current || !matches_log(request)) {
        return;
    }
    std::uint64_t& received_index = received_by_[std::string(server)];
    received_index = std::max(received_index, request.after);
}

result<log_batch> database::entries_for(const log_request& request, std::size_t limit) const
{
    if (!primary_ || request.term != term_) {
        return wrong_term(request.term, term_);
    }
    log_batch batch;
    batch.last = log_.last();
    if (!matches_log(request)) {
        batch.ask_after = log_.last_index_up_to_term(request.after - 1, request.after_term);
        return batch;
    }
    const std::span<const log_entry> found = log_.after(request.after, limit);
    batch.entries.assign(found.begin(), found.end());
    return batch;
}

log_request database::next_request() const noexcept
{
    const log_position last = log_.last();
    return log_request{last.index, last.term, following_};
}

status database::receive(std::uint64_t term, const log_batch& batch, clock::time_point asked_at,
                         clock::time_point now)
{
    if (term != term_ || following_ != term) {
        return wrong_term(term, term_);
    }
    if (batch.ask_after) {
        truncate_after(*batch.ask_after);
        return std::monostate{};
    }
    for (const log_entry& entry : batch.entries) {
        if (entry.position.index != log_.last().index + 1) {
            continue;
        }
        storage_.append_entry(entry);
        store(entry);
        log_.append(entry);
        arrivals_.push_back(arrival{entry.position.index, now});
    }
    freshness_.push_back(freshness{batch.last.index, asked_at});
    return std::monostate{};
}

void database::apply(clock::time_point now, clock::duration lag)
{
    while (!arrivals_.empty() && arrivals_.front().received_at + lag <= now) {
        applied_ = std::max(applied_, arrivals_.front().index);
        arrivals_.pop_front();
    }
    if (arrivals_.empty() && !primary_) {
        applied_ = log_.last().index;
    }
    while (!freshness_.empty() && freshness_.front().last <= applied_) {
        fresh_as_of_ = freshness_.front().asked_at;
        freshness_.pop_front();
    }
}

} // namespace primrosehead::standin
