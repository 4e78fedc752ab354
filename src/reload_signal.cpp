#include "reload_signal.h"

#include <csignal>
#include <utility>

namespace primrosehead {

reload_signal::reload_signal(const boost::asio::any_io_executor& executor,
                             std::function<void()> on_reload)
    : signals_(executor, SIGHUP), on_reload_(std::move(on_reload))
{
    wait();
}

void reload_signal::wait()
{
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) {
            on_reload_();
            wait();
        }
    });
}

} // namespace primrosehead
