// Processes a caller's request: authentication, authorisation, admission, routing, retries and the
// confirmation of writes.
#pragma once

#include "entry_request.h"
#include "entry_view.h"
#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/http.h>
#include <primrosehead/retry.h>
#include <primrosehead/session.h>
#include <primrosehead/settings.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace primrosehead {

class decision_log;
class entry_allowances;
class entry_follower;
class entry_metrics;
class gateway;

// State of one request in progress.
struct call_context {
    std::string request_id;
    stage target_stage = stage::production;
    route_settings route;
    policy_settings policy;
    enum durability durability = durability::replica;
    organisation_name organisation;
    std::uint32_t weight = 1;
    group_term group;
    session caller_session;
    log_position min_position;
    clock::duration max_age{0};
    clock::time_point deadline;
    std::string idempotency_id;
};

class entry_pipeline {
  public:
    entry_pipeline(const entry_settings& settings, std::uint64_t incarnation,
                   std::shared_ptr<gateway> servers, entry_follower& follower,
                   entry_allowances& allowances, decision_log& decisions, entry_metrics& metrics);

    [[nodiscard]] boost::asio::awaitable<http::response> handle(const http::request& received);

  private:
    using reply_result = result<pb::backend_reply>;

    boost::asio::awaitable<http::response> dispatch(const http::request& received,
                                                    const std::string& request_id);
    boost::asio::awaitable<http::response> run_statement(const http::request& received,
                                                         const std::string& request_id);
    boost::asio::awaitable<http::response> begin(const http::request& received,
                                                 const std::string& request_id);
    boost::asio::awaitable<http::response> run_in_transaction(const http::request& received,
                                                              const call_target& target,
                                                              const std::string& request_id);

    // Authenticates and authorises the request and reads its session. Takes no rate-limit tokens.
    [[nodiscard]] result<call_context> prepare(const http::request& received,
                                               const caller_request& parsed_request,
                                               const std::string& request_id) const;
    [[nodiscard]] status authorise(const http::request& received, const entry_view& view,
                                   call_context& call) const;
    [[nodiscard]] status read_session(const http::request& received, call_context& call) const;
    // Fills in the fields that all backend requests of `call` share.
    [[nodiscard]] pb::backend_request make_backend_request(const call_context& call) const;
    boost::asio::awaitable<status> admit(const call_context& call);

    // Adds a decision to the decision log, where `explain` finds it.
    void record_decision(const std::string& request_id, std::string_view part, std::string choice,
                         std::string reason);
    [[nodiscard]] http::response reject(const error& failure, const std::string& request_id);

    boost::asio::awaitable<reply_result> run_once(const call_context& call,
                                                  const pb::backend_request& request);
    boost::asio::awaitable<reply_result> run_hedged(const call_context& call,
                                                    const pb::backend_request& request,
                                                    std::vector<server_name>& tried);
    boost::asio::awaitable<reply_result> run_with_retries(call_context& call,
                                                          pb::backend_request& request);
    [[nodiscard]] result<std::string> choose_server(const call_context& call,
                                                    const std::vector<server_name>& tried);
    boost::asio::awaitable<status> confirm_write(const call_context& call, std::uint64_t term);
    boost::asio::awaitable<http::response> finish(call_context& call, const reply_result& outcome,
                                                  bool needs_confirmation,
                                                  const std::string& transaction);
    [[nodiscard]] retry_decision decide_next_attempt(const call_context& call, const error& failed,
                                                     std::uint32_t attempts);
    [[nodiscard]] result<pb::transaction_ticket> verify_ticket(const http::request& received,
                                                               std::string_view token) const;
    [[nodiscard]] std::string next_request_id();

    const entry_settings& settings_;
    std::uint64_t incarnation_;
    std::shared_ptr<gateway> servers_;
    entry_follower& follower_;
    entry_allowances& allowances_;
    decision_log& decisions_;
    entry_metrics& metrics_;
    std::atomic<std::uint64_t> next_request_ = 1;
    std::mutex budget_guard_;
    retry_budget budget_;
};

} // namespace primrosehead
