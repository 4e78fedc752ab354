// The fake links and processes of a scenario: messages take time, links are cut, processes freeze,
// stop and start. Exact: one seed, one run.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace primrosehead::scenario {

class network {
  public:
    using delivery = std::function<void(clock::time_point now)>;

    explicit network(std::uint64_t seed) : random_(seed) {}

    void add(const std::string& process, const std::string& failure_domain);

    // Calls `deliver` at the receiver later, unless the link is cut or the receiver stops first.
    // A frozen receiver gets it when it thaws.
    void send(const std::string& from, const std::string& to, clock::time_point now,
              delivery deliver);

    // Hands over everything that is due.
    void deliver(clock::time_point now);

    // Either side names processes or failure domains; an empty one means everything else.
    void cut(const std::set<std::string>& first_side, const std::set<std::string>& second_side);
    void heal() { cuts_.clear(); }
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;

    void freeze(const std::string& process, clock::time_point until);
    void stop(const std::string& process);
    void start(const std::string& process);
    [[nodiscard]] bool is_running(const std::string& process, clock::time_point now) const;
    [[nodiscard]] const std::string& failure_domain(const std::string& process) const;

  private:
    struct process_state {
        std::string failure_domain;
        std::uint64_t incarnation = 1;
        bool is_stopped = false;
        clock::time_point frozen_until{};
    };

    struct message {
        clock::time_point due;
        std::uint64_t number = 0;
        std::string from;
        std::string to;
        std::uint64_t incarnation = 0; // of the receiver
        delivery deliver;
    };

    struct is_due_later {
        bool operator()(const message& left, const message& right) const
        {
            return left.due != right.due ? left.due > right.due : left.number > right.number;
        }
    };

    struct cut_link {
        std::set<std::string> first_side;
        std::set<std::string> second_side;
    };

    [[nodiscard]] bool is_on_side(const std::set<std::string>& side,
                                  const std::string& process) const;
    [[nodiscard]] bool separates(const cut_link& link, const std::string& from,
                                 const std::string& to) const;

    std::mt19937_64 random_;
    std::map<std::string, process_state> processes_;
    std::vector<cut_link> cuts_;
    std::priority_queue<message, std::vector<message>, is_due_later> queue_;
    std::uint64_t next_number_ = 0;
};

} // namespace primrosehead::scenario
