// The stand-in's execution record: every received request in full, and its outcome.
#pragma once

#include <primrosehead/http.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <string>
#include <string_view>

namespace primrosehead::standin {

// Effect of a request on the database.
struct execution {
    std::string id;
    std::string transaction;
    bool changed = false; // this request appended a log entry
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    unsigned status = 0;
};

// Writes one JSON line when a request is received and one when it has been executed. Each line is
// flushed to the file at once, so that it survives a kill of the process. Without a file, the
// newest lines are kept in memory.
class execution_record {
  public:
    // An empty path keeps the record in memory only.
    explicit execution_record(const std::string& path);

    // Returns the number that identifies the request in the record.
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
