// Read-copy-update: a value that threads read without a lock while they serve requests, and that is
// replaced as a whole. Uses the membarrier flavour of liburcu.
#pragma once

#include <urcu/urcu-memb.h>

#include <memory>
#include <utility>

namespace primrosehead {

// Registers a thread with liburcu for the lifetime of the object.
class rcu_thread_registration {
  public:
    rcu_thread_registration() { urcu_memb_register_thread(); }
    ~rcu_thread_registration() { urcu_memb_unregister_thread(); }
    rcu_thread_registration(const rcu_thread_registration&) = delete;
    rcu_thread_registration& operator=(const rcu_thread_registration&) = delete;

    // Registers the calling thread until it ends, unless it is registered.
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
    explicit rcu_cell(std::unique_ptr<Value> initial) : current_(initial.release()) {}
    ~rcu_cell() { delete current_; }
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    // Calls `use` with the current value, which does not change during the call.
    template <class Use>
    decltype(auto) read(Use&& use) const
    {
        rcu_thread_registration::ensure();
        const read_section section;
        const Value& current = *rcu_dereference(current_);
        return std::forward<Use>(use)(current);
    }

    // Replaces the value and waits until no reader uses the previous one. Calls must not overlap.
    void publish(std::unique_ptr<Value> next)
    {
        rcu_thread_registration::ensure();
        Value* const previous = rcu_xchg_pointer(&current_, next.release());
        urcu_memb_synchronize_rcu();
        delete previous;
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
