#include "scenario_runner.h"

#include <algorithm>
#include <cstdlib>

namespace primrosehead::scenario {

namespace {

constexpr clock::duration answer_wait{5'000};
constexpr clock::duration look_interval{10};
constexpr clock::duration default_write_interval{10};

std::uint64_t number_of(const std::string& word)
{
    return std::strtoull(word.c_str(), nullptr, 10);
}

double decimal_of(const std::string& word)
{
    return std::strtod(word.c_str(), nullptr);
}

// "500ms" or "3s".
clock::duration duration_of(const std::string& word)
{
    constexpr std::uint64_t milliseconds_per_second = 1'000;
    const std::uint64_t amount = number_of(word);
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

std::string runner::target(const std::string& word)
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

std::set<std::string> runner::targets(const std::string& list)
{
    std::set<std::string> names;
    std::size_t from = 0;
    while (from < list.size() && list != "*") {
        const std::size_t comma = std::min(list.find(',', from), list.size());
        names.insert(target(list.substr(from, comma - from)));
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
    const arguments rest = arguments(step.words).subspan(1);
    const bool is_understood = verb == "expect" ? expect(rest)
                                                : set_up(verb, rest) || disturb(verb, rest) ||
                                                      call(verb, rest) || operate(verb, rest);
    check(is_understood, "step not understood: " + verb);
}

outcome runner::finish()
{
    return {failures_, world_.breaches()};
}

bool runner::set_up(const std::string& verb, arguments rest)
{
    if (verb == "start" && rest.size() == 2 && rest[1] == "control") {
        world_.add_controls(static_cast<std::uint32_t>(number_of(rest[0])));
    }
    else if (verb == "start" && rest.size() == 2 && rest[1] == "entries") {
        world_.add_entries(static_cast<std::uint32_t>(number_of(rest[0])));
    }
    else if (verb == "group" && rest.size() >= 3 && rest[1] == "servers") {
        const bool by_primary_alone = rest.size() == 5 && rest[4] == "primary";
        world_.add_group(rest[0], static_cast<std::uint32_t>(number_of(rest[2])), by_primary_alone);
    }
    else if (verb == "organisation" && rest.size() == 5) {
        world_.add_organisation({rest[0], decimal_of(rest[2]), decimal_of(rest[4])});
    }
    else if (verb == "deploy" && rest.empty()) {
        deploy();
    }
    else if (verb == "run" && rest.size() == 1) {
        world_.run(duration_of(rest[0]));
    }
    else {
        return false;
    }
    return true;
}

void runner::deploy()
{
    while (world_.leader().empty()) {
        world_.run(look_interval);
    }
    world_.request("deploy-trial", store_command(0, world_.document("")), false);
    wait_for_answer("deploy-trial");
    world_.request("deploy-production", promote_command(1), false);
    wait_for_answer("deploy-production");
}

void runner::wait_for_answer(const std::string& request)
{
    const clock::time_point end = world_.now() + answer_wait;
    while (world_.answers(request).empty() && world_.now() < end) {
        world_.run(look_interval);
    }
    const bool is_accepted = !world_.answers(request).empty() && world_.answers(request)[0].ok();
    check(is_accepted, request + " was not accepted");
}

bool runner::disturb(const std::string& verb, arguments rest)
{
    if (verb == "cut" && rest.size() == 3 && rest[1] == "|") {
        world_.cut(targets(rest[0]), targets(rest[2]));
    }
    else if (verb == "heal" && rest.empty()) {
        world_.heal();
    }
    else if (verb == "kill" && rest.size() == 1) {
        world_.kill(target(rest[0]));
    }
    else if (verb == "restart" && rest.size() == 1) {
        world_.restart(target(rest[0]));
    }
    else if (verb == "freeze" && rest.size() == 3 && rest[1] == "for") {
        world_.freeze(target(rest[0]), duration_of(rest[2]));
    }
    else if (verb == "lose" && rest.size() == 2 && rest[0] == "disk") {
        world_.lose_disk(target(rest[1]));
    }
    else if (verb == "lag" && rest.size() == 2) {
        for (const std::string& name : targets(rest[0])) {
            world_.lag(name, duration_of(rest[1]));
        }
    }
    else if (verb == "leave" && rest.size() == 1) {
        world_.leave(target(rest[0]));
    }
    else if (verb == "remember" && rest.size() == 3 && rest[1] == "as") {
        aliases_[rest[2]] = target(rest[0]);
        check(!aliases_[rest[2]].empty(), rest[0] + " is nobody just now");
    }
    else if (verb == "mark" && rest.empty()) {
        marked_at_ = world_.now();
    }
    else {
        return false;
    }
    return true;
}

// write N to DATABASE [through WHERE]; load ORGANISATION TIMES for TIME
bool runner::call(const std::string& verb, arguments rest)
{
    if (verb == "write" && rest.size() >= 3 && rest[1] == "to") {
        const std::string through = rest.size() == 5 ? target(rest[4]) : std::string();
        world_.write(rest[2], number_of(rest[0]), default_write_interval, through);
    }
    else if (verb == "load" && rest.size() == 4 && rest[2] == "for") {
        world_.load(rest[0], decimal_of(rest[1]), duration_of(rest[3]));
    }
    else {
        return false;
    }
    return true;
}

// store NAME based VERSION [lost]; promote NAME based VERSION; resend NAME; key ID of ORGANISATION;
// withdraw ID; changes N
bool runner::operate(const std::string& verb, arguments rest)
{
    if (verb == "store" && rest.size() >= 3 && rest[1] == "based") {
        const bool is_lost = rest.size() == 4 && rest[3] == "lost";
        const std::string document = world_.document("guild-" + rest[0]);
        world_.request(rest[0], store_command(number_of(rest[2]), document), is_lost);
    }
    else if (verb == "promote" && rest.size() == 3 && rest[1] == "based") {
        world_.request(rest[0], promote_command(number_of(rest[2])), false);
    }
    else if (verb == "resend" && rest.size() == 1) {
        world_.resend(rest[0]);
    }
    else if (verb == "key" && rest.size() == 3 && rest[1] == "of") {
        world_.request("issue-" + rest[0], key_command(rest[0], rest[2]), false);
        wait_for_answer("issue-" + rest[0]);
    }
    else if (verb == "withdraw" && rest.size() == 1) {
        world_.request("withdraw-" + rest[0], withdrawal_command(rest[0]), false);
        wait_for_answer("withdraw-" + rest[0]);
        world_.observed().withdrawn(rest[0], world_.now());
    }
    else if (verb == "changes" && rest.size() == 1) {
        for (std::uint64_t number = 1; number <= number_of(rest[0]); ++number) {
            const std::string id = "spare-" + std::to_string(number);
            world_.request("issue-" + id, key_command(id, "spare"), false);
            wait_for_answer("issue-" + id);
        }
    }
    else {
        return false;
    }
    return true;
}

bool runner::expect(arguments rest)
{
    return !rest.empty() && (expect_group(rest) || expect_control(rest) || expect_answer(rest) ||
                             expect_callers(rest));
}

// primary-of:DATABASE is [not] PROCESS; gap of DATABASE below TIME;
// acknowledged at least N of DATABASE; held back at least N
bool runner::expect_group(arguments rest)
{
    if (rest.size() == 4 && rest[1] == "is" && rest[2] == "not") {
        const std::string found = target(rest[0]);
        check(!found.empty() && found != target(rest[3]), rest[0] + " is '" + found + "'");
    }
    else if (rest.size() == 3 && rest[1] == "is") {
        check(target(rest[0]) == target(rest[2]), rest[0] + " is '" + target(rest[0]) + "'");
    }
    else if (rest.size() == 5 && rest[0] == "gap") {
        const clock::duration gap = world_.observed().gap(rest[2], marked_at_);
        check(gap < duration_of(rest[4]), "the gap was " + std::to_string(gap.count()) + " ms");
    }
    else if (rest.size() == 6 && rest[0] == "acknowledged") {
        const std::uint64_t count = world_.observed().acknowledged_count(rest[5]);
        check(count >= number_of(rest[3]), std::to_string(count) + " were acknowledged");
    }
    else if (rest.size() == 5 && rest[0] == "held") {
        check(world_.held_back() >= number_of(rest[4]),
              std::to_string(world_.held_back()) + " were held back");
    }
    else {
        return false;
    }
    return true;
}

// a leader; no answers from PROCESS; N voters; PROCESS is voter; versions equal within TIME;
// at least N keys
bool runner::expect_control(arguments rest)
{
    if (rest.size() == 2 && rest[1] == "leader") {
        check(!world_.leader().empty(), "no leader");
    }
    else if (rest.size() == 4 && rest[1] == "answers") {
        const std::uint64_t count = world_.observed().answers_of(target(rest[3]), marked_at_);
        check(count == 0, std::to_string(count) + " answers");
    }
    else if (rest.size() == 2 && rest[1] == "voters") {
        const std::string leading = world_.leader();
        const std::uint64_t voters = leading.empty() ? 0 : world_.control_named(leading).voters();
        check(voters == number_of(rest[0]), std::to_string(voters) + " voters");
    }
    else if (rest.size() == 4 && rest[0] == "versions") {
        const clock::time_point end = world_.now() + duration_of(rest[3]);
        while (!world_.have_entries_followed() && world_.now() < end) {
            world_.run(look_interval);
        }
        check(world_.have_entries_followed(), "some entries are behind");
    }
    else if (rest.size() == 3 && rest[0] == "control" && rest[1] == "has") {
        const std::string leading = world_.leader();
        const bool has_key =
            !leading.empty() && world_.control_named(leading).state().key(rest[2]) != nullptr;
        check(has_key, "the leader has no key " + rest[2]);
    }
    else {
        return false;
    }
    return true;
}

// answer NAME ok|KIND; one of A B ok; answers of NAME same
bool runner::expect_answer(arguments rest)
{
    if (rest.size() == 3 && rest[0] == "answer") {
        const auto& answers = world_.answers(rest[1]);
        const std::string seen =
            answers.empty() ? "none" : (answers.back().ok() ? "ok" : answers.back().error().kind());
        check(seen == rest[2], "the answer was " + seen);
    }
    else if (rest.size() == 5 && rest[0] == "one" && rest[4] == "ok") {
        const auto accepted = [this](const std::string& name) {
            const auto& answers = world_.answers(name);
            return !answers.empty() && answers.front().ok();
        };
        check(accepted(rest[2]) != accepted(rest[3]), "not exactly one was accepted");
    }
    else if (rest.size() == 4 && rest[0] == "answers") {
        const auto& answers = world_.answers(rest[2]);
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
bool runner::expect_callers(arguments rest)
{
    if (rest.size() == 5 && rest[0] == "admitted") {
        const std::size_t count = world_.observed().organisation(rest[1]).admissions.size();
        check(count >= number_of(rest[4]), std::to_string(count) + " were admitted");
    }
    else if (rest.size() == 5 && rest[0] == "key" && rest[4] == "refused") {
        check(world_.do_entries_refuse(rest[1], rest[3]), "an entry instance takes the key");
    }
    else {
        return false;
    }
    return true;
}

outcome run_script(const script& steps, std::uint64_t seed, const mechanisms& on)
{
    runner one(seed, on);
    for (const script_step& step : steps.steps) {
        one.run(step);
    }
    return one.finish();
}

} // namespace primrosehead::scenario
