#include "limits_model.h"

#include "primrosehead.pb.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <utility>

namespace primrosehead::limits {

namespace {

const char* const organisation = "shrine-committee";

// Reference token bucket that admits what a single limiter for the whole fleet would admit.
class ideal_bucket {
  public:
    explicit ideal_bucket(const contract& terms) : terms_(terms), tokens_(terms.burst) {}

    bool take(clock::time_point now)
    {
        constexpr double milliseconds_per_second = 1'000;
        const auto passed = static_cast<double>((now - at_).count());
        tokens_ = std::min(terms_.burst, tokens_ + terms_.rate * passed / milliseconds_per_second);
        at_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

  private:
    contract terms_;
    double tokens_;
    clock::time_point at_{};
};

struct waiting_request {
    clock::time_point deadline;
    bool is_within_contract = false;
};

struct request_message {
    clock::time_point due;
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t acknowledged_sequence = 0;
    clock::time_point sent_at;
    pb::allowance_report report;
};

struct reply_message {
    clock::time_point due;
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    clock::time_point sent_at;
    pb::allowance_grant grant;
};

struct entry {
    std::optional<allowance> tokens;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t acknowledged_sequence = 0;
    clock::time_point next_heartbeat;
    clock::time_point frozen_until;
    clock::time_point down_until;
    clock::time_point partitioned_until;
    std::deque<waiting_request> waiting;
};

class model {
  public:
    explicit model(const model_settings& settings)
        : settings_(settings), random_(settings.seed), current_terms_(settings.terms),
          ideal_(settings.terms)
    {
        entries_.resize(settings.terms.instances);
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            entries_[index].tokens.emplace(current_terms_, start);
            entries_[index].next_heartbeat = start + clock::duration(index * 10);
        }
        elect(start);
    }

    model_result run(std::span<const arrival> arrivals)
    {
        const clock::time_point end = start + settings_.length;
        for (clock::time_point now = start; now < end; now += clock::duration(1)) {
            inject_faults(now);
            run_leader(now);
            deliver_replies(now);
            while (!arrivals.empty() && arrivals.front().at <= now) {
                handle_arrival(arrivals.front(), now);
                arrivals = arrivals.subspan(1);
            }
            for (std::size_t index = 0; index < entries_.size(); ++index) {
                step(index, now);
            }
        }
        result_.breach = find_breach(admissions_, settings_.terms.rate, settings_.terms.burst);
        return result_;
    }

    static constexpr clock::time_point start{clock::duration(100'000)};

  private:
    bool happens(double chance)
    {
        return chance > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < chance;
    }

    clock::duration random_duration(clock::duration max)
    {
        return clock::duration(std::uniform_int_distribution<clock::rep>(0, max.count())(random_));
    }

    void elect(clock::time_point now)
    {
        const clock::time_point elected_at =
            settings_.count_old_grants ? now : now - settings_.grant_time * 2;
        ledger_.emplace(elected_at, settings_.grant_time);
        ledger_->set_contract(organisation_name(organisation), current_terms_, now);
    }

    void inject_faults(clock::time_point now)
    {
        for (entry& instance : entries_) {
            if (happens(settings_.freeze_chance)) {
                instance.frozen_until = now + random_duration(settings_.outage_max);
            }
            if (happens(settings_.partition_chance)) {
                instance.partitioned_until = now + random_duration(settings_.outage_max);
            }
            if (happens(settings_.restart_chance)) {
                restart(instance, now);
            }
        }
        if (happens(settings_.leader_change_chance)) {
            ledger_.reset();
            elected_at_ = now + random_duration(settings_.election_max);
        }
        if (!ledger_ && now >= elected_at_) {
            elect(now);
        }
        if (happens(settings_.contract_change_chance)) {
            change_contract(now);
        }
    }

    void restart(entry& instance, clock::time_point now)
    {
        instance.tokens.emplace(current_terms_, now);
        ++instance.incarnation;
        instance.sequence = 0;
        instance.acknowledged_sequence = 0;
        instance.down_until = now + random_duration(settings_.outage_max);
        instance.next_heartbeat = instance.down_until;
        result_.refused += instance.waiting.size();
        instance.waiting.clear();
    }

    // Switches between the full and the halved contract. Each instance follows with a chance of one
    // half, so that instances differ in their terms.
    void change_contract(clock::time_point now)
    {
        current_terms_ = settings_.terms;
        if (is_halved_) {
            is_halved_ = false;
        }
        else {
            is_halved_ = true;
            current_terms_.rate /= 2;
            current_terms_.burst /= 2;
        }
        if (ledger_) {
            ledger_->set_contract(organisation_name(organisation), current_terms_, now);
        }
        for (entry& instance : entries_) {
            if (happens(0.5)) {
                instance.tokens->set_contract(current_terms_, now);
            }
        }
    }

    [[nodiscard]] bool is_running(const entry& instance, clock::time_point now) const
    {
        return now >= instance.frozen_until && now >= instance.down_until;
    }

    clock::time_point delivery_time(clock::time_point now)
    {
        return now + settings_.link_delay + random_duration(settings_.extra_delay);
    }

    template <class Message>
    void send(std::deque<Message>& link, Message message, clock::time_point now)
    {
        if (happens(settings_.message_loss)) {
            return;
        }
        const int copies = happens(settings_.message_duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            message.due = delivery_time(now);
            link.push_back(message);
        }
    }

    template <class Message>
    static std::vector<Message> take_due(std::deque<Message>& link, clock::time_point now)
    {
        std::vector<Message> due;
        for (Message& message : link) {
            if (message.due <= now) {
                due.push_back(message);
            }
        }
        std::erase_if(link, [now](const Message& message) { return message.due <= now; });
        return due;
    }

    void run_leader(clock::time_point now)
    {
        for (const request_message& incoming : take_due(requests_, now)) {
            if (!ledger_ || now < entries_[incoming.instance].partitioned_until) {
                continue;
            }
            reply_message reply;
            reply.instance = incoming.instance;
            reply.incarnation = incoming.incarnation;
            reply.sequence = incoming.sequence;
            reply.sent_at = incoming.sent_at;
            reply.grant = ledger_->handle_report(
                instance_name("entry-" + std::to_string(incoming.instance)), incoming.incarnation,
                incoming.sequence, incoming.acknowledged_sequence, incoming.report, now);
            send(replies_, std::move(reply), now);
        }
    }

    // Replies to a frozen instance are delivered when it resumes; replies to a stopped one are
    // lost.
    void deliver_replies(clock::time_point now)
    {
        for (reply_message& reply : take_due(replies_, now)) {
            entry& instance = entries_[reply.instance];
            if (now < instance.frozen_until) {
                reply.due = instance.frozen_until;
                replies_.push_back(reply);
                continue;
            }
            const bool is_stale = reply.incarnation != instance.incarnation ||
                                  reply.sequence <= instance.acknowledged_sequence;
            if (is_stale || now < instance.down_until || now < instance.partitioned_until) {
                continue;
            }
            instance.acknowledged_sequence = reply.sequence;
            const clock::time_point valid_from = settings_.count_from_request ? reply.sent_at : now;
            instance.tokens->add_grant(reply.grant.amount(),
                                       clock::duration(reply.grant.valid_ms()), valid_from, now);
            serve_waiting(instance, now);
        }
    }

    void admit(clock::time_point now)
    {
        ++result_.admitted;
        admissions_.push_back(now);
    }

    void refuse(bool is_within_contract)
    {
        ++result_.refused;
        result_.wrongly_refused += is_within_contract ? 1 : 0;
    }

    void serve_waiting(entry& instance, clock::time_point now)
    {
        while (!instance.waiting.empty() && instance.tokens->take(now)) {
            ++result_.admitted_after_wait;
            admit(now);
            instance.waiting.pop_front();
        }
    }

    void handle_arrival(const arrival& request, clock::time_point now)
    {
        entry& instance = entries_[request.instance];
        if (!is_running(instance, now)) {
            return;
        }
        ++result_.offered;
        const bool is_within_contract = ideal_.take(now);
        result_.over_contract += is_within_contract ? 0 : 1;
        if (instance.waiting.empty() && instance.tokens->take(now)) {
            admit(now);
        }
        else {
            instance.waiting.push_back({now + settings_.request_wait, is_within_contract});
        }
    }

    void step(std::size_t index, clock::time_point now)
    {
        entry& instance = entries_[index];
        if (!is_running(instance, now)) {
            return;
        }
        while (!instance.waiting.empty() && instance.waiting.front().deadline <= now) {
            refuse(instance.waiting.front().is_within_contract);
            instance.waiting.pop_front();
        }
        const bool is_regular = now >= instance.next_heartbeat;
        if (is_regular || instance.tokens->is_low(now)) {
            send_heartbeat(index, now);
        }
    }

    void send_heartbeat(std::size_t index, clock::time_point now)
    {
        entry& instance = entries_[index];
        instance.next_heartbeat = now + settings_.heartbeat;
        if (!instance.tokens->is_report_due(now)) {
            return;
        }
        ++result_.heartbeats;
        request_message message;
        message.instance = index;
        message.incarnation = instance.incarnation;
        message.sequence = ++instance.sequence;
        message.acknowledged_sequence = instance.acknowledged_sequence;
        message.sent_at = now;
        message.report.set_organisation(organisation);
        instance.tokens->fill_report(message.report, now);
        if (now >= instance.partitioned_until) {
            send(requests_, std::move(message), now);
        }
    }

    model_settings settings_;
    std::mt19937_64 random_;
    contract current_terms_;
    bool is_halved_ = false;
    ideal_bucket ideal_;
    std::vector<entry> entries_;
    std::optional<allowance_ledger> ledger_;
    clock::time_point elected_at_{};
    std::deque<request_message> requests_;
    std::deque<reply_message> replies_;
    std::vector<clock::time_point> admissions_;
    model_result result_;
};

} // namespace

model_result run_model(const model_settings& settings, std::span<const arrival> arrivals)
{
    return model(settings).run(arrivals);
}

} // namespace primrosehead::limits
