// Where the stand-in keeps its promise of a term and its log.
#pragma once

#include "standin_log.h"

#include <cstdint>

namespace primrosehead::standin {

// Each call returns once the change is kept.
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

// Keeps nothing over the end of the process.
class memory_storage final : public storage {
  public:
    void save_term(std::uint64_t /*term*/) override {}
    void append_entry(const log_entry& /*entry*/) override {}
    void truncate_after(std::uint64_t /*index*/) override {}
};

} // namespace primrosehead::standin
