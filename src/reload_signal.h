// Calls back at every SIGHUP.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>

namespace primrosehead {

class reload_signal {
  public:
    reload_signal(const boost::asio::any_io_executor& executor, std::function<void()> on_reload);
    ~reload_signal() = default;
    reload_signal(const reload_signal&) = delete;
    reload_signal& operator=(const reload_signal&) = delete;

  private:
    void wait();

    boost::asio::signal_set signals_;
    std::function<void()> on_reload_;
};

} // namespace primrosehead
