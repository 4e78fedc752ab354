#include "standin_record.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <sstream>

namespace primrosehead::standin {

namespace {

constexpr std::size_t max_lines_in_memory = 200'000;

std::int64_t now_us()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

} // namespace

execution_record::execution_record(const std::string& path) : path_(path)
{
    if (!path_.empty()) {
        file_.open(path_, std::ios::app);
    }
}

std::uint64_t execution_record::add_received(const http::request& request, std::string_view from,
                                             std::uint64_t connection)
{
    const std::uint64_t number = next_number_++;
    boost::json::array headers;
    for (const http::header& each : request.headers) {
        headers.push_back(boost::json::array{each.name, each.value});
    }
    append_line(boost::json::serialize(boost::json::object{{"n", number},
                                                           {"at_us", now_us()},
                                                           {"from", from},
                                                           {"connection", connection},
                                                           {"method", request.method},
                                                           {"target", request.target},
                                                           {"headers", std::move(headers)},
                                                           {"body", request.body}}));
    return number;
}

void execution_record::add_executed(std::uint64_t number, const execution& effect)
{
    append_line(boost::json::serialize(boost::json::object{{"n", number},
                                                           {"at_us", now_us()},
                                                           {"id", effect.id},
                                                           {"transaction", effect.transaction},
                                                           {"changed", effect.changed},
                                                           {"term", effect.term},
                                                           {"index", effect.index},
                                                           {"status", effect.status}}));
}

void execution_record::append_line(std::string line)
{
    line += '\n';
    if (file_.is_open()) {
        file_ << line << std::flush;
        return;
    }
    lines_.push_back(std::move(line));
    if (lines_.size() > max_lines_in_memory) {
        lines_.pop_front();
    }
}

std::string execution_record::text() const
{
    if (file_.is_open()) {
        std::ostringstream contents;
        contents << std::ifstream(path_).rdbuf();
        return contents.str();
    }
    std::string contents;
    for (const std::string& line : lines_) {
        contents += line;
    }
    return contents;
}

} // namespace primrosehead::standin
