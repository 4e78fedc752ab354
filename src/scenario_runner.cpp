#include "scenario_runner.h"

#include <algorithm>
#include <cstdlib>

namespace primrosehead::scenario {

namespace {

constexpr clock::duration answer_timeout{5'000};
constexpr clock::duration poll_interval{10};
constexpr clock::duration default_write_interval{10};

std::uint64_t parse_number(const std::string& word)
{
    return std::strtoull(word.c_str(), nullptr, 10);
}

double parse_decimal(const std::string& word)
{
    return std::strtod(word.c_str(), nullptr);
}

// "500ms" or "3s".
clock::duration parse_duration(const std::string& word)
{
    constexpr std::uint64_t milliseconds_per_second = 1'000;
    const std::uint64_t amount = parse_number(word);
    const bool is_milliseconds = word.ends_with("ms");
    return clock::duration(is_milliseconds ? amount : amount * milliseconds_per_second);
}

pb::command store_command(std::uint64_t base, std::string document)
{
    pb::command command;
    command.mutable_trial()->set_name("hakata");
    command.mutable_trial()->set_base_version(base);
    command.mutable_trial()->set_document(std::move(document));
    return command;
}

pb::command promote_command(std::uint64_t base)
{
    pb::command command;
    command.mutable_promote()->set_name("hakata");
    command.mutable_promote()->set_base_version(base);
    return command;
}

pb::command key_command(const std::string& id, const std::string& organisation)
{
    constexpr std::size_t salt_bytes = 16;
    constexpr std::size_t digest_bytes = 32;
    pb::command command;
    pb::key_record& key = *command.mutable_issue()->mutable_key();
    key.set_key_id(id);
    key.set_organisation(organisation);
    key.set_salt(std::string(salt_bytes, 's'));
    key.set_digest(std::string(digest_bytes, 'd'));
    return command;
}

pb::command withdrawal_command(const std::string& id)
{
    pb::command command;
    command.mutable_withdraw()->set_key_id(id);
    return command;
}

} // namespace

std::string runner::resolve(const std::string& word)
{
    constexpr std::string_view primary_prefix = "primary-of:";
    if (word == "leader") {
        return world_.leader();
    }
    if (word.starts_with(primary_prefix)) {
        return world_.primary(word.substr(primary_prefix.size()));
    }
    const auto alias = aliases_.find(word);
    return alias == aliases_.end() ? word : alias->second;
}

std::set<std::string> runner::resolve_list(const std::string& list)
{
    std::set<std::string> names;
    std::size_t from = 0;
    while (from < list.size() && list != "*") {
        const std::size_t comma = std::min(list.find(',', from), list.size());
        names.insert(resolve(list.substr(from, comma - from)));
        from = comma + 1;
    }
    return names;
}

void runner::check(bool is_met, const std::string& seen)
{
    if (!is_met) {
        failures_.push_back("line " + std::to_string(line_) + ": " + seen);
    }
}

void runner::run(const script_step& step)
{
    line_ = step.line;
    const std::string& verb = step.words.front();
    const arguments args = arguments(step.words).subspan(1);
    const bool is_understood = verb == "expect"
                                   ? expect(args)
                                   : set_up(verb, args) || inject_fault(verb, args) ||
                                         start_traffic(verb, args) || send_command(verb, args);
    check(is_understood, "step not understood: " + verb);
}

outcome runner::finish()
{
    return {failures_, world_.breaches()};
}

bool runner::set_up(const std::string& verb, arguments args)
{
    if (verb == "start" && args.size() == 2 && args[1] == "control") {
        world_.add_controls(static_cast<std::uint32_t>(parse_number(args[0])));
    }
    else if (verb == "start" && args.size() == 2 && args[1] == "entries") {
        world_.add_entries(static_cast<std::uint32_t>(parse_number(args[0])));
    }
    else if (verb == "group" && args.size() >= 3 && args[1] == "servers") {
        const bool by_primary_alone = args.size() == 5 && args[4] == "primary";
        world_.add_group(args[0], static_cast<std::uint32_t>(parse_number(args[2])),
                         by_primary_alone);
    }
    else if (verb == "organisation" && args.size() == 5) {
        world_.add_organisation({args[0], parse_decimal(args[2]), parse_decimal(args[4])});
    }
    else if (verb == "deploy" && args.empty()) {
        deploy();
    }
    else if (verb == "run" && args.size() == 1) {
        world_.run(parse_duration(args[0]));
    }
    else {
        return false;
    }
    return true;
}

void runner::deploy()
{
    while (world_.leader().empty()) {
        world_.run(poll_interval);
    }
    world_.submit("deploy-trial", store_command(0, world_.make_document("")), false);
    wait_for_answer("deploy-trial");
    world_.submit("deploy-production", promote_command(1), false);
    wait_for_answer("deploy-production");
}

void runner::wait_for_answer(const std::string& request)
{
    const clock::time_point end = world_.now() + answer_timeout;
    while (world_.answers(request).empty() && world_.now() < end) {
        world_.run(poll_interval);
    }
    const bool is_accepted = !world_.answers(request).empty() && world_.answers(request)[0].ok();
    check(is_accepted, request + " was not accepted");
}

bool runner::inject_fault(const std::string& verb, arguments args)
{
    if (verb == "cut" && args.size() == 3 && args[1] == "|") {
        world_.cut(resolve_list(args[0]), resolve_list(args[2]));
    }
    else if (verb == "heal" && args.empty()) {
        world_.heal();
    }
    else if (verb == "kill" && args.size() == 1) {
        world_.kill(resolve(args[0]));
    }
    else if (verb == "restart" && args.size() == 1) {
        world_.restart(resolve(args[0]));
    }
    else if (verb == "freeze" && args.size() == 3 && args[1] == "for") {
        world_.freeze(resolve(args[0]), parse_duration(args[2]));
    }
    else if (verb == "lose" && args.size() == 2 && args[0] == "disk") {
        world_.lose_disk(resolve(args[1]));
    }
    else if (verb == "lag" && args.size() == 2) {
        for (const std::string& name : resolve_list(args[0])) {
            world_.set_lag(name, parse_duration(args[1]));
        }
    }
    else if (verb == "leave" && args.size() == 1) {
        world_.set_leaving(resolve(args[0]));
    }
    else if (verb == "remember" && args.size() == 3 && args[1] == "as") {
        aliases_[args[2]] = resolve(args[0]);
        check(!aliases_[args[2]].empty(), args[0] + " is nobody just now");
    }
    else if (verb == "mark" && args.empty()) {
        marked_at_ = world_.now();
    }
    else {
        return false;
    }
    return true;
}

// write N to DATABASE [through WHERE]; load ORGANISATION TIMES for TIME
bool runner::start_traffic(const std::string& verb, arguments args)
{
    if (verb == "write" && args.size() >= 3 && args[1] == "to") {
        const std::string through = args.size() == 5 ? resolve(args[4]) : std::string();
        world_.start_writes(args[2], parse_number(args[0]), default_write_interval, through);
    }
    else if (verb == "load" && args.size() == 4 && args[2] == "for") {
        world_.start_load(args[0], parse_decimal(args[1]), parse_duration(args[3]));
    }
    else {
        return false;
    }
    return true;
}

// store NAME based VERSION [lost]; promote NAME based VERSION; resend NAME; key ID of ORGANISATION;
// withdraw ID; changes N
bool runner::send_command(const std::string& verb, arguments args)
{
    if (verb == "store" && args.size() >= 3 && args[1] == "based") {
        const bool is_lost = args.size() == 4 && args[3] == "lost";
        const std::string document = world_.make_document("guild-" + args[0]);
        world_.submit(args[0], store_command(parse_number(args[2]), document), is_lost);
    }
    else if (verb == "promote" && args.size() == 3 && args[1] == "based") {
        world_.submit(args[0], promote_command(parse_number(args[2])), false);
    }
    else if (verb == "resend" && args.size() == 1) {
        world_.resend(args[0]);
    }
    else if (verb == "key" && args.size() == 3 && args[1] == "of") {
        world_.submit("issue-" + args[0], key_command(args[0], args[2]), false);
        wait_for_answer("issue-" + args[0]);
    }
    else if (verb == "withdraw" && args.size() == 1) {
        world_.submit("withdraw-" + args[0], withdrawal_command(args[0]), false);
        wait_for_answer("withdraw-" + args[0]);
        world_.observed_history().record_withdrawal(args[0], world_.now());
    }
    else if (verb == "changes" && args.size() == 1) {
        for (std::uint64_t number = 1; number <= parse_number(args[0]); ++number) {
            const std::string id = "spare-" + std::to_string(number);
            world_.submit("issue-" + id, key_command(id, "spare"), false);
            wait_for_answer("issue-" + id);
        }
    }
    else {
        return false;
    }
    return true;
}

bool runner::expect(arguments args)
{
    return !args.empty() && (expect_group(args) || expect_control(args) || expect_answer(args) ||
                             expect_callers(args));
}

// primary-of:DATABASE is [not] PROCESS; gap of DATABASE below TIME;
// acknowledged at least N of DATABASE; held back at least N
bool runner::expect_group(arguments args)
{
    if (args.size() == 4 && args[1] == "is" && args[2] == "not") {
        const std::string found = resolve(args[0]);
        check(!found.empty() && found != resolve(args[3]), args[0] + " is '" + found + "'");
    }
    else if (args.size() == 3 && args[1] == "is") {
        check(resolve(args[0]) == resolve(args[2]), args[0] + " is '" + resolve(args[0]) + "'");
    }
    else if (args.size() == 5 && args[0] == "gap") {
        const clock::duration gap = world_.observed_history().longest_gap(args[2], marked_at_);
        check(gap < parse_duration(args[4]), "the gap was " + std::to_string(gap.count()) + " ms");
    }
    else if (args.size() == 6 && args[0] == "acknowledged") {
        const std::uint64_t count = world_.observed_history().acknowledged_count(args[5]);
        check(count >= parse_number(args[3]), std::to_string(count) + " were acknowledged");
    }
    else if (args.size() == 5 && args[0] == "held") {
        check(world_.withheld_acknowledgements() >= parse_number(args[4]),
              std::to_string(world_.withheld_acknowledgements()) + " were held back");
    }
    else {
        return false;
    }
    return true;
}

// a leader; no answers from PROCESS; N voters; PROCESS is voter; versions equal within TIME;
// at least N keys
bool runner::expect_control(arguments args)
{
    if (args.size() == 2 && args[1] == "leader") {
        check(!world_.leader().empty(), "no leader");
    }
    else if (args.size() == 4 && args[1] == "answers") {
        const std::uint64_t count =
            world_.observed_history().reply_count(resolve(args[3]), marked_at_);
        check(count == 0, std::to_string(count) + " answers");
    }
    else if (args.size() == 2 && args[1] == "voters") {
        const std::string leader_name = world_.leader();
        const std::uint64_t voters =
            leader_name.empty() ? 0 : world_.control_by_name(leader_name).voters();
        check(voters == parse_number(args[0]), std::to_string(voters) + " voters");
    }
    else if (args.size() == 4 && args[0] == "versions") {
        const clock::time_point end = world_.now() + parse_duration(args[3]);
        while (!world_.are_entries_up_to_date() && world_.now() < end) {
            world_.run(poll_interval);
        }
        check(world_.are_entries_up_to_date(), "some entries are behind");
    }
    else if (args.size() == 3 && args[0] == "control" && args[1] == "has") {
        const std::string leader_name = world_.leader();
        const bool has_key = !leader_name.empty() &&
                             world_.control_by_name(leader_name).state().key(args[2]) != nullptr;
        check(has_key, "the leader has no key " + args[2]);
    }
    else {
        return false;
    }
    return true;
}

// answer NAME ok|KIND; one of A B ok; answers of NAME same
bool runner::expect_answer(arguments args)
{
    if (args.size() == 3 && args[0] == "answer") {
        const auto& answers = world_.answers(args[1]);
        const std::string seen =
            answers.empty() ? "none" : (answers.back().ok() ? "ok" : answers.back().error().kind());
        check(seen == args[2], "the answer was " + seen);
    }
    else if (args.size() == 5 && args[0] == "one" && args[4] == "ok") {
        const auto accepted = [this](const std::string& name) {
            const auto& answers = world_.answers(name);
            return !answers.empty() && answers.front().ok();
        };
        check(accepted(args[2]) != accepted(args[3]), "not exactly one was accepted");
    }
    else if (args.size() == 4 && args[0] == "answers") {
        const auto& answers = world_.answers(args[2]);
        const bool is_same = answers.size() > 1 && answers.front().SerializeAsString() ==
                                                       answers.back().SerializeAsString();
        check(is_same, "the answers differ or are too few");
    }
    else {
        return false;
    }
    return true;
}

// admitted ORGANISATION at least N; key ID of ORGANISATION refused
bool runner::expect_callers(arguments args)
{
    if (args.size() == 5 && args[0] == "admitted") {
        const std::size_t count = world_.observed_history().organisation(args[1]).admissions.size();
        check(count >= parse_number(args[4]), std::to_string(count) + " were admitted");
    }
    else if (args.size() == 5 && args[0] == "key" && args[4] == "refused") {
        check(world_.do_entries_reject_key(args[1], args[3]), "an entry instance takes the key");
    }
    else {
        return false;
    }
    return true;
}

outcome run_script(const script& steps, std::uint64_t seed, const safeguards& enabled)
{
    runner script_runner(seed, enabled);
    for (const script_step& step : steps.steps) {
        script_runner.run(step);
    }
    return script_runner.finish();
}

} // namespace primrosehead::scenario
