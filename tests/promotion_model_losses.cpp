// The causes of lost commits in promotion_model.
#include "promotion_model_group.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace primrosehead::testing {

namespace {

// Until the control leader can know that a server restarted.
constexpr clock::duration knowledge_delay{500};

} // namespace

bool promotion_model_group::has_acknowledged(const acknowledgement& made, std::string_view server)
{
    return std::find(made.servers.begin(), made.servers.end(), server) != made.servers.end();
}

// Returns why commits may be lost if the candidate is promoted.
promotion_model_group::request_state
promotion_model_group::gap_of(const model_server* candidate) const
{
    request_state state;
    state.sent_at = now_;
    state.was_demoted = !has_lead_;
    state.term = term_;
    state.is_confirmation = candidate != nullptr && leads(*candidate);
    if (candidate == nullptr || state.is_confirmation) {
        return state;
    }
    if (candidate->log < acknowledged_) {
        state.gap = fmt::format("the candidate lacks {} commits", acknowledged_ - candidate->log);
        const auto first =
            std::find_if(acknowledgements_.begin(), acknowledgements_.end(),
                         [&](const auto& each) { return each.index > candidate->log; });
        state.is_knowable =
            first == acknowledgements_.end() ||
            std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
                return has_acknowledged(*first, each.name) && now_ >= each.announced_from;
            });
        return state;
    }
    if (!has_lead_) {
        return state;
    }
    for (const model_server& each : servers_) {
        if (each.is_gone || each.is_paused || &each == candidate || leads(each)) {
            continue;
        }
        const bool is_late_restart =
            each.unpaused_by == "restart" && now_ - each.unpaused_at < knowledge_delay;
        if (state.gap.empty() || (is_announced(each) && !is_late_restart)) {
            state.gap = each.name + " is not paused since " + each.unpaused_by;
            state.is_knowable = is_announced(each) && !is_late_restart;
        }
    }
    return state;
}

promotion_model_loss promotion_model_group::explain_loss(const model_server& promoted,
                                                         const request_state& sent,
                                                         const acknowledgement& first)
{
    promotion_model_loss loss{now_ - started_at_, promoted.name, {}, true};
    if (sent.has_taken_effect) {
        loss.cause = "a late copy of a request that had taken effect";
        return loss;
    }
    if (promoted.unpaused_at > sent.sent_at && promoted.log_term == 0) {
        loss.cause = "the server lost its log after the request";
        loss.is_avoidable = false;
        return loss;
    }
    if (!sent.gap.empty()) {
        loss.cause = "at the request " + std::string(sent.gap.starts_with("the candidate")
                                                         ? "the candidate lacks commits"
                                                         : "a replica is not paused");
        loss.is_avoidable = sent.is_knowable;
        loss.cause += sent.is_knowable ? "" : ", unknowably";
        return loss;
    }
    if (sent.was_demoted && sent.term == term_) {
        loss.cause = "after the request, the demoted primary leads after a restart";
        loss.is_avoidable = false;
        return loss;
    }
    loss.cause = sent.is_confirmation ? "after a confirmation of the primary" : "after the request";
    loss.is_avoidable = false;
    for (const std::string& name : first.servers) {
        const auto server = std::find_if(servers_.begin(), servers_.end(),
                                         [&](const auto& each) { return each.name == name; });
        const std::string& ended_by = server->unpaused_by;
        loss.cause += ", " + ended_by;
        loss.is_avoidable = loss.is_avoidable || (ended_by != "restart" && ended_by != "join");
    }
    return loss;
}

void promotion_model_group::note_loss(const model_server& promoted, std::uint64_t number)
{
    const auto first = std::find_if(acknowledgements_.begin(), acknowledgements_.end(),
                                    [&](const auto& each) { return each.index > promoted.log; });
    const auto sent = requests_sent_.find({promoted.name, number});
    promotion_model_loss loss{now_ - started_at_, promoted.name, "unknown", true};
    if (first != acknowledgements_.end() && sent != requests_sent_.end()) {
        loss = explain_loss(promoted, sent->second, *first);
        const acknowledgement& last = acknowledgements_.back();
        note(
            fmt::format("LOST ({}avoidable) {}: {} at {} by {} to {} at {} by {}; request at {} {}",
                        loss.is_avoidable ? "" : "un", loss.cause, first->index,
                        (first->at - started_at_).count(), fmt::join(first->servers, ","),
                        last.index, (last.at - started_at_).count(), fmt::join(last.servers, ","),
                        (sent->second.sent_at - started_at_).count(), sent->second.gap));
    }
    std::erase_if(acknowledgements_,
                  [&](const acknowledgement& each) { return each.index > promoted.log; });
    result_.avoidable_losses += loss.is_avoidable ? 1 : 0;
    result_.losses.push_back(std::move(loss));
}

} // namespace primrosehead::testing
