#include "lab_json.h"

#include <boost/json/stream_parser.hpp>

#include <algorithm>

namespace primrosehead::lab {

namespace {

error invalid_member(const std::string& path, std::string_view expected)
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
        error_ = invalid_member(path_, "an object");
    }
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_ + "." + std::string(key);
}

void object_reader::set_error(std::string_view key, std::string_view expected)
{
    if (!error_) {
        error_ = invalid_member(path_of(key), expected);
    }
}

const boost::json::value* object_reader::find_member(std::string_view key)
{
    known_keys_.emplace_back(key);
    return members_ == nullptr ? nullptr : members_->if_contains(key);
}

const boost::json::value* object_reader::find(std::string_view key)
{
    return find_member(key);
}

std::string object_reader::string(std::string_view key, std::optional<std::string_view> fallback)
{
    const boost::json::value* found = find_member(key);
    if (found == nullptr && fallback) {
        return std::string(*fallback);
    }
    if (found == nullptr || !found->is_string()) {
        set_error(key, "a text");
        return {};
    }
    return std::string(found->get_string());
}

std::int64_t object_reader::integer(std::string_view key, std::int64_t low, std::int64_t high,
                                    std::optional<std::int64_t> fallback)
{
    const boost::json::value* found = find_member(key);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    const std::int64_t* number = found == nullptr ? nullptr : found->if_int64();
    if (number == nullptr || *number < low || *number > high) {
        set_error(key,
                  "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return *number;
}

double object_reader::number(std::string_view key, double low, double high,
                             std::optional<double> fallback)
{
    const boost::json::value* found = find_member(key);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    const std::optional<double> read = found == nullptr ? std::nullopt : as_number(*found);
    if (!read || *read < low || *read > high) {
        set_error(key, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return *read;
}

bool object_reader::boolean(std::string_view key, bool fallback)
{
    const boost::json::value* found = find_member(key);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        set_error(key, "true or false");
        return fallback;
    }
    return found->get_bool();
}

std::vector<std::string> object_reader::strings(std::string_view key)
{
    std::vector<std::string> read;
    const boost::json::value* found = find_member(key);
    if (found == nullptr) {
        return read;
    }
    const boost::json::array* list = found->if_array();
    if (list == nullptr) {
        set_error(key, "a list of texts");
        return read;
    }
    for (const boost::json::value& item : *list) {
        if (!item.is_string()) {
            set_error(key, "a list of texts");
            return read;
        }
        read.emplace_back(item.get_string());
    }
    return read;
}

void object_reader::objects(std::string_view key, const std::function<void(object_reader&)>& read)
{
    const boost::json::value* found = find_member(key);
    if (found == nullptr) {
        return;
    }
    const boost::json::array* list = found->if_array();
    if (list == nullptr) {
        set_error(key, "a list of objects");
        return;
    }
    for (std::size_t index = 0; index < list->size(); ++index) {
        object_reader part((*list)[index], path_of(key) + "[" + std::to_string(index) + "]");
        read(part);
        const status part_status = part.finish();
        if (!ok(part_status) && !error_) {
            error_ = failure(part_status);
        }
    }
}

status object_reader::finish()
{
    if (error_) {
        return *error_;
    }
    for (const auto& member : *members_) {
        if (std::find(known_keys_.begin(), known_keys_.end(), std::string_view(member.key())) ==
            known_keys_.end()) {
            return invalid_member(path_of(member.key()), "no such member");
        }
    }
    return std::monostate{};
}

result<boost::json::value> parse_json(std::string_view text)
{
    boost::json::stream_parser parser;
    boost::system::error_code ec;
    const std::size_t parsed_bytes = parser.write_some(text.data(), text.size(), ec);
    if (!ec) {
        parser.finish(ec);
    }
    if (ec) {
        return error{error_kind::bad_settings,
                     "Not JSON at byte " + std::to_string(parsed_bytes) + ": " + ec.message() + ".",
                     "Correct the file there."};
    }
    const std::size_t trailing = text.find_first_not_of(" \t\r\n", parsed_bytes);
    if (trailing != std::string_view::npos) {
        return error{error_kind::bad_settings,
                     "Text after the JSON value at byte " + std::to_string(trailing) + ".",
                     "Remove it."};
    }
    return parser.release();
}

} // namespace primrosehead::lab
