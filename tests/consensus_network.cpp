#include "consensus_network.h"

#include <algorithm>

namespace primrosehead::testing {

namespace {

constexpr std::uint64_t per_mille = 1'000;

std::pair<std::string, std::string> link(std::string_view left, std::string_view right)
{
    return std::minmax(std::string(left), std::string(right));
}

} // namespace

consensus_network::consensus_network(const network_options& options)
    : options_(options), random_(options.seed)
{
    pb::membership members;
    for (int number = 1; number <= options.members; ++number) {
        pb::member* member = members.add_members();
        member->set_instance("c" + std::to_string(number));
        member->set_voter(true);
        if (options.disks_registered) {
            member->set_disk_id("disk-" + member->instance());
        }
    }
    for (const pb::member& member : members.members()) {
        add_node(member.instance(), "disk-" + member.instance(), members);
    }
}

void consensus_network::add_node(const std::string& name, const std::string& disk_id,
                                 const pb::membership& initial_members)
{
    node_options node_settings;
    node_settings.core.instance = instance_name(name);
    node_settings.core.disk_id = disk_id;
    node_settings.core.seed = random_();
    node_settings.core.disk_replacement_timeout = options_.disk_replacement_timeout;
    node_settings.core.unsafe = options_.unsafe;
    node_settings.initial_members = initial_members;
    node_settings.knows_members_once = options_.knows_members_once;
    node_settings.snapshot_after = options_.snapshot_after;
    node_settings.state_bytes = options_.state_bytes;
    node_settings.journal = options_.journal;
    node_settings.clock_offset = clock::duration(static_cast<clock::rep>(random_below(1'000'000)));
    auto created = std::make_unique<node>(std::move(node_settings), random_(), options_.disk);
    created->start(local_time(*created));
    nodes_[name] = std::move(created);
}

std::uint64_t consensus_network::random_below(std::uint64_t limit)
{
    return random_() % limit;
}

clock::time_point consensus_network::local_time(const node& instance) const
{
    return now_ + instance.options().clock_offset;
}

void consensus_network::step()
{
    for (clock::duration elapsed{0}; elapsed < tick_interval; ++elapsed) {
        now_ += clock::duration(1);
        deliver_due();
    }
    for (auto& [name, instance] : nodes_) {
        if (instance->is_running()) {
            instance->tick(local_time(*instance));
            process_effects(*instance);
        }
    }
}

void consensus_network::run(clock::duration duration)
{
    const clock::time_point end = now_ + duration;
    while (now_ < end) {
        step();
    }
}

std::string consensus_network::run_until_leader(clock::duration timeout)
{
    const clock::time_point end = now_ + timeout;
    while (now_ < end && current_leader().empty()) {
        step();
    }
    return current_leader();
}

void consensus_network::deliver_due()
{
    while (!queue_.empty()) {
        const auto next = std::min_element(
            queue_.begin(), queue_.end(),
            [](const queued_message& left, const queued_message& right) {
                return std::pair(left.due, left.number) < std::pair(right.due, right.number);
            });
        if (next->due > now_) {
            return;
        }
        const pb::consensus_message message = std::move(next->message);
        queue_.erase(next);
        const auto recipient_it = nodes_.find(message.to());
        const bool is_undeliverable = recipient_it == nodes_.end() ||
                                      !recipient_it->second->is_running() ||
                                      !reachable(message.from(), message.to());
        if (!is_undeliverable) {
            recipient_it->second->receive(message, local_time(*recipient_it->second));
            process_effects(*recipient_it->second);
        }
    }
}

void consensus_network::enqueue(const pb::consensus_message& message)
{
    const auto delay_range =
        static_cast<std::uint64_t>((options_.delay_max - options_.delay_min).count()) + 1;
    const clock::duration delay =
        options_.delay_min + clock::duration(static_cast<clock::rep>(random_below(delay_range)));
    queue_.push_back(queued_message{now_ + delay, ++queued_count_, message});
}

void consensus_network::send(std::span<const pb::consensus_message> messages)
{
    for (const pb::consensus_message& message : messages) {
        ++messages_sent_;
        bytes_sent_ += message.ByteSizeLong();
        if (random_below(per_mille) < static_cast<std::uint64_t>(options_.loss_per_mille)) {
            continue;
        }
        enqueue(message);
        if (random_below(per_mille) < static_cast<std::uint64_t>(options_.duplicate_per_mille)) {
            enqueue(message);
        }
    }
}

void consensus_network::process_effects(node& changed)
{
    const std::vector<pb::consensus_message> sent = std::exchange(changed.outbox, {});
    send(sent);
    check_committed(changed);
    if (changed.is_running()) {
        check_leader(changed);
    }
    check_current();
}

void consensus_network::check_leader(const node& changed)
{
    if (changed.core().role() != consensus::role::leader) {
        return;
    }
    const std::string& name = changed.options().core.instance.text();
    const auto [leader_it, inserted] = leader_of_term_.emplace(changed.core().term(), name);
    if (!inserted && leader_it->second != name) {
        violations_.push_back("two leaders in term " + std::to_string(changed.core().term()));
    }
}

// Checks that each committed entry, and the state after it, is the same on all nodes.
void consensus_network::check_committed(node& changed)
{
    for (const applied_entry& entry : std::exchange(changed.applied, {})) {
        const auto digest_it = digests_.emplace(entry.index, entry.digest).first;
        if (digest_it->second != entry.digest) {
            violations_.push_back("states differ after entry " + std::to_string(entry.index));
        }
        if (entry.bytes.empty()) {
            continue;
        }
        const auto entry_it = committed_.emplace(entry.index, entry.bytes).first;
        if (entry_it->second != entry.bytes) {
            violations_.push_back("committed entries differ at " + std::to_string(entry.index));
        }
        pb::log_entry parsed;
        parsed.ParseFromString(entry.bytes);
        if (parsed.has_command()) {
            commands_.insert(parsed.command());
        }
    }
}

void consensus_network::check_current()
{
    int current = 0;
    for (const auto& [name, instance] : nodes_) {
        const bool is_current =
            instance->has_core() && instance->core().is_current(local_time(*instance));
        current += is_current ? 1 : 0;
    }
    if (current > 1) {
        violations_.push_back("two instances are current at " + std::to_string(to_ms(now_)));
    }
}

bool consensus_network::reachable(const std::string& left, const std::string& right) const
{
    return !cuts_.contains(link(left, right));
}

void consensus_network::cut_link(std::string_view left, std::string_view right)
{
    cuts_.insert(link(left, right));
}

void consensus_network::isolate(std::string_view name)
{
    for (const auto& [other, instance] : nodes_) {
        if (other != name) {
            cut_link(name, other);
        }
    }
}

void consensus_network::heal_links()
{
    cuts_.clear();
}

void consensus_network::crash(std::string_view name)
{
    at(name).crash();
}

void consensus_network::restart(std::string_view name)
{
    at(name).start(local_time(at(name)));
    process_effects(at(name));
}

void consensus_network::lose_disk(std::string_view name)
{
    at(name).crash();
    ++disk_count_;
    at(name).replace_disk("new-disk-" + std::to_string(disk_count_), random_());
}

void consensus_network::pause(std::string_view name)
{
    at(name).set_paused(true);
}

void consensus_network::resume(std::string_view name)
{
    at(name).set_paused(false);
}

std::string consensus_network::start_nonmember(std::string_view name)
{
    std::string disk_id = "disk-" + std::string(name);
    add_node(std::string(name), disk_id, {});
    return disk_id;
}

bool consensus_network::propose(std::string_view command)
{
    for (auto& [name, instance] : nodes_) {
        if (!instance->is_running() || instance->core().role() != consensus::role::leader) {
            continue;
        }
        const bool accepted = ok(instance->propose(std::string(command), local_time(*instance)));
        process_effects(*instance);
        if (accepted) {
            return true;
        }
    }
    return false;
}

result<std::uint64_t> consensus_network::add_member(const pb::member& member)
{
    node& leader = at(current_leader());
    result<std::uint64_t> added = leader.add_member(member, local_time(leader));
    process_effects(leader);
    return added;
}

result<std::uint64_t> consensus_network::remove_member(std::string_view name)
{
    node& leader = at(current_leader());
    result<std::uint64_t> removed = leader.remove_member(name, local_time(leader));
    process_effects(leader);
    return removed;
}

node& consensus_network::at(std::string_view name)
{
    return *nodes_.find(name)->second;
}

std::vector<std::string> consensus_network::names() const
{
    std::vector<std::string> listed;
    for (const auto& [name, instance] : nodes_) {
        listed.push_back(name);
    }
    return listed;
}

std::vector<std::string> consensus_network::running_names() const
{
    std::vector<std::string> listed;
    for (const auto& [name, instance] : nodes_) {
        if (instance->is_running()) {
            listed.push_back(name);
        }
    }
    return listed;
}

std::string consensus_network::current_leader() const
{
    for (const auto& [name, instance] : nodes_) {
        if (instance->is_running() && instance->core().is_current(local_time(*instance))) {
            return name;
        }
    }
    return {};
}

std::uint64_t consensus_network::highest_term() const
{
    std::uint64_t highest = 0;
    for (const auto& [name, instance] : nodes_) {
        highest = std::max(highest, instance->has_core() ? instance->core().term() : 0);
    }
    return highest;
}

std::uint64_t consensus_network::committed_index() const
{
    return committed_.empty() ? 0 : committed_.rbegin()->first;
}

std::string consensus_network::stop_reasons() const
{
    std::string reasons;
    for (const auto& [name, instance] : nodes_) {
        if (!instance->failure_text().empty()) {
            reasons += name + ": " + instance->failure_text() + '\n';
        }
    }
    return reasons;
}

bool consensus_network::command_committed(std::string_view command) const
{
    return commands_.contains(command);
}

} // namespace primrosehead::testing
