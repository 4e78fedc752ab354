#include "gateway_context.h"

#include <utility>

namespace primrosehead {

void transaction_registry::insert(std::uint64_t number, std::shared_ptr<gateway_server> server)
{
    const std::lock_guard lock(mutex_);
    servers_.emplace(number, std::move(server));
}

void transaction_registry::erase(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    servers_.erase(number);
}

void transaction_registry::clear()
{
    std::unordered_map<std::uint64_t, std::shared_ptr<gateway_server>> dropped;
    const std::lock_guard lock(mutex_);
    servers_.swap(dropped);
}

std::shared_ptr<gateway_server> transaction_registry::find(std::uint64_t number) const
{
    const std::lock_guard lock(mutex_);
    const auto found = servers_.find(number);
    return found == servers_.end() ? nullptr : found->second;
}

bool transaction_registry::is_empty() const
{
    const std::lock_guard lock(mutex_);
    return servers_.empty();
}

} // namespace primrosehead
