#include "limits_account.h"
#include "limits_amounts.h"
#include "limits_bucket.h"
#include "limits_split.h"
#include "primrosehead.pb.h"

#include <primrosehead/limits.h>

#include <algorithm>
#include <utility>

namespace primrosehead::limits {

namespace {

constexpr clock::duration active_window{300};        // an instance that reported within this counts
constexpr clock::duration account_retention{60'000}; // a silent instance's account
constexpr std::int64_t ahead_divisor = 2;            // part of the pool that is granted ahead
constexpr std::int64_t milliseconds_per_second = 1'000;

std::int64_t whole_requests(std::int64_t amount)
{
    return amount / tokens_per_request * tokens_per_request;
}

// One organisation's tokens.
class organisation_ledger {
  public:
    organisation_ledger(contract terms, clock::time_point elected_at,
                        clock::time_point old_grants_end, clock::duration grant_time)
        : terms_(terms), amounts_(amounts_of(terms)), minted_at_(elected_at),
          old_grants_end_(old_grants_end), grant_time_(grant_time)
    {
    }

    // What is outstanding goes on counting, should the organisation come back.
    void close()
    {
        terms_ = contract{};
        amounts_ = contract_amounts{};
        central_bucket_.clear();
        is_closed_ = true;
    }

    [[nodiscard]] bool is_removable() const { return is_closed_ && outstanding() == 0; }

    void set_contract(const contract& terms, clock::time_point now)
    {
        is_closed_ = false;
        mint(now);
        terms_ = terms;
        amounts_ = amounts_of(terms);
        cap(now);
    }

    pb::allowance_grant handle_report(const instance_name& instance,
                                      const account::heartbeat_id& heartbeat,
                                      const pb::allowance_report& from, clock::time_point now)
    {
        pb::allowance_grant answer;
        answer.set_organisation(from.organisation());
        answer.set_valid_ms(static_cast<std::uint32_t>(grant_time_.count()));
        mint(now);
        account& holder = accounts_[instance];
        if (!holder.apply_report(heartbeat, from, now, grant_time_)) {
            return answer;
        }
        central_bucket_.add(holder.last_returned());
        cap(now);
        const std::int64_t amount = grant_amount(holder, now);
        central_bucket_.take(amount);
        holder.grant(heartbeat.sequence, amount, now, grant_time_);
        answer.set_amount(amount);
        answer.set_retry_after_ms(retry_after_ms(holder, now));
        return answer;
    }

  private:
    [[nodiscard]] std::int64_t outstanding() const
    {
        std::int64_t amount = 0;
        for (const auto& [instance, holder] : accounts_) {
            amount += holder.outstanding();
        }
        return amount;
    }

    // What the leader before may have granted.
    [[nodiscard]] std::int64_t old_grants(clock::time_point now) const
    {
        return now < old_grants_end_ ? amounts_.max_outstanding : 0;
    }

    [[nodiscard]] std::int64_t instances() const
    {
        return std::max<std::int64_t>(terms_.instances,
                                      static_cast<std::int64_t>(accounts_.size()));
    }

    // Floors of the instances that may be spending them.
    [[nodiscard]] std::int64_t floors_in_use(clock::time_point now) const
    {
        const std::int64_t unreported = instances() - static_cast<std::int64_t>(accounts_.size());
        std::int64_t amount = unreported * amounts_.floor_burst;
        for (const auto& [instance, holder] : accounts_) {
            if (now >= holder.floor_lent_until()) {
                const std::int64_t age = (now - holder.floor_lent_until()).count();
                const std::int64_t minted = amounts_.floor_rate * age / milliseconds_per_second + 1;
                amount += std::min(minted, amounts_.floor_burst);
            }
        }
        return amount;
    }

    // All tokens that exist are the burst at most.
    void cap(clock::time_point now)
    {
        central_bucket_.cap(amounts_.burst - old_grants(now) - outstanding() - floors_in_use(now));
    }

    // The leader mints all of the rate but the floors that may be spent elsewhere.
    void mint(clock::time_point now)
    {
        if (now <= minted_at_) {
            return;
        }
        const std::int64_t base = amounts_.rate - amounts_.floor_rate * instances();
        central_bucket_.mint(std::max<std::int64_t>(base, 0), now - minted_at_);
        for (auto& [instance, holder] : accounts_) {
            holder.expire(now);
            const clock::time_point floor_lent_until = std::min(now, holder.floor_lent_until());
            central_bucket_.mint(amounts_.floor_rate, floor_lent_until - minted_at_);
        }
        minted_at_ = now;
        std::erase_if(accounts_, [now](const auto& item) {
            return now - item.second.reported_at() > account_retention &&
                   item.second.outstanding() == 0;
        });
        cap(now);
    }

    [[nodiscard]] std::vector<const account*> active_accounts(clock::time_point now) const
    {
        std::vector<const account*> active;
        for (const auto& [instance, holder] : accounts_) {
            if (now - holder.reported_at() < active_window) {
                active.push_back(&holder);
            }
        }
        return active;
    }

    // Tokens that may be granted now.
    [[nodiscard]] std::int64_t grantable() const
    {
        const std::int64_t allowed = amounts_.max_outstanding - outstanding();
        return std::max<std::int64_t>(std::min(central_bucket_.tokens(), allowed), 0);
    }

    // Max-min fair over the active instances, by what each wants to hold; at least one request
    // when there is one, so that small contracts are not split into nothing. Beyond what requests
    // wait for, an instance gets a part of what is left, so that little lies idle when it is
    // scarce.
    [[nodiscard]] std::int64_t grant_amount(const account& holder, clock::time_point now) const
    {
        const std::int64_t free = grantable();
        const std::vector<const account*> active = active_accounts(now);
        std::vector<std::int64_t> wanted;
        std::int64_t all = free;
        for (const account* other : active) {
            wanted.push_back(std::max(other->wanted(), other->held()));
            all += other->held();
        }
        const std::int64_t need = std::max<std::int64_t>(holder.wanted() - holder.held(), 0);
        const std::int64_t level = fair_level(std::move(wanted), all);
        const std::int64_t fair = std::clamp<std::int64_t>(level - holder.held(), 0, need);
        const bool is_plenty = free > amounts_.max_outstanding / 2;
        const std::int64_t least = std::min(is_plenty ? need : holder.unmet(), tokens_per_request);
        const std::int64_t left = free - holder.unmet();
        const std::int64_t ahead =
            left / (ahead_divisor * static_cast<std::int64_t>(active.size()));
        const std::int64_t most = holder.unmet() + std::max<std::int64_t>(ahead, 0);
        return whole_requests(std::min({std::max(fair, least), std::max(most, least), free}));
    }

    [[nodiscard]] std::uint32_t retry_after_ms(const account& holder, clock::time_point now) const
    {
        if (holder.held() >= holder.wanted() || amounts_.rate <= 0) {
            return 0;
        }
        const auto claimants = static_cast<std::int64_t>(active_accounts(now).size());
        return static_cast<std::uint32_t>(tokens_per_request * milliseconds_per_second * claimants /
                                          amounts_.rate);
    }

    bool is_closed_ = false;
    contract terms_;
    contract_amounts amounts_;
    bucket central_bucket_;
    clock::time_point minted_at_;
    clock::time_point old_grants_end_;
    clock::duration grant_time_;
    std::map<instance_name, account> accounts_;
};

} // namespace

struct allowance_ledger::implementation {
    clock::time_point elected_at;
    clock::duration grant_time;
    std::map<organisation_name, organisation_ledger> organisations;
};

allowance_ledger::allowance_ledger(clock::time_point elected_at, clock::duration grant_time)
    : body_(std::make_unique<implementation>())
{
    body_->elected_at = elected_at;
    body_->grant_time = grant_time;
}

allowance_ledger::~allowance_ledger() = default;
allowance_ledger::allowance_ledger(allowance_ledger&&) noexcept = default;
allowance_ledger& allowance_ledger::operator=(allowance_ledger&&) noexcept = default;

// An organisation's first tokens are minted from now on.
void allowance_ledger::set_contract(const organisation_name& organisation, contract terms,
                                    clock::time_point now)
{
    const auto found = body_->organisations.find(organisation);
    if (found != body_->organisations.end()) {
        found->second.set_contract(terms, now);
        return;
    }
    constexpr clock::duration margin{5};
    const clock::time_point old_grants_end = body_->elected_at + body_->grant_time + margin;
    body_->organisations.emplace(
        organisation, organisation_ledger(terms, now, old_grants_end, body_->grant_time));
}

void allowance_ledger::remove(const organisation_name& organisation)
{
    std::erase_if(body_->organisations,
                  [](const auto& item) { return item.second.is_removable(); });
    const auto found = body_->organisations.find(organisation);
    if (found != body_->organisations.end()) {
        found->second.close();
    }
}

pb::allowance_grant allowance_ledger::handle_report(const instance_name& instance,
                                                    std::uint64_t incarnation,
                                                    std::uint64_t sequence, std::uint64_t answered,
                                                    const pb::allowance_report& from,
                                                    clock::time_point now)
{
    const auto found = body_->organisations.find(organisation_name(from.organisation()));
    if (found == body_->organisations.end()) {
        pb::allowance_grant none;
        none.set_organisation(from.organisation());
        return none;
    }
    return found->second.handle_report(instance, {incarnation, sequence, answered}, from, now);
}

} // namespace primrosehead::limits
