// Read-copy-update: a value that many threads read on the path of a request without a lock and that
// is replaced whole. Over liburcu's membarrier flavour.
#pragma once

#include <urcu/urcu-memb.h>

#include <memory>
#include <utility>

namespace primrosehead {

// Registers the calling thread with liburcu until it ends.
class rcu_thread_registration {
  public:
    rcu_thread_registration() { urcu_memb_register_thread(); }
    ~rcu_thread_registration() { urcu_memb_unregister_thread(); }
    rcu_thread_registration(const rcu_thread_registration&) = delete;
    rcu_thread_registration& operator=(const rcu_thread_registration&) = delete;

    static void ensure()
    {
        thread_local const rcu_thread_registration registration;
        (void)registration;
    }
};

// Holds one published value. A reader must not suspend a coroutine inside `read`.
template <class Value>
class rcu_cell {
  public:
    explicit rcu_cell(std::unique_ptr<Value> first) : current_(first.release()) {}
    ~rcu_cell() { delete current_; }
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    // Calls `use` with the present value, which stays unchanged for the length of the call.
    template <class Use>
    decltype(auto) read(Use&& use) const
    {
        rcu_thread_registration::ensure();
        const read_section section;
        const Value& current = *rcu_dereference(current_);
        return std::forward<Use>(use)(current);
    }

    // Replaces the value and waits until no reader uses the old one. One publisher at a time.
    void publish(std::unique_ptr<Value> next)
    {
        rcu_thread_registration::ensure();
        Value* const old = rcu_xchg_pointer(&current_, next.release());
        urcu_memb_synchronize_rcu();
        delete old;
    }

  private:
    struct read_section {
        read_section() { urcu_memb_read_lock(); }
        ~read_section() { urcu_memb_read_unlock(); }
        read_section(const read_section&) = delete;
        read_section& operator=(const read_section&) = delete;
    };

    Value* current_;
};

} // namespace primrosehead
