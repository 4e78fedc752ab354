#include "replica_cell.h"

namespace primrosehead::testing {

namespace {

constexpr clock::duration tick_interval{10};
constexpr clock::duration election_timeout{5'000};

std::string name_of(int number)
{
    return "c" + std::to_string(number);
}

} // namespace

replica_cell::replica_cell(int members, std::uint32_t snapshot_after, std::uint64_t seed)
    : starts_(seed * 1'000)
{
    control_settings common;
    common.cell = cell_name("cell");
    common.snapshot_after = snapshot_after;
    for (int number = 1; number <= members; ++number) {
        common.control.push_back(control_address{instance_name(name_of(number)),
                                                 "tcp://127.0.0.1:" + std::to_string(number)});
    }
    for (int number = 1; number <= members; ++number) {
        instance& node = instances_[name_of(number)];
        node.settings = common;
        node.settings.instance = instance_name(name_of(number));
        node.folder = std::make_unique<fake_folder>(seed * 1'000 + number);
        node.disk_id = "disk-" + name_of(number);
        start(name_of(number));
    }
}

void replica_cell::check(std::string_view name, const status& done)
{
    if (!ok(done)) {
        failure_ += std::string(name) + ": " + describe(failure(done)) + '\n';
        instances_.find(name)->second.process.reset();
    }
}

void replica_cell::start(std::string_view name)
{
    instance& node = instances_.find(name)->second;
    auto opened = replica::open(
        node.settings, node.folder->open(), node.disk_id, ++starts_, now_,
        [this](const pb::consensus_message& message) { messages_.push_back(message); });
    if (!ok(opened)) {
        failure_ += std::string(name) + ": " + describe(failure(opened)) + '\n';
        return;
    }
    node.process = value(std::move(opened));
    node.settings.control.clear(); // only the first start knows the initial members
}

void replica_cell::stop(std::string_view name)
{
    instance& node = instances_.find(name)->second;
    node.process.reset();
    node.folder->crash();
}

void replica_cell::lose_disk(std::string_view name)
{
    instance& node = instances_.find(name)->second;
    node.process.reset();
    node.folder = std::make_unique<fake_folder>(++starts_);
    node.disk_id = "disk-" + std::to_string(starts_);
}

void replica_cell::deliver()
{
    while (!messages_.empty()) {
        const pb::consensus_message message = messages_.front();
        messages_.pop_front();
        const auto to = instances_.find(message.to());
        const bool lost = to == instances_.end() || !to->second.process ||
                          isolated_.contains(message.from()) || isolated_.contains(message.to());
        if (!lost) {
            check(message.to(), to->second.process->receive(message, now_));
        }
    }
}

void replica_cell::run(clock::duration time)
{
    const clock::time_point end = now_ + time;
    while (now_ < end) {
        now_ += tick_interval;
        for (auto& [name, node] : instances_) {
            if (node.process) {
                check(name, node.process->tick(now_));
            }
        }
        deliver();
    }
}

std::string replica_cell::run_until_leader()
{
    const clock::time_point end = now_ + election_timeout;
    while (now_ < end) {
        for (auto& [name, node] : instances_) {
            if (node.process && node.process->is_current(now_)) {
                return name;
            }
        }
        run(tick_interval);
    }
    return {};
}

replica_cell::reply_slot replica_cell::issue_key(std::string_view target, std::string_view key_id,
                                                 std::string_view request_id)
{
    pb::command command;
    command.set_request_id(std::string(request_id));
    pb::key_record* key = command.mutable_issue()->mutable_key();
    key->set_key_id(std::string(key_id));
    key->set_organisation("shrine");
    key->set_salt("0123456789abcdef");
    key->set_digest("0123456789abcdef0123456789abcdef");
    reply_slot slot = std::make_shared<std::optional<pb::operator_reply>>();
    check(target, at(target).propose(command, now_,
                                     [slot](const pb::operator_reply& reply) { *slot = reply; }));
    return slot;
}

replica_cell::reply_slot replica_cell::add_member(std::string_view target, const pb::member& member)
{
    reply_slot slot = std::make_shared<std::optional<pb::operator_reply>>();
    check(target, at(target).add_member(
                      member, now_, [slot](const pb::operator_reply& reply) { *slot = reply; }));
    return slot;
}

} // namespace primrosehead::testing
