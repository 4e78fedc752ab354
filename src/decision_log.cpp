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

json::object to_json_object(const decision& entry)
{
    return json::object{{"request", entry.request},
                        {"at_ms", entry.at_ms},
                        {"part", entry.part},
                        {"choice", entry.choice},
                        {"reason", entry.reason}};
}

} // namespace

struct decision_log::implementation {
    explicit implementation(std::size_t capacity) : ring(capacity) {}

    void write_line(const decision& entry);

    mutable std::mutex mutex;
    decision_ring ring;
    std::ofstream file;
    std::atomic<std::uint64_t> failed_writes{0};
};

void decision_log::implementation::write_line(const decision& entry)
{
    if (!file.is_open()) {
        return;
    }
    file << to_json(entry) << '\n';
    if (!file.flush()) {
        failed_writes.fetch_add(1, std::memory_order_relaxed);
        file.clear();
    }
}

decision_log::decision_log(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}

decision_log::~decision_log() = default;

result<std::unique_ptr<decision_log>> decision_log::open(std::string_view file,
                                                         std::size_t capacity)
{
    auto impl = std::make_unique<implementation>(capacity);
    if (!file.empty()) {
        impl->file.open(std::string(file), std::ios::app);
        if (!impl->file) {
            return error{error_kind::bad_settings,
                         "Can't open the decision log file " + std::string(file) + ": " +
                             std::strerror(errno) + ".",
                         "Set $.decision_log to a file that this user can write.", ran::no,
                         clock::duration::zero()};
        }
    }
    return std::unique_ptr<decision_log>(new decision_log(std::move(impl)));
}

void decision_log::record(decision entry)
{
    spdlog::info("{}: {} {}. {}", entry.part, entry.request, entry.choice, entry.reason);
    const std::lock_guard lock(impl_->mutex);
    impl_->write_line(entry);
    impl_->ring.push(std::move(entry));
}

std::vector<decision> decision_log::find(std::string_view request) const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->ring.find(request);
}

std::uint64_t decision_log::failed_writes() const noexcept
{
    return impl_->failed_writes.load(std::memory_order_relaxed);
}

std::string to_json(const decision& entry)
{
    return json::serialize(to_json_object(entry));
}

std::string to_json(const std::vector<decision>& decisions)
{
    json::array objects;
    for (const decision& entry : decisions) {
        objects.push_back(to_json_object(entry));
    }
    return json::serialize(objects);
}

} // namespace primrosehead
