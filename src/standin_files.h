// The stand-in's data folder, which stores the promised term and the log.
#pragma once

#include "standin_storage.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace primrosehead::standin {

// The promised term is synced to disk before the call returns. Log lines are flushed to the
// operating system, so they survive the end of the process but not a crash of the machine.
class file_storage final : public storage {
  public:
    struct contents {
        std::uint64_t term = 0;
        std::vector<log_entry> entries;
    };

    // Opens or creates the folder and loads its contents. An incomplete last line is discarded.
    // Fails with `error_kind::storage_failed` if the folder cannot be created, and with
    // `error_kind::corrupt_storage` or `error_kind::bad_request` if the log has an invalid line.
    [[nodiscard]] static result<std::unique_ptr<file_storage>> open(const std::string& folder);

    [[nodiscard]] contents take_contents() { return std::move(contents_); }

    void save_term(std::uint64_t term) override;
    void append_entry(const log_entry& entry) override;
    void truncate_after(std::uint64_t index) override;

  private:
    explicit file_storage(std::string folder) : folder_(std::move(folder)) {}
    [[nodiscard]] status load();
    void rewrite_log(std::size_t valid_bytes);

    std::string folder_;
    std::ofstream log_;
    contents contents_;
};

} // namespace primrosehead::standin
