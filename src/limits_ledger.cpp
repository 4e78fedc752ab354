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

// An instance shares in the division of the pool for this long after its last report.
constexpr clock::duration active_window{300};
// Accounts without reports and outstanding tokens are dropped after this time.
constexpr clock::duration account_retention{60'000};
// Beyond its refused requests, an instance is granted at most its even part of the rest of the pool
// divided by this.
constexpr std::int64_t ahead_divisor = 2;
constexpr std::int64_t milliseconds_per_second = 1'000;

std::int64_t whole_requests(std::int64_t amount)
{
    return amount / tokens_per_request * tokens_per_request;
}

// Tokens of one organisation.
class organisation_ledger {
  public:
    organisation_ledger(contract terms, clock::time_point created_at,
                        clock::time_point old_grants_end, clock::duration grant_time)
        : terms_(terms), amounts_(amounts_of(terms)), minted_at_(created_at),
          old_grants_end_(old_grants_end), grant_time_(grant_time)
    {
    }

    // Ends the contract. Outstanding tokens still count if the organisation is added again.
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
                                      const pb::allowance_report& report, clock::time_point now)
    {
        pb::allowance_grant reply;
        reply.set_organisation(report.organisation());
        reply.set_valid_ms(static_cast<std::uint32_t>(grant_time_.count()));
        mint(now);
        account& holder = accounts_[instance];
        if (!holder.apply_report(heartbeat, report, now, grant_time_)) {
            return reply;
        }
        central_bucket_.add(holder.last_returned());
        cap(now);
        const std::int64_t amount = grant_amount(holder, now);
        central_bucket_.take(amount);
        holder.grant(heartbeat.sequence, amount, now, grant_time_);
        reply.set_amount(amount);
        reply.set_retry_after_ms(retry_after_ms(holder, now));
        return reply;
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

    // Upper bound on the tokens outstanding from the previous leader.
    [[nodiscard]] std::int64_t old_grants(clock::time_point now) const
    {
        return now < old_grants_end_ ? amounts_.max_outstanding : 0;
    }

    [[nodiscard]] std::int64_t instances() const
    {
        return std::max<std::int64_t>(terms_.instances,
                                      static_cast<std::int64_t>(accounts_.size()));
    }

    // Upper bound on the floor tokens at instances that may be spending their floor.
    [[nodiscard]] std::int64_t floors_in_use(clock::time_point now) const
    {
        const std::int64_t unreported = instances() - static_cast<std::int64_t>(accounts_.size());
        std::int64_t amount = unreported * amounts_.floor_burst;
        for (const auto& [instance, holder] : accounts_) {
            if (now >= holder.floor_lent_until()) {
                const std::int64_t elapsed_ms = (now - holder.floor_lent_until()).count();
                const std::int64_t minted =
                    amounts_.floor_rate * elapsed_ms / milliseconds_per_second + 1;
                amount += std::min(minted, amounts_.floor_burst);
            }
        }
        return amount;
    }

    // Keeps the total of all tokens in existence within the burst.
    void cap(clock::time_point now)
    {
        central_bucket_.cap(amounts_.burst - old_grants(now) - outstanding() - floors_in_use(now));
    }

    // Mints the contract's rate, except the floors that instances may be minting themselves.
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

    // Tokens available for granting.
    [[nodiscard]] std::int64_t grantable() const
    {
        const std::int64_t allowed = amounts_.max_outstanding - outstanding();
        return std::max<std::int64_t>(std::min(central_bucket_.tokens(), allowed), 0);
    }

    // Tokens to grant to `holder`. The division is max-min fair over the active instances by the
    // tokens that each wants to hold, but gives at least the tokens for one request if the
    // pool has them, so that small contracts are not divided into unusable fractions. Beyond its
    // refused requests, an instance gets only a part of the remaining pool, so that few scarce
    // tokens lie idle.
    [[nodiscard]] std::int64_t grant_amount(const account& holder, clock::time_point now) const
    {
        const std::int64_t available = grantable();
        const std::vector<const account*> active = active_accounts(now);
        std::vector<std::int64_t> wanted;
        std::int64_t total = available;
        for (const account* other : active) {
            wanted.push_back(std::max(other->wanted(), other->held()));
            total += other->held();
        }
        const std::int64_t shortfall = std::max<std::int64_t>(holder.wanted() - holder.held(), 0);
        const std::int64_t level = fair_level(std::move(wanted), total);
        const std::int64_t fair_amount =
            std::clamp<std::int64_t>(level - holder.held(), 0, shortfall);
        const bool is_plentiful = available > amounts_.max_outstanding / 2;
        const std::int64_t min_amount =
            std::min(is_plentiful ? shortfall : holder.unmet(), tokens_per_request);
        const std::int64_t remaining = available - holder.unmet();
        const std::int64_t ahead =
            remaining / (ahead_divisor * static_cast<std::int64_t>(active.size()));
        const std::int64_t max_amount = holder.unmet() + std::max<std::int64_t>(ahead, 0);
        return whole_requests(std::min(
            {std::max(fair_amount, min_amount), std::max(max_amount, min_amount), available}));
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

// A new organisation starts without tokens: minting begins at `now`.
void allowance_ledger::set_contract(const organisation_name& organisation, contract terms,
                                    clock::time_point now)
{
    const auto found = body_->organisations.find(organisation);
    if (found != body_->organisations.end()) {
        found->second.set_contract(terms, now);
        return;
    }
    constexpr clock::duration grant_margin{5}; // as in limits_account.cpp
    const clock::time_point old_grants_end = body_->elected_at + body_->grant_time + grant_margin;
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

pb::allowance_grant
allowance_ledger::handle_report(const instance_name& instance, std::uint64_t incarnation,
                                std::uint64_t sequence, std::uint64_t acknowledged_sequence,
                                const pb::allowance_report& report, clock::time_point now)
{
    const auto found = body_->organisations.find(organisation_name(report.organisation()));
    if (found == body_->organisations.end()) {
        pb::allowance_grant empty_grant;
        empty_grant.set_organisation(report.organisation());
        return empty_grant;
    }
    return found->second.handle_report(instance, {incarnation, sequence, acknowledged_sequence},
                                       report, now);
}

} // namespace primrosehead::limits
