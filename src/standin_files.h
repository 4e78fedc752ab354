// The stand-in's data folder: its promised term and its log.
#pragma once

#include "standin_storage.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace primrosehead::standin {

// A promise is synced before the call returns. Log lines reach the operating system, so that they
// outlive the process.
class file_storage final : public storage {
  public:
    struct contents {
        std::uint64_t term = 0;
        std::vector<log_entry> entries;
    };

    // Opens or makes the folder and reads what it holds. A torn last line is dropped.
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
