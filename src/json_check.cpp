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
constexpr std::size_t max_found_bytes = 80; // longer values are cut in messages
constexpr std::size_t max_path_bytes = 200; // and longer paths

using adapter = valijson::adapters::BoostJsonAdapter;

std::string cut(std::string_view text, std::size_t max_bytes)
{
    if (text.size() <= max_bytes) {
        return std::string(text);
    }
    return std::string(text.substr(0, max_bytes)) + "...";
}

std::string shown(const json::value& found)
{
    return cut(json::serialize(found), max_found_bytes);
}

// A step of valijson's context: "[routes]" or "[2]" without its brackets.
std::string_view step_name(std::string_view step)
{
    if (step.size() >= 2 && step.front() == '[' && step.back() == ']') {
        return step.substr(1, step.size() - 2);
    }
    return step;
}

// A place in a document together with the schema that holds there.
struct place {
    std::string path{root_path};
    const json::value* found = nullptr;
    const json::value* schema = nullptr;
};

const json::value* member(const json::value* parent, std::string_view name)
{
    if (parent == nullptr || !parent->is_object()) {
        return nullptr;
    }
    return parent->as_object().if_contains(name);
}

void enter_item(place& at, std::size_t index)
{
    at.path += '[' + std::to_string(index) + ']';
    const json::array& items = at.found->as_array();
    at.found = index < items.size() ? &items[index] : nullptr;
    at.schema = member(at.schema, "items");
}

void enter_property(place& at, std::string_view name)
{
    at.path += '.';
    at.path += name;
    at.found = member(at.found, name);
    at.schema = member(member(at.schema, "properties"), name);
}

place locate(const json::value& document, const json::value& schema,
             std::span<const std::string> context)
{
    place at;
    at.found = &document;
    at.schema = &schema;
    for (const std::string& step : context.subspan(std::min<std::size_t>(1, context.size()))) {
        const std::string name(step_name(step));
        if (at.found == nullptr) {
            break;
        }
        if (at.found->is_array()) {
            enter_item(at, std::stoull(name));
        }
        else {
            enter_property(at, name);
        }
    }
    return at;
}

std::string expectation(const json::value* schema)
{
    const json::value* description = member(schema, "description");
    if (description == nullptr) {
        return "another value";
    }
    return std::string(description->as_string());
}

std::string known_names(const json::object& properties)
{
    std::string names;
    for (const auto& property : properties) {
        names += names.empty() ? "" : ", ";
        names += std::string_view(property.key());
    }
    return names;
}

// The error of a key that the schema doesn't know, if there is one.
status unknown_key(const place& at)
{
    const json::value* properties = member(at.schema, "properties");
    if (properties == nullptr || at.found == nullptr || !at.found->is_object()) {
        return {};
    }
    for (const auto& entry : at.found->as_object()) {
        if (properties->as_object().contains(entry.key())) {
            continue;
        }
        const std::string path = at.path + "." + std::string(std::string_view(entry.key()));
        return settings_error(path, "one of " + known_names(properties->as_object()),
                              "an unknown key", "Remove it or mend its spelling.");
    }
    return {};
}

// The error of a required key that is not there, if there is one.
status missing_key(const place& at)
{
    const json::value* required = member(at.schema, "required");
    if (required == nullptr || at.found == nullptr || !at.found->is_object()) {
        return {};
    }
    for (const json::value& name : required->as_array()) {
        if (at.found->as_object().contains(name.as_string())) {
            continue;
        }
        place missing = at;
        enter_property(missing, name.as_string());
        return settings_error(missing.path, expectation(missing.schema), "nothing",
                              "Add the key; docs/CONFIG.md describes it.");
    }
    return {};
}

std::optional<valijson::ValidationResults::Error> first_failure(const json::value& document,
                                                                const valijson::Schema& schema)
{
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults found;
    const adapter root(document);
    if (validator.validate(schema, root, &found)) {
        return std::nullopt;
    }
    valijson::ValidationResults::Error first;
    found.popError(first);
    return first;
}

error explain(const json::value& document, const json::value& schema,
              const valijson::ValidationResults::Error& reported)
{
    const place at = locate(document, schema, reported.context);
    const status unknown = unknown_key(at);
    if (!ok(unknown)) {
        return failure(unknown);
    }
    const status missing = missing_key(at);
    if (!ok(missing)) {
        return failure(missing);
    }
    const std::string found = at.found == nullptr ? "nothing" : shown(*at.found);
    return settings_error(at.path, expectation(at.schema), found,
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
        const auto first = first_failure(value(document), body_->compiled);
        if (first) {
            return explain(value(document), body_->text, *first);
        }
        return document;
    }
    catch (const std::exception& thrown) {
        return settings_error(root_path, "values that can be compared", thrown.what(),
                              "Change the value; docs/CONFIG.md describes it.");
    }
}

error settings_error(std::string_view path, std::string_view expected, std::string_view found,
                     std::string_view remedy)
{
    error made;
    made.kind = error_kind::bad_settings;
    made.message = cut(path, max_path_bytes) + ": expected " + std::string(expected) + ", found " +
                   std::string(found) + ".";
    made.remedy = remedy;
    return made;
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

std::string_view text_field(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found == nullptr ? std::string_view() : std::string_view(found->as_string());
}

const json::array& array_field(const json::object& from, std::string_view name)
{
    static const json::array none;
    const json::value* found = from.if_contains(name);
    return found == nullptr ? none : found->as_array();
}

void read_field(const json::object& from, std::string_view name, std::string& target)
{
    if (from.contains(name)) {
        target = text_field(from, name);
    }
}

void read_field(const json::object& from, std::string_view name, bool& target)
{
    if (const json::value* found = from.if_contains(name)) {
        target = found->as_bool();
    }
}

void read_field(const json::object& from, std::string_view name, double& target)
{
    if (const json::value* found = from.if_contains(name)) {
        target = found->to_number<double>();
    }
}

void read_field(const json::object& from, std::string_view name, std::uint32_t& target)
{
    if (const json::value* found = from.if_contains(name)) {
        target = found->to_number<std::uint32_t>();
    }
}

void read_field(const json::object& from, std::string_view name, clock::duration& target)
{
    if (const json::value* found = from.if_contains(name)) {
        target = clock::duration(found->to_number<clock::rep>());
    }
}

bool is_valid_name(std::string_view text) noexcept
{
    const auto alphanumeric = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9');
    };
    const auto allowed = [&](char letter) {
        return alphanumeric(letter) || letter == '.' || letter == '_' || letter == '-';
    };
    return !text.empty() && text.size() <= max_name_bytes && alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), allowed);
}

status check_name(std::string_view path, std::string_view name)
{
    if (is_valid_name(name)) {
        return {};
    }
    const std::string found = shown(json::value(name));
    return settings_error(path, "1 to 64 letters, digits, '.', '_' or '-'", found,
                          "Choose a name of these characters, beginning with a letter or digit.");
}

} // namespace primrosehead
