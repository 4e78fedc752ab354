#include "lab_json.h"

#include <boost/json/stream_parser.hpp>

#include <algorithm>

namespace primrosehead::lab {

namespace {

error bad_settings(const std::string& path, std::string_view expected)
{
    return error{error_kind::bad_settings, path + ": expected " + std::string(expected) + ".",
                 "Correct this member; --help names the page that describes the file."};
}

std::optional<double> as_number(const boost::json::value& source)
{
    if (!source.is_number()) {
        return std::nullopt;
    }
    return source.to_number<double>();
}

} // namespace

object_reader::object_reader(const boost::json::value& source, std::string path)
    : members_(source.if_object()), path_(std::move(path))
{
    if (members_ == nullptr) {
        fault_ = bad_settings(path_, "an object");
    }
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_ + "." + std::string(key);
}

void object_reader::fault(std::string_view key, std::string_view expected)
{
    if (!fault_) {
        fault_ = bad_settings(path_of(key), expected);
    }
}

const boost::json::value* object_reader::take(std::string_view key)
{
    asked_.emplace_back(key);
    return members_ == nullptr ? nullptr : members_->if_contains(key);
}

const boost::json::value* object_reader::any(std::string_view key)
{
    return take(key);
}

std::string object_reader::text(std::string_view key, std::optional<std::string_view> fallback)
{
    const boost::json::value* found = take(key);
    if (found == nullptr && fallback) {
        return std::string(*fallback);
    }
    if (found == nullptr || !found->is_string()) {
        fault(key, "a text");
        return {};
    }
    return std::string(found->get_string());
}

std::int64_t object_reader::integer(std::string_view key, std::int64_t low, std::int64_t high,
                                    std::optional<std::int64_t> fallback)
{
    const boost::json::value* found = take(key);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    const std::int64_t* number = found == nullptr ? nullptr : found->if_int64();
    if (number == nullptr || *number < low || *number > high) {
        fault(key, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return *number;
}

double object_reader::number(std::string_view key, double low, double high,
                             std::optional<double> fallback)
{
    const boost::json::value* found = take(key);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    const std::optional<double> read = found == nullptr ? std::nullopt : as_number(*found);
    if (!read || *read < low || *read > high) {
        fault(key, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return *read;
}

bool object_reader::boolean(std::string_view key, bool fallback)
{
    const boost::json::value* found = take(key);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        fault(key, "true or false");
        return fallback;
    }
    return found->get_bool();
}

std::vector<std::string> object_reader::texts(std::string_view key)
{
    std::vector<std::string> read;
    const boost::json::value* found = take(key);
    if (found == nullptr) {
        return read;
    }
    const boost::json::array* list = found->if_array();
    if (list == nullptr) {
        fault(key, "a list of texts");
        return read;
    }
    for (const boost::json::value& each : *list) {
        if (!each.is_string()) {
            fault(key, "a list of texts");
            return read;
        }
        read.emplace_back(each.get_string());
    }
    return read;
}

void object_reader::objects(std::string_view key, const std::function<void(object_reader&)>& read)
{
    const boost::json::value* found = take(key);
    if (found == nullptr) {
        return;
    }
    const boost::json::array* list = found->if_array();
    if (list == nullptr) {
        fault(key, "a list of objects");
        return;
    }
    for (std::size_t place = 0; place < list->size(); ++place) {
        object_reader part((*list)[place], path_of(key) + "[" + std::to_string(place) + "]");
        read(part);
        const status checked = part.finish();
        if (!ok(checked) && !fault_) {
            fault_ = failure(checked);
        }
    }
}

status object_reader::finish()
{
    if (fault_) {
        return *fault_;
    }
    for (const auto& member : *members_) {
        if (std::find(asked_.begin(), asked_.end(), std::string_view(member.key())) ==
            asked_.end()) {
            return bad_settings(path_of(member.key()), "no such member");
        }
    }
    return std::monostate{};
}

result<boost::json::value> parse_json(std::string_view text)
{
    boost::json::stream_parser parser;
    boost::system::error_code failed;
    const std::size_t used = parser.write_some(text.data(), text.size(), failed);
    if (!failed) {
        parser.finish(failed);
    }
    if (failed) {
        return error{error_kind::bad_settings,
                     "Not JSON at byte " + std::to_string(used) + ": " + failed.message() + ".",
                     "Correct the file there."};
    }
    const std::size_t rest = text.find_first_not_of(" \t\r\n", used);
    if (rest != std::string_view::npos) {
        return error{error_kind::bad_settings,
                     "Text after the JSON value at byte " + std::to_string(rest) + ".",
                     "Remove it."};
    }
    return parser.release();
}

} // namespace primrosehead::lab
