#include "standin_record.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <sstream>

namespace primrosehead::standin {

namespace {

constexpr std::size_t most_lines_in_memory = 200'000;

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

std::uint64_t execution_record::received(const http::request& request, std::string_view from,
                                         std::uint64_t connection)
{
    const std::uint64_t number = next_++;
    boost::json::array headers;
    for (const http::header& each : request.headers) {
        headers.push_back(boost::json::array{each.name, each.value});
    }
    keep(boost::json::serialize(boost::json::object{{"n", number},
                                                    {"at_us", now_us()},
                                                    {"from", from},
                                                    {"connection", connection},
                                                    {"method", request.method},
                                                    {"target", request.target},
                                                    {"headers", std::move(headers)},
                                                    {"body", request.body}}));
    return number;
}

void execution_record::executed(std::uint64_t number, const execution& what)
{
    keep(boost::json::serialize(boost::json::object{{"n", number},
                                                    {"at_us", now_us()},
                                                    {"id", what.id},
                                                    {"transaction", what.transaction},
                                                    {"changed", what.changed},
                                                    {"term", what.term},
                                                    {"index", what.index},
                                                    {"status", what.status}}));
}

void execution_record::keep(std::string line)
{
    line += '\n';
    if (file_.is_open()) {
        file_ << line << std::flush;
        return;
    }
    lines_.push_back(std::move(line));
    if (lines_.size() > most_lines_in_memory) {
        lines_.pop_front();
    }
}

std::string execution_record::text() const
{
    if (file_.is_open()) {
        std::ostringstream whole;
        whole << std::ifstream(path_).rdbuf();
        return whole.str();
    }
    std::string whole;
    for (const std::string& line : lines_) {
        whole += line;
    }
    return whole;
}

} // namespace primrosehead::standin
