#include "decision_log_ring.h"

#include <primrosehead/decision_log.h>

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <mutex>
#include <utility>

namespace primrosehead {

namespace json = boost::json;

namespace {

json::object to_object(const decision& made)
{
    return json::object{{"request", made.request},
                        {"at_ms", made.at_ms},
                        {"part", made.part},
                        {"choice", made.choice},
                        {"reason", made.reason}};
}

} // namespace

struct decision_log::implementation {
    explicit implementation(std::size_t capacity) : kept(capacity) {}

    void write_line(const decision& made);

    mutable std::mutex guard;
    decision_ring kept;
    std::ofstream file;
    std::atomic<std::uint64_t> failed_writes{0};
};

void decision_log::implementation::write_line(const decision& made)
{
    if (!file.is_open()) {
        return;
    }
    file << to_json(made) << '\n';
    if (!file.flush()) {
        failed_writes.fetch_add(1, std::memory_order_relaxed);
        file.clear();
    }
}

decision_log::decision_log(std::unique_ptr<implementation> body) : body_(std::move(body)) {}

decision_log::~decision_log() = default;

result<std::unique_ptr<decision_log>> decision_log::open(std::string_view file,
                                                         std::size_t capacity)
{
    auto body = std::make_unique<implementation>(capacity);
    if (!file.empty()) {
        body->file.open(std::string(file), std::ios::app);
        if (!body->file) {
            return error{error_kind::bad_settings,
                         "Can't open the decision log " + std::string(file) + ": " +
                             std::strerror(errno) + ".",
                         "Set $.decision_log to a file that this user may write.", ran::no,
                         clock::duration::zero()};
        }
    }
    return std::unique_ptr<decision_log>(new decision_log(std::move(body)));
}

void decision_log::record(decision made)
{
    spdlog::info("{}: {} {}. {}", made.part, made.request, made.choice, made.reason);
    const std::lock_guard lock(body_->guard);
    body_->write_line(made);
    body_->kept.push(std::move(made));
}

std::vector<decision> decision_log::find(std::string_view request) const
{
    const std::lock_guard lock(body_->guard);
    return body_->kept.find(request);
}

std::uint64_t decision_log::failed_writes() const noexcept
{
    return body_->failed_writes.load(std::memory_order_relaxed);
}

std::string to_json(const decision& made)
{
    return json::serialize(to_object(made));
}

std::string to_json(const std::vector<decision>& made)
{
    json::array all;
    for (const decision& one : made) {
        all.push_back(to_object(one));
    }
    return json::serialize(all);
}

} // namespace primrosehead
