#include "reload_signal.h"

#include <csignal>
#include <utility>

namespace primrosehead {

reload_signal::reload_signal(const boost::asio::any_io_executor& executor,
                             std::function<void()> reload)
    : signals_(executor, SIGHUP), reload_(std::move(reload))
{
    wait();
}

void reload_signal::wait()
{
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
        if (!failed) {
            reload_();
            wait();
        }
    });
}

} // namespace primrosehead
