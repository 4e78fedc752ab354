#include "gateway_context.h"

#include <utility>

namespace primrosehead {

void transaction_index::insert(std::uint64_t number, std::shared_ptr<gateway_server> server)
{
    const std::lock_guard lock(guard_);
    servers_.emplace(number, std::move(server));
}

void transaction_index::erase(std::uint64_t number)
{
    const std::lock_guard lock(guard_);
    servers_.erase(number);
}

void transaction_index::clear()
{
    std::unordered_map<std::uint64_t, std::shared_ptr<gateway_server>> dropped;
    const std::lock_guard lock(guard_);
    servers_.swap(dropped);
}

std::shared_ptr<gateway_server> transaction_index::find(std::uint64_t number) const
{
    const std::lock_guard lock(guard_);
    const auto found = servers_.find(number);
    return found == servers_.end() ? nullptr : found->second;
}

bool transaction_index::is_empty() const
{
    const std::lock_guard lock(guard_);
    return servers_.empty();
}

} // namespace primrosehead
