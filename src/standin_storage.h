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

    virtual void promised(std::uint64_t term) = 0;
    virtual void appended(const log_entry& entry) = 0;
    virtual void truncated_after(std::uint64_t index) = 0;
};

// Keeps nothing over the end of the process.
class memory_storage final : public storage {
  public:
    void promised(std::uint64_t /*term*/) override {}
    void appended(const log_entry& /*entry*/) override {}
    void truncated_after(std::uint64_t /*index*/) override {}
};

} // namespace primrosehead::standin
