#include <primrosehead/lease.h>

#include <algorithm>

namespace primrosehead {

void lease_holder::renew(clock::time_point sent_at, clock::duration lease) noexcept
{
    expires_at_ = std::max(expires_at_, sent_at + lease);
}

bool lease_holder::is_valid(clock::time_point now) const noexcept
{
    return now < expires_at_;
}

} // namespace primrosehead
