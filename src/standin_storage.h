// Interface of the storage for the promised term and the log.
#pragma once

#include "standin_log.h"

#include <cstdint>

namespace primrosehead::standin {

// Each call returns once the change is stored.
class storage {
  public:
    storage() = default;
    virtual ~storage() = default;
    storage(const storage&) = delete;
    storage& operator=(const storage&) = delete;

    virtual void save_term(std::uint64_t term) = 0;
    virtual void append_entry(const log_entry& entry) = 0;
    virtual void truncate_after(std::uint64_t index) = 0;
};

// Stores nothing: the state is lost when the process ends.
class memory_storage final : public storage {
  public:
    void save_term(std::uint64_t /*term*/) override {}
    void append_entry(const log_entry& /*entry*/) override {}
    void truncate_after(std::uint64_t /*index*/) override {}
};

} // namespace primrosehead::standin
