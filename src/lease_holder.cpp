#include <primrosehead/lease.h>

#include <algorithm>

namespace primrosehead {

void lease_holder::renewed(clock::time_point asked_at, clock::duration lease) noexcept
{
    expires_at_ = std::max(expires_at_, asked_at + lease);
}

bool lease_holder::holds(clock::time_point now) const noexcept
{
    return now < expires_at_;
}

} // namespace primrosehead
