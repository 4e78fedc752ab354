#include "scenario_world.h"

#include <algorithm>
#include <array>
#include <utility>

namespace primrosehead::scenario {

namespace {

constexpr std::string_view cell = "hakata";
constexpr std::string_view environment_name = "hakata";
constexpr std::array domains{"fukuoka", "kumamoto", "nagasaki", "kagoshima"};
constexpr clock::duration tick{10};
constexpr clock::duration announcement_interval{100};

std::vector<term_boundary> term_starts_of(const pb::group_record& group)
{
    std::vector<term_boundary> starts;
    for (const pb::term_start& start : group.starts()) {
        starts.push_back({start.term(), start.index()});
    }
    return starts;
}

bool is_due(clock::time_point now, clock::duration interval)
{
    return now.time_since_epoch() % interval == clock::duration(0);
}

} // namespace

bool disable_safeguard(std::string_view name, safeguards& all)
{
    struct named_safeguard {
        std::string_view name;
        bool* flag;
        bool off;
    };
    const std::array switches{
        named_safeguard{"lease", &all.entries.require_lease, false},
        named_safeguard{"lease-wait", &all.fleet.wait_for_leases, false},
        named_safeguard{"lease-from-asking", &all.entries.lease_from_request_time, false},
        named_safeguard{"key-bound", &all.entries.require_key_confirmation, false},
        named_safeguard{"shared-limits", &all.entries.share_limits, false},
        named_safeguard{"highest-position", &all.fleet.choose_highest, false},
        named_safeguard{"replica-acknowledgement", &all.wait_for_replica, false},
        named_safeguard{"request-ids", &all.request_ids, false},
        named_safeguard{"leader-lease", &all.control.no_leader_lease, true},
        named_safeguard{"disk-identity", &all.control.no_disk_check, true},
    };
    const auto found = std::ranges::find(switches, name, &named_safeguard::name);
    if (found == switches.end()) {
        return false;
    }
    *found->flag = found->off;
    if (name == "leader-lease") {
        all.control.no_check_quorum = true;
    }
    return true;
}

world::world(std::uint64_t seed, safeguards enabled)
    : random_(seed), safeguards_(enabled), links_(seed * 31)
{
    links_.add("operator", "operators");
}

std::string world::next_domain()
{
    return domains.at(assigned_domain_count_++ % domains.size());
}

void world::add_controls(std::uint32_t count)
{
    pb::membership first;
    for (std::uint32_t number = 1; number <= count; ++number) {
        control_names_.push_back("control-" + std::to_string(number));
        pb::member& member = *first.add_members();
        member.set_instance(control_names_.back());
        member.set_endpoint(control_names_.back());
        member.set_voter(true);
        links_.add(control_names_.back(), next_domain());
    }
    for (const std::string& name : control_names_) {
        control_options options{name,
                                std::string(cell),
                                std::string(environment_name),
                                first,
                                random_(),
                                safeguards_.control,
                                safeguards_.fleet};
        controls_[name] = std::make_unique<control>(std::move(options));
        controls_[name]->start(now_);
    }
}

void world::add_entries(std::uint32_t count)
{
    for (std::uint32_t number = 1; number <= count; ++number) {
        const std::string name = "entry-" + std::to_string(number);
        const std::string domain = next_domain();
        links_.add(name, domain);
        entry_options options{name, std::string(cell), std::string(environment_name), domain,
                              safeguards_.entries};
        entries_[name] = std::make_unique<entry>(std::move(options), now_);
    }
}

void world::add_group(const std::string& database, std::uint32_t servers, bool by_primary_alone)
{
    const bool waits_for_replica = safeguards_.wait_for_replica && !by_primary_alone;
    if (by_primary_alone) {
        history_.allow_loss(database);
    }
    databases_.push_back(database);
    for (std::uint32_t number = 0; number < servers; ++number) {
        const std::string name = database + static_cast<char>('a' + number);
        const std::string domain = next_domain();
        links_.add(name, domain);
        servers_[name] = std::make_unique<server>(name, database, domain, waits_for_replica);
    }
}

void world::add_organisation(organisation_spec organisation)
{
    organisation_record& record = history_.organisation(organisation.name);
    record.rate = organisation.rate;
    record.burst = organisation.burst;
    organisations_.push_back(std::move(organisation));
}

std::string world::make_document(const std::string& extra) const
{
    std::string text = R"({"databases":[)";
    for (const std::string& database : databases_) {
        text += (text.back() == '[' ? "" : ",") + std::string(R"({"name":")") + database + R"("})";
    }
    text += R"(],"routes":[)";
    for (const std::string& database : databases_) {
        text += text.back() == '[' ? "" : ",";
        text += R"({"name":"write-)";
        text += database;
        text += R"(","database":")";
        text += database;
        text += R"(","access":"write"})";
    }
    text += R"(],"organisations":[)";
    std::vector<organisation_spec> all = organisations_;
    if (!extra.empty()) {
        all.push_back({extra, 1, 10});
    }
    for (const organisation_spec& spec : all) {
        text += text.back() == '[' ? "" : ",";
        text += R"({"name":")" + spec.name + R"(","rate":)" + std::to_string(spec.rate) +
                R"(,"burst":)" + std::to_string(spec.burst) + "}";
    }
    return text + "]}";
}

void world::run(clock::duration duration)
{
    const clock::time_point end = now_ + duration;
    while (now_ < end) {
        now_ += clock::duration(1);
        step();
    }
}

void world::step()
{
    links_.deliver(now_);
    for (auto& [name, instance] : controls_) {
        if (links_.is_running(name, now_)) {
            step_control(*instance);
        }
    }
    for (auto& [name, instance] : entries_) {
        if (links_.is_running(name, now_)) {
            step_entry(*instance);
        }
    }
    for (auto& [name, backend] : servers_) {
        if (links_.is_running(name, now_)) {
            step_server(*backend);
        }
    }
    step_callers();
}

void world::step_control(control& instance)
{
    if (is_due(now_, tick)) {
        instance.tick(now_);
        flush(instance);
    }
}

void world::flush(control& instance)
{
    std::vector<pb::consensus_message> messages = std::exchange(instance.outbox, {});
    for (pb::consensus_message& message : messages) {
        const std::string to = message.to();
        links_.send(instance.name(), to, now_, [this, to, message = std::move(message)](auto now) {
            control& receiver = *controls_.at(to);
            receiver.receive(message, now);
            flush(receiver);
        });
    }
    const std::vector<fleet::action> actions = std::exchange(instance.actions, {});
    for (const fleet::action& action : actions) {
        std::visit([&](const auto& item) { execute(instance, item); }, action);
    }
}

void world::execute(control& instance, const fleet::propose& action)
{
    (void)instance.propose(action.command, now_, nullptr);
    flush(instance);
}

void world::execute(control& instance, const fleet::order_server& action)
{
    if (const auto* fence = std::get_if<failover::fence_server>(&action.order)) {
        order_fence(instance, action.database, *fence);
    }
    else if (const auto* promote = std::get_if<failover::promote_server>(&action.order)) {
        order_promotion(instance, action.database, *promote);
    }
}

void world::order_fence(control& instance, const std::string& database,
                        const failover::fence_server& order)
{
    const std::string name = order.server.text();
    links_.send(instance.name(), name, now_, [this, &instance, database, name, order](auto now) {
        const auto answer = servers_.at(name)->fence(order.term);
        links_.send(name, instance.name(), now, [&instance, database, name, order, answer](auto) {
            if (instance.service() == nullptr) {
                return;
            }
            if (const auto* position = std::get_if<log_position>(&answer)) {
                instance.service()->on_fenced(database, name, order.term, *position);
            }
            else {
                instance.service()->on_refused(database, name,
                                               std::get<term_mismatch>(answer).promised_term);
            }
        });
    });
}

void world::order_promotion(control& instance, const std::string& database,
                            const failover::promote_server& order)
{
    const std::string name = order.server.text();
    const std::vector<term_boundary> starts = term_starts_of(*instance.state().group(database));
    links_.send(
        instance.name(), name, now_, [this, &instance, database, name, order, starts](auto now) {
            const auto answer = servers_.at(name)->promote(order.term, starts);
            const auto* start = std::get_if<std::uint64_t>(&answer);
            if (start != nullptr) {
                history_.record_promotion({database, name, order.term, now});
            }
            links_.send(name, instance.name(), now,
                        [&instance, database, name, order, answer](auto) {
                            if (instance.service() == nullptr) {
                                return;
                            }
                            if (const auto* index = std::get_if<std::uint64_t>(&answer)) {
                                instance.service()->on_promoted(database, name, order.term, *index);
                            }
                            else {
                                instance.service()->on_refused(
                                    database, name, std::get<term_mismatch>(answer).promised_term);
                            }
                        });
        });
}

void world::execute(control& instance, const fleet::follow_server& action)
{
    const std::string name = action.server;
    const pb::group_record group = action.group;
    links_.send(instance.name(), name, now_, [this, &instance, name, group](auto now) {
        const bool is_accepted =
            servers_.at(name)->follow(group.term(), group.primary(), term_starts_of(group));
        if (!is_accepted) {
            return;
        }
        links_.send(name, instance.name(), now, [&instance, name, group](auto) {
            if (instance.service() != nullptr) {
                instance.service()->on_followed(name, group.term());
            }
        });
    });
}

void world::execute(control& instance, const fleet::push_state& /*action*/)
{
    for (const std::string& name : instance.service()->live_instances(now_)) {
        const pb::heartbeat_reply pushed = instance.service()->make_push(name, instance.state());
        links_.send(instance.name(), name, now_, [this, name, pushed](auto now) {
            entries_.at(name)->on_heartbeat_reply(pushed, now);
        });
    }
}

void world::step_entry(entry& instance)
{
    const std::optional<pb::heartbeat> heartbeat = instance.next_heartbeat(now_);
    if (heartbeat) {
        send_heartbeat(instance, *heartbeat);
    }
}

void world::send_heartbeat(entry& instance, const pb::heartbeat& heartbeat)
{
    const std::string to = control_names_.at(instance.choose_control(now_, control_names_.size()));
    links_.send(instance.name(), to, now_, [this, &instance, to, heartbeat](auto now) {
        control& receiver = *controls_.at(to);
        const pb::heartbeat_reply reply = receiver.handle_heartbeat(heartbeat, now);
        if (reply.is_leader()) {
            history_.record_leader_reply({to, receiver.term(), now});
        }
        links_.send(to, instance.name(), now, [this, &instance, reply](auto received_at) {
            const auto hinted = std::ranges::find(control_names_, reply.leader_hint());
            if (!reply.is_leader() && hinted != control_names_.end()) {
                instance.set_control_index(
                    static_cast<std::size_t>(hinted - control_names_.begin()));
            }
            instance.on_heartbeat_reply(reply, received_at);
        });
    });
}

void world::step_server(server& backend)
{
    backend.tick(now_);
    if (is_due(now_, announcement_interval)) {
        for (auto& [name, listener] : entries_) {
            if (links_.failure_domain(name) == links_.failure_domain(backend.name())) {
                links_.send(backend.name(), name, now_,
                            [listener = listener.get(), report = backend.report()](auto now) {
                                listener->on_server_report(report, now);
                            });
            }
        }
    }
    if (!is_due(now_, tick) || backend.replication_source().empty()) {
        return;
    }
    const server::pull_request request = backend.next_pull_request();
    const std::string source = backend.replication_source();
    links_.send(backend.name(), source, now_, [this, &backend, source, request](auto now) {
        std::vector<server_log_entry> entries =
            servers_.at(source)->read_log(backend.name(), request);
        links_.send(source, backend.name(), now,
                    [&backend, request, entries = std::move(entries)](auto received_at) {
                        backend.receive(request.term, request.after_index, entries, received_at);
                    });
    });
}

entry* world::pick_entry(const std::string& through)
{
    std::vector<entry*> running;
    for (auto& [name, instance] : entries_) {
        const bool is_meant =
            through.empty() || through == name || through == links_.failure_domain(name);
        if (is_meant && links_.is_running(name, now_)) {
            running.push_back(instance.get());
        }
    }
    return running.empty() ? nullptr : running[random_() % running.size()];
}

void world::step_callers()
{
    for (writer& writes : writers_) {
        if (writes.remaining > 0 && now_ >= writes.next_at) {
            writes.next_at = now_ + writes.interval;
            --writes.remaining;
            if (entry* chosen = pick_entry(writes.through)) {
                send_write(*chosen, writes.database);
            }
        }
    }
    constexpr double milliseconds_per_second = 1'000;
    for (load_source& source : loads_) {
        source.due += now_ < source.until ? source.rate / milliseconds_per_second : 0;
        for (; source.due >= 1; source.due -= 1) {
            entry* chosen = pick_entry("");
            if (chosen == nullptr) {
                continue;
            }
            const std::string key = "key-" + source.organisation;
            organisation_record& record = history_.organisation(source.organisation);
            if (chosen->admit(key, source.organisation, now_) == entry::admission::admitted) {
                record.admissions.push_back(now_);
                history_.record_key_use({key, now_});
            }
            else {
                ++record.refused;
            }
        }
    }
}

void world::send_write(entry& instance, const std::string& database)
{
    const std::string id = "w" + std::to_string(++writes_sent_);
    const pb::group_record* group = instance.writable_group(database, now_);
    if (group == nullptr) {
        history_.record_not_run(id);
        return;
    }
    const std::uint64_t term = group->term();
    const std::string primary = group->primary();
    links_.send(instance.name(), primary, now_,
                [this, &instance, id, database, term, primary](auto) {
                    servers_.at(primary)->write(
                        id, term,
                        [this, &instance, id, database, term, primary](const write_result& answer) {
                            links_.send(primary, instance.name(), now_,
                                        [this, &instance, id, database, term, answer](auto) {
                                            finish_write(instance, id, database, term, answer);
                                        });
                        });
                });
}

void world::finish_write(entry& instance, const std::string& id, const std::string& database,
                         std::uint64_t term, const write_result& answer)
{
    if (!answer.did_run) {
        history_.record_not_run(id);
    }
    else if (instance.may_acknowledge(database, term, now_)) {
        history_.record_acknowledgement({id, database, term, now_});
    }
    else {
        ++withheld_acknowledgements_;
    }
}

void world::cut(const std::set<std::string>& first_side, const std::set<std::string>& second_side)
{
    links_.cut(first_side, second_side);
}

void world::kill(const std::string& process)
{
    links_.stop(process);
    if (controls_.contains(process)) {
        controls_.at(process)->stop();
    }
}

void world::restart(const std::string& process)
{
    links_.start(process);
    if (controls_.contains(process)) {
        controls_.at(process)->stop();
        controls_.at(process)->start(now_);
    }
    else if (entries_.contains(process)) {
        entries_.at(process)->restart(now_);
    }
    else {
        servers_.at(process)->restart();
    }
}

void world::freeze(const std::string& process, clock::duration duration)
{
    links_.freeze(process, now_ + duration);
}

void world::lose_disk(const std::string& process)
{
    controls_.at(process)->lose_disk();
}

void world::set_lag(const std::string& server, clock::duration lag)
{
    servers_.at(server)->set_lag(lag);
}

void world::set_leaving(const std::string& server)
{
    servers_.at(server)->set_leaving();
}

void world::start_writes(const std::string& database, std::uint64_t count, clock::duration interval,
                         const std::string& through)
{
    writers_.push_back({database, through, count, interval, now_});
}

void world::start_load(const std::string& organisation, double times, clock::duration duration)
{
    for (const organisation_spec& spec : organisations_) {
        if (spec.name == organisation) {
            loads_.push_back({organisation, spec.rate * times, 0, now_ + duration});
        }
    }
}

void world::submit(const std::string& name, const pb::command& command, bool lose_answer)
{
    requests_[name].command = command;
    requests_[name].command.set_request_id(name);
    send_request(name, requests_[name].command, lose_answer);
}

void world::resend(const std::string& name)
{
    pb::command command = requests_.at(name).command;
    if (!safeguards_.request_ids) {
        command.set_request_id(name + "-again");
    }
    send_request(name, command, false);
}

// Goes to the control instance that is the leader when it arrives.
void world::send_request(const std::string& name, const pb::command& command, bool lose_answer)
{
    const std::string to = leader();
    if (to.empty()) {
        return;
    }
    links_.send("operator", to, now_, [this, name, command, lose_answer, to](auto now) {
        control& receiver = *controls_.at(to);
        (void)receiver.propose(command, now,
                               [this, name, lose_answer](const pb::operator_reply& reply) {
                                   if (!lose_answer) {
                                       requests_[name].answers.push_back(reply);
                                   }
                               });
        flush(receiver);
    });
}

const std::vector<pb::operator_reply>& world::answers(const std::string& name)
{
    return requests_[name].answers;
}

std::string world::leader() const
{
    std::string found;
    std::uint64_t term = 0;
    for (const auto& [name, instance] : controls_) {
        if (links_.is_running(name, now_) && instance->is_current(now_) &&
            instance->term() >= term) {
            found = name;
            term = instance->term();
        }
    }
    return found;
}

std::string world::primary(const std::string& database) const
{
    const std::string leader_name = leader();
    if (leader_name.empty()) {
        return {};
    }
    const pb::group_record* group = controls_.at(leader_name)->state().group(database);
    return group == nullptr ? std::string() : group->primary();
}

bool world::is_process(const std::string& name) const
{
    return controls_.contains(name) || entries_.contains(name) || servers_.contains(name);
}

bool world::are_entries_up_to_date() const
{
    const std::string leader_name = leader();
    if (leader_name.empty()) {
        return false;
    }
    const std::uint64_t version = controls_.at(leader_name)->state().version();
    return std::ranges::all_of(entries_, [&](const auto& item) {
        const bool is_reached =
            links_.is_running(item.first, now_) && !links_.is_cut(leader_name, item.first);
        return !is_reached || item.second->view().version() == version;
    });
}

bool world::do_entries_reject_key(const std::string& key, const std::string& organisation)
{
    return std::ranges::all_of(entries_, [&](auto& item) {
        return !links_.is_running(item.first, now_) ||
               item.second->admit(key, organisation, now_) == entry::admission::key_refused;
    });
}

std::vector<std::string> world::breaches() const
{
    std::map<std::string, std::vector<std::string>> logs;
    for (const std::string& database : databases_) {
        const std::string name = primary(database);
        logs[database] = name.empty() ? std::vector<std::string>() : servers_.at(name)->write_ids();
    }
    return history_.breaches(logs);
}

} // namespace primrosehead::scenario
