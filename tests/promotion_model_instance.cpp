#include "promotion_model_instance.h"

#include <string>
#include <utility>
#include <vector>

namespace primrosehead::testing {

namespace {

constexpr clock::duration statement_timeout{2'000};
constexpr std::string_view group_name = "kura";

} // namespace

void promotion_model_instance::receive(model_acknowledgement made)
{
    if (group_.settings().defects.ignores_fences) {
        group_.confirm(std::move(made));
        return;
    }
    acknowledged_commit commit{
        std::string(group_name), made.primary, log_position{made.term, made.index},
        gate_.mark(group_name),  group_.now(), group_.now()};
    held_.push_back({std::move(made), std::move(commit)});
}

// Asks a server for its position; the answer counts at once.
void promotion_model_instance::observe(std::string_view server)
{
    const model_server* const found = group_.find_server(server);
    if (found != nullptr && group_.is_up(*found)) {
        gate_.record_position(group_name, server, {found->log_term, found->log},
                              group_.leads(*found));
    }
}

bool promotion_model_instance::advance()
{
    bool has_confirmed = group_.settings().defects.ignores_fences;
    std::vector<std::string> known;
    for (const model_server& each : group_.servers()) {
        if (group_.is_announced(each) && group_.now() - each.announced_from >= establishing_time) {
            known.push_back(each.name);
        }
    }
    std::deque<held_commit> held;
    for (held_commit& each : held_) {
        commit_decision decision = gate_.decide(each.commit, known, group_.now());
        if (decision.verdict == commit_verdict::unproved) {
            for (const std::string& server : decision.servers) {
                observe(server);
            }
            decision = gate_.decide(each.commit, known, group_.now());
        }
        if (decision.verdict == commit_verdict::confirmed) {
            gate_.record_confirmed(each.commit);
            group_.confirm(std::move(each.made));
            has_confirmed = true;
        }
        else if (decision.verdict != commit_verdict::unknown &&
                 group_.now() - each.made.at < statement_timeout) {
            held.push_back(std::move(each));
        }
    }
    held_ = std::move(held);
    return has_confirmed;
}

void promotion_model_instance::record(const fence_map& fences, commit_gate::primaries known,
                                      clock::time_point as_of)
{
    gate_.record(fences, std::move(known), as_of, as_of, group_.now());
}

void promotion_model_instance::add(const fence_map& fences)
{
    gate_.add(fences, group_.now());
}

} // namespace primrosehead::testing
