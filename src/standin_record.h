// The stand-in's execution record: every request it received, whole, and what became of it.
#pragma once

#include <primrosehead/http.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <string>
#include <string_view>

namespace primrosehead::standin {

// What a request did to the database.
struct execution {
    std::string id;
    std::string transaction;
    bool changed = false; // a write or commit of its own went into the log
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    unsigned status = 0;
};

// One JSON line when a request comes in and one when it was executed. Lines go to a file at once,
// so that they outlive a kill; without a file the newest are kept in memory.
class execution_record {
  public:
    // An empty path: memory only.
    explicit execution_record(const std::string& path);

    // Returns the request's number in the record.
    std::uint64_t add_received(const http::request& request, std::string_view from,
                               std::uint64_t connection);
    void add_executed(std::uint64_t number, const execution& effect);

    [[nodiscard]] std::string text() const;

  private:
    void append_line(std::string line);

    std::string path_;
    std::ofstream file_;
    std::deque<std::string> lines_;
    std::uint64_t next_number_ = 1;
};

} // namespace primrosehead::standin
