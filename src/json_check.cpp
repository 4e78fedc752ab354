// Without this valijson ends the process on a value that it can't convert.
#define VALIJSON_USE_EXCEPTIONS 1

#include "json_check.h"

#include <boost/json.hpp>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <span>
#include <vector>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr std::string_view root_path = "$";
constexpr std::size_t max_value_bytes = 80; // longer values are truncated in messages
constexpr std::size_t max_path_bytes = 200; // and longer paths

using adapter = valijson::adapters::BoostJsonAdapter;

std::string shorten(std::string_view text, std::size_t max_bytes)
{
    if (text.size() <= max_bytes) {
        return std::string(text);
    }
    return std::string(text.substr(0, max_bytes)) + "...";
}

std::string serialize_truncated(const json::value& found)
{
    return shorten(json::serialize(found), max_value_bytes);
}

// A step of valijson's context: "[routes]" or "[2]" without its brackets.
std::string_view strip_brackets(std::string_view step)
{
    if (step.size() >= 2 && step.front() == '[' && step.back() == ']') {
        return step.substr(1, step.size() - 2);
    }
    return step;
}

// A location in a document together with the schema that holds there.
struct location {
    std::string path{root_path};
    const json::value* found = nullptr;
    const json::value* schema = nullptr;
};

const json::value* find_member(const json::value* parent, std::string_view name)
{
    if (parent == nullptr || !parent->is_object()) {
        return nullptr;
    }
    return parent->as_object().if_contains(name);
}

void enter_item(location& position, std::size_t index)
{
    position.path += '[' + std::to_string(index) + ']';
    const json::array& items = position.found->as_array();
    position.found = index < items.size() ? &items[index] : nullptr;
    position.schema = find_member(position.schema, "items");
}

void enter_property(location& position, std::string_view name)
{
    position.path += '.';
    position.path += name;
    position.found = find_member(position.found, name);
    position.schema = find_member(find_member(position.schema, "properties"), name);
}

location locate(const json::value& document, const json::value& schema,
                std::span<const std::string> context)
{
    location position;
    position.found = &document;
    position.schema = &schema;
    for (const std::string& step : context.subspan(std::min<std::size_t>(1, context.size()))) {
        const std::string name(strip_brackets(step));
        if (position.found == nullptr) {
            break;
        }
        if (position.found->is_array()) {
            enter_item(position, std::stoull(name));
        }
        else {
            enter_property(position, name);
        }
    }
    return position;
}

std::string expected_value(const json::value* schema)
{
    const json::value* description = find_member(schema, "description");
    if (description == nullptr) {
        return "another value";
    }
    return std::string(description->as_string());
}

std::string join_keys(const json::object& properties)
{
    std::string names;
    for (const auto& property : properties) {
        names += names.empty() ? "" : ", ";
        names += std::string_view(property.key());
    }
    return names;
}

// The error of a key that the schema doesn't know, if there is one.
status find_unknown_key(const location& position)
{
    const json::value* properties = find_member(position.schema, "properties");
    if (properties == nullptr || position.found == nullptr || !position.found->is_object()) {
        return {};
    }
    for (const auto& entry : position.found->as_object()) {
        if (properties->as_object().contains(entry.key())) {
            continue;
        }
        const std::string path = position.path + "." + std::string(std::string_view(entry.key()));
        return settings_error(path, "one of " + join_keys(properties->as_object()),
                              "an unknown key", "Remove it or mend its spelling.");
    }
    return {};
}

// The error of a required key that is not there, if there is one.
status find_missing_key(const location& position)
{
    const json::value* required = find_member(position.schema, "required");
    if (required == nullptr || position.found == nullptr || !position.found->is_object()) {
        return {};
    }
    for (const json::value& name : required->as_array()) {
        if (position.found->as_object().contains(name.as_string())) {
            continue;
        }
        location missing = position;
        enter_property(missing, name.as_string());
        return settings_error(missing.path, expected_value(missing.schema), "nothing",
                              "Add the key; docs/CONFIG.md describes it.");
    }
    return {};
}

std::optional<valijson::ValidationResults::Error> find_first_failure(const json::value& document,
                                                                     const valijson::Schema& schema)
{
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const adapter root(document);
    if (validator.validate(schema, root, &results)) {
        return std::nullopt;
    }
    valijson::ValidationResults::Error first;
    results.popError(first);
    return first;
}

error describe_failure(const json::value& document, const json::value& schema,
                       const valijson::ValidationResults::Error& reported_error)
{
    const location position = locate(document, schema, reported_error.context);
    const status unknown = find_unknown_key(position);
    if (!ok(unknown)) {
        return failure(unknown);
    }
    const status missing = find_missing_key(position);
    if (!ok(missing)) {
        return failure(missing);
    }
    const std::string found =
        position.found == nullptr ? "nothing" : serialize_truncated(*position.found);
    return settings_error(position.path, expected_value(position.schema), found,
                          "Change the value; docs/CONFIG.md describes it.");
}

// Line and column of a byte, counted from 1.
std::string line_and_column(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t line_start = before.rfind('\n') + 1;
    return "line " + std::to_string(line) + ", column " +
           std::to_string(before.size() - line_start + 1);
}

result<json::value> parse(std::string_view text)
{
    json::stream_parser parser;
    boost::system::error_code code;
    const std::size_t read = parser.write_some(text.data(), text.size(), code);
    if (!code && read == text.size()) {
        parser.finish(code);
    }
    if (code || read != text.size()) {
        const std::string cause = code ? code.message() : "more text after the value";
        return settings_error(root_path, "one JSON value",
                              cause + " at " + line_and_column(text, read),
                              "Mend the JSON syntax there.");
    }
    return parser.release();
}

} // namespace

struct json_schema::implementation {
    json::value text;
    valijson::Schema compiled;
};

json_schema::json_schema(std::string_view text) : body_(std::make_unique<implementation>())
{
    body_->text = json::parse(text);
    valijson::SchemaParser parser;
    parser.populateSchema(adapter(body_->text), body_->compiled);
}

json_schema::~json_schema() = default;

result<json::value> json_schema::read(std::string_view text) const
{
    result<json::value> document = parse(text);
    if (!ok(document)) {
        return document;
    }
    try {
        const auto first = find_first_failure(value(document), body_->compiled);
        if (first) {
            return describe_failure(value(document), body_->text, *first);
        }
        return document;
    }
    catch (const std::exception& exception) {
        return settings_error(root_path, "values that can be compared", exception.what(),
                              "Change the value; docs/CONFIG.md describes it.");
    }
}

error settings_error(std::string_view path, std::string_view expected, std::string_view found,
                     std::string_view remedy)
{
    error invalid;
    invalid.kind = error_kind::bad_settings;
    invalid.message = shorten(path, max_path_bytes) + ": expected " + std::string(expected) +
                      ", found " + std::string(found) + ".";
    invalid.remedy = remedy;
    return invalid;
}

std::string item_path(std::string_view array, std::size_t index, std::string_view field)
{
    std::string path(array);
    path += '[' + std::to_string(index) + ']';
    if (!field.empty()) {
        path += '.';
        path += field;
    }
    return path;
}

std::string_view text_field(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    return found == nullptr ? std::string_view() : std::string_view(found->as_string());
}

const json::array& array_field(const json::object& object, std::string_view name)
{
    static const json::array empty;
    const json::value* found = object.if_contains(name);
    return found == nullptr ? empty : found->as_array();
}

void read_field(const json::object& object, std::string_view name, std::string& target)
{
    if (object.contains(name)) {
        target = text_field(object, name);
    }
}

void read_field(const json::object& object, std::string_view name, bool& target)
{
    if (const json::value* found = object.if_contains(name)) {
        target = found->as_bool();
    }
}

void read_field(const json::object& object, std::string_view name, double& target)
{
    if (const json::value* found = object.if_contains(name)) {
        target = found->to_number<double>();
    }
}

void read_field(const json::object& object, std::string_view name, std::uint32_t& target)
{
    if (const json::value* found = object.if_contains(name)) {
        target = found->to_number<std::uint32_t>();
    }
}

void read_field(const json::object& object, std::string_view name, clock::duration& target)
{
    if (const json::value* found = object.if_contains(name)) {
        target = clock::duration(found->to_number<clock::rep>());
    }
}

bool is_valid_name(std::string_view text) noexcept
{
    const auto is_alphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    const auto is_allowed = [&](char c) {
        return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= max_name_bytes && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

status check_name(std::string_view path, std::string_view name)
{
    if (is_valid_name(name)) {
        return {};
    }
    const std::string found = serialize_truncated(json::value(name));
    return settings_error(path, "1 to 64 letters, digits, '.', '_' or '-'", found,
                          "Choose a name of these characters, beginning with a letter or digit.");
}

} // namespace primrosehead
