// The home's side: runs the operations that origins pass to this instance, in the order of each
// server's queue, on connections of this instance's pool. Single-threaded.
#pragma once

#include "admission_queue.h"
#include "pooler_context.h"
#include "pooler_home_ledger.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace primrosehead::pb {
enum home_result : int;
class envelope;
class home_reply;
class home_request;
} // namespace primrosehead::pb

namespace primrosehead::pooler {

class home_server {
  public:
    using replier = std::function<void(const bus_origin& origin, const pb::envelope& message)>;
    using completion = std::function<void(const pb::home_reply& reply)>;

    home_server(context& ctx, std::string cell, std::string instance);
    ~home_server();
    home_server(const home_server&) = delete;
    home_server& operator=(const home_server&) = delete;

    void set_replier(replier reply) { reply_ = std::move(reply); }

    // Handles a request of another instance.
    void receive(const bus_origin& origin, const std::string& from, const pb::home_request& request,
                 clock::time_point now);

    // Handles a request of this instance, which takes the same queue.
    void submit_local(const pb::home_request& request, completion done);

    // Sends progress, removes expired work and rolls back abandoned transactions. To be called
    // about every 25 ms.
    void tick(clock::time_point now);

    // Refuses operations that have not begun; open transactions continue.
    void begin_leaving() noexcept { is_leaving_ = true; }
    void roll_back_all();
    [[nodiscard]] bool has_work() const noexcept { return !tasks_.empty() || !open_.empty(); }

  private:
    struct task;
    struct open_transaction;
    struct server_queue;
    struct origin_link {
        bus_origin address; // of its latest message
        std::uint64_t incarnation = 0;
    };

    void submit(const std::string& from, const pb::home_request& request, completion done,
                clock::time_point now);
    [[nodiscard]] bool accept(const std::string& from, const pb::home_request& request,
                              const completion& done, clock::time_point now);
    [[nodiscard]] bool accept_step(const std::string& from, const pb::home_request& request,
                                   const completion& done, clock::time_point now);
    void refuse(const std::string& from, const pb::home_request& request, const completion& done,
                pb::home_result result, std::string_view reason);
    void start(const std::string& from, const pb::home_request& request, completion done,
               clock::time_point now);
    boost::asio::awaitable<void> run_task(std::shared_ptr<task> work);
    boost::asio::awaitable<bool> await_turn(task& work);
    boost::asio::awaitable<void> run_statement(task& work, pb::home_reply& reply);
    boost::asio::awaitable<void> run_single(task& work, pb::home_reply& reply);
    boost::asio::awaitable<void> run_step(task& work, pb::home_reply& reply);
    void finish(task& work, pb::home_reply& reply);
    void refuse_task(const admission::refusal& refused);
    void dispatch(server_queue& queue);
    void cancel(const std::string& from, const pb::home_request& request);
    void roll_back(const home_handle& handle, std::string_view reason);
    void send_progress(clock::time_point now);

    context& context_;
    std::string cell_;
    std::string instance_;
    replier reply_;
    home_ledger ledger_;
    std::map<std::string, origin_link, std::less<>> links_;
    std::map<std::string, server_queue, std::less<>> queues_; // by server
    std::map<std::uint64_t, std::shared_ptr<task>> tasks_;    // by id in the queue
    std::map<home_handle, std::shared_ptr<open_transaction>> open_;
    std::uint64_t last_task_ = 0;
    std::uint64_t served_ = 0;
    clock::time_point progress_sent_at_{};
    clock::time_point expired_at_{};
    bool is_leaving_ = false;
};

} // namespace primrosehead::pooler
