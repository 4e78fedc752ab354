// What a scenario observed, and the promises it is checked against.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::scenario {

struct acknowledged_write {
    std::string id;
    std::string database;
    std::uint64_t term = 0;
    clock::time_point at;
};

struct promotion {
    std::string database;
    std::string server;
    std::uint64_t term = 0;
    clock::time_point at; // when the server became primary
};

struct organisation_record {
    double rate = 0;
    double burst = 0;
    std::vector<clock::time_point> admissions;
    std::uint64_t refused = 0;
};

struct key_use {
    std::string key;
    clock::time_point at;
};

struct leader_reply {
    std::string instance;
    std::uint64_t term = 0;
    clock::time_point at;
};

class history {
  public:
    void record_acknowledgement(acknowledged_write write)
    {
        acknowledged_.push_back(std::move(write));
    }
    void record_not_run(std::string id) { not_run_.push_back(std::move(id)); }
    void record_promotion(promotion promoted) { promotions_.push_back(std::move(promoted)); }
    void record_leader_reply(leader_reply reply);
    void record_key_use(key_use use) { key_uses_.push_back(std::move(use)); }
    void record_withdrawal(const std::string& key, clock::time_point at) { withdrawals_[key] = at; }
    // Acknowledged writes of this database may be lost with its primary.
    void allow_loss(std::string database) { loss_allowed_.insert(std::move(database)); }
    void record_breach(std::string description)
    {
        recorded_breaches_.push_back(std::move(description));
    }
    [[nodiscard]] organisation_record& organisation(const std::string& name);

    [[nodiscard]] std::uint64_t acknowledged_count(std::string_view database) const;
    // The longest time between two acknowledgements of a database after `from`.
    [[nodiscard]] clock::duration longest_gap(std::string_view database,
                                              clock::time_point from) const;
    [[nodiscard]] std::uint64_t reply_count(std::string_view instance,
                                            clock::time_point from) const;

    // `logs`: the write ids in the log of each database's latest primary, in order.
    [[nodiscard]] std::vector<std::string>
    breaches(const std::map<std::string, std::vector<std::string>>& logs) const;

  private:
    void check_replaced_primaries(std::vector<std::string>& breaches_found) const;
    void check_logs(const std::map<std::string, std::vector<std::string>>& logs,
                    std::vector<std::string>& breaches_found) const;
    void check_limits(std::vector<std::string>& breaches_found) const;
    void check_keys(std::vector<std::string>& breaches_found) const;

    std::vector<acknowledged_write> acknowledged_;
    std::vector<std::string> not_run_;
    std::vector<promotion> promotions_;
    std::vector<leader_reply> leader_replies_;
    std::uint64_t highest_replied_term_ = 0;
    std::vector<key_use> key_uses_;
    std::map<std::string, clock::time_point> withdrawals_;
    std::map<std::string, organisation_record> organisations_;
    std::set<std::string> loss_allowed_;
    std::vector<std::string> recorded_breaches_;
};

} // namespace primrosehead::scenario
