// Carries out the steps of one scenario.
#pragma once

#include "scenario_script.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace primrosehead::scenario {

class runner {
  public:
    runner(std::uint64_t seed, const safeguards& enabled) : world_(seed, enabled) {}

    void run(const script_step& step);
    [[nodiscard]] outcome finish();

  private:
    using arguments = std::span<const std::string>;

    // Each returns false for a step that it doesn't understand.
    bool set_up(const std::string& verb, arguments args);
    bool inject_fault(const std::string& verb, arguments args);
    bool start_traffic(const std::string& verb, arguments args);
    bool send_command(const std::string& verb, arguments args);
    bool expect(arguments args);
    bool expect_group(arguments args);
    bool expect_control(arguments args);
    bool expect_answer(arguments args);
    bool expect_callers(arguments args);

    void deploy();
    void wait_for_answer(const std::string& request);
    void check(bool is_met, const std::string& seen);

    // A process by name, alias, "leader" or "primary-of:DATABASE".
    [[nodiscard]] std::string resolve(const std::string& word);
    [[nodiscard]] std::set<std::string> resolve_list(const std::string& list);

    world world_;
    std::map<std::string, std::string> aliases_;
    clock::time_point marked_at_{};
    std::uint32_t line_ = 0;
    std::vector<std::string> failures_;
};

} // namespace primrosehead::scenario
