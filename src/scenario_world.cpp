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

std::vector<term_boundary> starts_of(const pb::group_record& group)
{
    std::vector<term_boundary> starts;
    for (const pb::term_start& start : group.starts()) {
        starts.push_back({start.term(), start.index()});
    }
    return starts;
}

bool is_time_for(clock::time_point now, clock::duration interval)
{
    return now.time_since_epoch() % interval == clock::duration(0);
}

} // namespace

bool turn_off(std::string_view name, mechanisms& all)
{
    struct named_switch {
        std::string_view name;
        bool* mechanism;
        bool off;
    };
    const std::array switches{
        named_switch{"lease", &all.entries.hold_lease, false},
        named_switch{"lease-wait", &all.fleet.wait_for_leases, false},
        named_switch{"lease-from-asking", &all.entries.lease_from_asking, false},
        named_switch{"key-bound", &all.entries.confirm_keys, false},
        named_switch{"shared-limits", &all.entries.share_limits, false},
        named_switch{"highest-position", &all.fleet.choose_highest, false},
        named_switch{"replica-acknowledgement", &all.wait_for_replica, false},
        named_switch{"request-ids", &all.request_ids, false},
        named_switch{"leader-lease", &all.control.no_leader_lease, true},
        named_switch{"disk-identity", &all.control.no_disk_check, true},
    };
    const auto found = std::ranges::find(switches, name, &named_switch::name);
    if (found == switches.end()) {
        return false;
    }
    *found->mechanism = found->off;
    if (name == "leader-lease") {
        all.control.no_check_quorum = true;
    }
    return true;
}

world::world(std::uint64_t seed, mechanisms on) : random_(seed), on_(on), links_(seed * 31)
{
    links_.add("operator", "operators");
}

std::string world::next_domain()
{
    return domains.at(domains_given_++ % domains.size());
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
        control_options options{name,     std::string(cell), std::string(environment_name),
                                first,    random_(),         on_.control,
                                on_.fleet};
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
                              on_.entries};
        entries_[name] = std::make_unique<entry>(std::move(options), now_);
    }
}

void world::add_group(const std::string& database, std::uint32_t servers, bool by_primary_alone)
{
    const bool waits_for_replica = on_.wait_for_replica && !by_primary_alone;
    if (by_primary_alone) {
        history_.may_lose(database);
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

std::string world::document(const std::string& extra) const
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
    for (const organisation_spec& one : all) {
        text += text.back() == '[' ? "" : ",";
        text += R"({"name":")" + one.name + R"(","rate":)" + std::to_string(one.rate) +
                R"(,"burst":)" + std::to_string(one.burst) + "}";
    }
    return text + "]}";
}

void world::run(clock::duration time)
{
    const clock::time_point end = now_ + time;
    while (now_ < end) {
        now_ += clock::duration(1);
        step();
    }
}

void world::step()
{
    links_.deliver(now_);
    for (auto& [name, one] : controls_) {
        if (links_.runs(name, now_)) {
            step_control(*one);
        }
    }
    for (auto& [name, one] : entries_) {
        if (links_.runs(name, now_)) {
            step_entry(*one);
        }
    }
    for (auto& [name, one] : servers_) {
        if (links_.runs(name, now_)) {
            step_server(*one);
        }
    }
    step_callers();
}

void world::step_control(control& one)
{
    if (is_time_for(now_, tick)) {
        one.tick(now_);
        flush(one);
    }
}

void world::flush(control& one)
{
    std::vector<pb::consensus_message> messages = std::exchange(one.outbox, {});
    for (pb::consensus_message& message : messages) {
        const std::string to = message.to();
        links_.send(one.name(), to, now_, [this, to, message = std::move(message)](auto now) {
            control& receiver = *controls_.at(to);
            receiver.receive(message, now);
            flush(receiver);
        });
    }
    const std::vector<fleet::action> actions = std::exchange(one.actions, {});
    for (const fleet::action& action : actions) {
        std::visit([&](const auto& what) { act(one, what); }, action);
    }
}

void world::act(control& one, const fleet::propose& what)
{
    (void)one.propose(what.command, now_, nullptr);
    flush(one);
}

void world::act(control& one, const fleet::order_server& what)
{
    if (const auto* fence = std::get_if<failover::fence_server>(&what.order)) {
        order_fence(one, what.database, *fence);
    }
    else if (const auto* promote = std::get_if<failover::promote_server>(&what.order)) {
        order_promotion(one, what.database, *promote);
    }
}

void world::order_fence(control& one, const std::string& database,
                        const failover::fence_server& order)
{
    const std::string name = order.server.text();
    links_.send(one.name(), name, now_, [this, &one, database, name, order](auto now) {
        const auto answer = servers_.at(name)->fence(order.term);
        links_.send(name, one.name(), now, [&one, database, name, order, answer](auto) {
            if (one.service() == nullptr) {
                return;
            }
            if (const auto* position = std::get_if<log_position>(&answer)) {
                one.service()->on_fenced(database, name, order.term, *position);
            }
            else {
                one.service()->on_refused(database, name, std::get<refused_term>(answer).promised);
            }
        });
    });
}

void world::order_promotion(control& one, const std::string& database,
                            const failover::promote_server& order)
{
    const std::string name = order.server.text();
    const std::vector<term_boundary> starts = starts_of(*one.state().group(database));
    links_.send(one.name(), name, now_, [this, &one, database, name, order, starts](auto now) {
        const auto answer = servers_.at(name)->promote(order.term, starts);
        const auto* start = std::get_if<std::uint64_t>(&answer);
        if (start != nullptr) {
            history_.promoted({database, name, order.term, now});
        }
        links_.send(name, one.name(), now, [&one, database, name, order, answer](auto) {
            if (one.service() == nullptr) {
                return;
            }
            if (const auto* index = std::get_if<std::uint64_t>(&answer)) {
                one.service()->on_promoted(database, name, order.term, *index);
            }
            else {
                one.service()->on_refused(database, name, std::get<refused_term>(answer).promised);
            }
        });
    });
}

void world::act(control& one, const fleet::follow_server& what)
{
    const std::string name = what.server;
    const pb::group_record group = what.group;
    links_.send(one.name(), name, now_, [this, &one, name, group](auto now) {
        const bool obeys =
            servers_.at(name)->follow(group.term(), group.primary(), starts_of(group));
        if (!obeys) {
            return;
        }
        links_.send(name, one.name(), now, [&one, name, group](auto) {
            if (one.service() != nullptr) {
                one.service()->on_followed(name, group.term());
            }
        });
    });
}

void world::act(control& one, const fleet::push_state& /*what*/)
{
    for (const std::string& name : one.service()->live_instances(now_)) {
        const pb::heartbeat_reply pushed = one.service()->make_push(name, one.state());
        links_.send(one.name(), name, now_,
                    [this, name, pushed](auto now) { entries_.at(name)->answered(pushed, now); });
    }
}

void world::step_entry(entry& one)
{
    const std::optional<pb::heartbeat> beat = one.next_heartbeat(now_);
    if (beat) {
        send_heartbeat(one, *beat);
    }
}

void world::send_heartbeat(entry& one, const pb::heartbeat& beat)
{
    const std::string to = control_names_.at(one.control_choice(now_, control_names_.size()));
    links_.send(one.name(), to, now_, [this, &one, to, beat](auto now) {
        control& asked = *controls_.at(to);
        const pb::heartbeat_reply reply = asked.heartbeat(beat, now);
        if (reply.is_leader()) {
            history_.answered({to, asked.term(), now});
        }
        links_.send(to, one.name(), now, [this, &one, reply](auto received_at) {
            const auto hinted = std::ranges::find(control_names_, reply.leader_hint());
            if (!reply.is_leader() && hinted != control_names_.end()) {
                one.set_control_choice(static_cast<std::size_t>(hinted - control_names_.begin()));
            }
            one.answered(reply, received_at);
        });
    });
}

void world::step_server(server& one)
{
    one.tick(now_);
    if (is_time_for(now_, announcement_interval)) {
        for (auto& [name, listener] : entries_) {
            if (links_.failure_domain(name) == links_.failure_domain(one.name())) {
                links_.send(one.name(), name, now_,
                            [listener = listener.get(), report = one.report()](auto now) {
                                listener->announced(report, now);
                            });
            }
        }
    }
    if (!is_time_for(now_, tick) || one.following().empty()) {
        return;
    }
    const server::pull asked = one.next_pull();
    const std::string source = one.following();
    links_.send(one.name(), source, now_, [this, &one, source, asked](auto now) {
        std::vector<server_log_entry> entries = servers_.at(source)->read_log(one.name(), asked);
        links_.send(source, one.name(), now,
                    [&one, asked, entries = std::move(entries)](auto received_at) {
                        one.receive(asked.term, asked.after, entries, received_at);
                    });
    });
}

entry* world::any_entry(const std::string& through)
{
    std::vector<entry*> running;
    for (auto& [name, one] : entries_) {
        const bool is_meant =
            through.empty() || through == name || through == links_.failure_domain(name);
        if (is_meant && links_.runs(name, now_)) {
            running.push_back(one.get());
        }
    }
    return running.empty() ? nullptr : running[random_() % running.size()];
}

void world::step_callers()
{
    for (writer& one : writers_) {
        if (one.left > 0 && now_ >= one.next_at) {
            one.next_at = now_ + one.interval;
            --one.left;
            if (entry* taken = any_entry(one.through)) {
                send_write(*taken, one.database);
            }
        }
    }
    constexpr double milliseconds_per_second = 1'000;
    for (load_source& one : loads_) {
        one.due += now_ < one.until ? one.rate / milliseconds_per_second : 0;
        for (; one.due >= 1; one.due -= 1) {
            entry* taken = any_entry("");
            if (taken == nullptr) {
                continue;
            }
            const std::string key = "key-" + one.organisation;
            organisation_record& record = history_.organisation(one.organisation);
            if (taken->admit(key, one.organisation, now_) == entry::admission::admitted) {
                record.admissions.push_back(now_);
                history_.used({key, now_});
            }
            else {
                ++record.refused;
            }
        }
    }
}

void world::send_write(entry& one, const std::string& database)
{
    const std::string id = "w" + std::to_string(++writes_sent_);
    const pb::group_record* group = one.writable_group(database, now_);
    if (group == nullptr) {
        history_.not_run(id);
        return;
    }
    const std::uint64_t term = group->term();
    const std::string primary = group->primary();
    links_.send(one.name(), primary, now_, [this, &one, id, database, term, primary](auto) {
        servers_.at(primary)->write(
            id, term, [this, &one, id, database, term, primary](const write_answer& answer) {
                links_.send(primary, one.name(), now_,
                            [this, &one, id, database, term, answer](auto) {
                                finish_write(one, id, database, term, answer);
                            });
            });
    });
}

void world::finish_write(entry& one, const std::string& id, const std::string& database,
                         std::uint64_t term, const write_answer& answer)
{
    if (!answer.did_run) {
        history_.not_run(id);
    }
    else if (one.may_acknowledge(database, term, now_)) {
        history_.acknowledged({id, database, term, now_});
    }
    else {
        ++held_back_;
    }
}

void world::cut(const std::set<std::string>& one, const std::set<std::string>& other)
{
    links_.cut(one, other);
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

void world::freeze(const std::string& process, clock::duration time)
{
    links_.freeze(process, now_ + time);
}

void world::lose_disk(const std::string& process)
{
    controls_.at(process)->lose_disk();
}

void world::lag(const std::string& server, clock::duration lag)
{
    servers_.at(server)->set_lag(lag);
}

void world::leave(const std::string& server)
{
    servers_.at(server)->set_leaving();
}

void world::write(const std::string& database, std::uint64_t count, clock::duration interval,
                  const std::string& through)
{
    writers_.push_back({database, through, count, interval, now_});
}

void world::load(const std::string& organisation, double times, clock::duration time)
{
    for (const organisation_spec& one : organisations_) {
        if (one.name == organisation) {
            loads_.push_back({organisation, one.rate * times, 0, now_ + time});
        }
    }
}

void world::request(const std::string& name, const pb::command& command, bool lose_answer)
{
    requests_[name].command = command;
    requests_[name].command.set_request_id(name);
    send_request(name, requests_[name].command, lose_answer);
}

void world::resend(const std::string& name)
{
    pb::command command = requests_.at(name).command;
    if (!on_.request_ids) {
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
        control& asked = *controls_.at(to);
        (void)asked.propose(command, now,
                            [this, name, lose_answer](const pb::operator_reply& reply) {
                                if (!lose_answer) {
                                    requests_[name].answers.push_back(reply);
                                }
                            });
        flush(asked);
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
    for (const auto& [name, one] : controls_) {
        if (links_.runs(name, now_) && one->is_current(now_) && one->term() >= term) {
            found = name;
            term = one->term();
        }
    }
    return found;
}

std::string world::primary(const std::string& database) const
{
    const std::string leading = leader();
    if (leading.empty()) {
        return {};
    }
    const pb::group_record* group = controls_.at(leading)->state().group(database);
    return group == nullptr ? std::string() : group->primary();
}

bool world::is_process(const std::string& name) const
{
    return controls_.contains(name) || entries_.contains(name) || servers_.contains(name);
}

bool world::have_entries_followed() const
{
    const std::string leading = leader();
    if (leading.empty()) {
        return false;
    }
    const std::uint64_t version = controls_.at(leading)->state().version();
    return std::ranges::all_of(entries_, [&](const auto& item) {
        const bool is_reached =
            links_.runs(item.first, now_) && !links_.is_cut(leading, item.first);
        return !is_reached || item.second->view().version() == version;
    });
}

bool world::do_entries_refuse(const std::string& key, const std::string& organisation)
{
    return std::ranges::all_of(entries_, [&](auto& item) {
        return !links_.runs(item.first, now_) ||
               item.second->admit(key, organisation, now_) == entry::admission::key_refused;
    });
}

std::vector<std::string> world::breaches() const
{
    std::map<std::string, std::vector<std::string>> logs;
    for (const std::string& database : databases_) {
        const std::string name = primary(database);
        logs[database] = name.empty() ? std::vector<std::string>() : servers_.at(name)->ids();
    }
    return history_.breaches(logs);
}

} // namespace primrosehead::scenario
