#include "replica_cell.h"

namespace primrosehead::testing {

namespace {

constexpr clock::duration tick_interval{10};
constexpr clock::duration longest_election{5'000};

std::string name_of(int number)
{
    return "c" + std::to_string(number);
}

} // namespace

replica_cell::replica_cell(int members, std::uint32_t snapshot_after)
{
    control_settings common;
    common.cell = cell_name("cell");
    common.snapshot_after = snapshot_after;
    for (int number = 1; number <= members; ++number) {
        common.control.push_back(control_address{instance_name(name_of(number)),
                                                 "tcp://127.0.0.1:" + std::to_string(number)});
    }
    for (int number = 1; number <= members; ++number) {
        instance& made = instances_[name_of(number)];
        made.settings = common;
        made.settings.instance = instance_name(name_of(number));
        made.folder = std::make_unique<fake_folder>(number);
        made.disk_id = "disk-" + name_of(number);
        start(name_of(number));
    }
}

void replica_cell::check(std::string_view name, const status& done)
{
    if (!ok(done)) {
        failure_ += std::string(name) + ": " + describe(failure(done)) + '\n';
        instances_.find(name)->second.body.reset();
    }
}

void replica_cell::start(std::string_view name)
{
    instance& one = instances_.find(name)->second;
    auto opened = replica::open(
        one.settings, one.folder->open(), one.disk_id, ++starts_, now_,
        [this](const pb::consensus_message& message) { messages_.push_back(message); });
    if (!ok(opened)) {
        failure_ += std::string(name) + ": " + describe(failure(opened)) + '\n';
        return;
    }
    one.body = value(std::move(opened));
}

void replica_cell::stop(std::string_view name)
{
    instance& one = instances_.find(name)->second;
    one.body.reset();
    one.folder->crash();
}

void replica_cell::lose_disk(std::string_view name)
{
    instance& one = instances_.find(name)->second;
    one.body.reset();
    one.folder = std::make_unique<fake_folder>(++starts_);
    one.disk_id = "disk-" + std::to_string(starts_);
}

void replica_cell::deliver()
{
    while (!messages_.empty()) {
        const pb::consensus_message message = messages_.front();
        messages_.pop_front();
        const auto to = instances_.find(message.to());
        const bool lost = to == instances_.end() || !to->second.body ||
                          isolated_.contains(message.from()) || isolated_.contains(message.to());
        if (!lost) {
            check(message.to(), to->second.body->receive(message, now_));
        }
    }
}

void replica_cell::run(clock::duration time)
{
    const clock::time_point end = now_ + time;
    while (now_ < end) {
        now_ += tick_interval;
        for (auto& [name, one] : instances_) {
            if (one.body) {
                check(name, one.body->tick(now_));
            }
        }
        deliver();
    }
}

std::string replica_cell::run_until_leader()
{
    const clock::time_point end = now_ + longest_election;
    while (now_ < end) {
        for (auto& [name, one] : instances_) {
            if (one.body && one.body->is_current(now_)) {
                return name;
            }
        }
        run(tick_interval);
    }
    return {};
}

replica_cell::answer replica_cell::issue_key(std::string_view at_name, std::string_view key_id,
                                             std::string_view request_id)
{
    pb::command command;
    command.set_request_id(std::string(request_id));
    pb::key_record* key = command.mutable_issue()->mutable_key();
    key->set_key_id(std::string(key_id));
    key->set_organisation("shrine");
    key->set_salt("0123456789abcdef");
    key->set_digest("0123456789abcdef0123456789abcdef");
    answer given = std::make_shared<std::optional<pb::operator_reply>>();
    check(at_name, at(at_name).propose(command, now_, [given](const pb::operator_reply& reply) {
        *given = reply;
    }));
    return given;
}

replica_cell::answer replica_cell::add_member(std::string_view at_name, const pb::member& member)
{
    answer given = std::make_shared<std::optional<pb::operator_reply>>();
    check(at_name, at(at_name).add_member(
                       member, now_, [given](const pb::operator_reply& reply) { *given = reply; }));
    return given;
}

} // namespace primrosehead::testing
