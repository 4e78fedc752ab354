#include "operator_diff.h"

#include "json_check.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace primrosehead {

namespace json = boost::json;

namespace {

// One member of an object or item of a list under the name that identifies it.
struct child {
    std::string key; // ".key" or "[name]"
    const json::value* value = nullptr;
};

std::string item_name(const json::value& item, std::size_t index)
{
    const json::value* name = item.is_object() ? item.as_object().if_contains("name") : nullptr;
    if (name != nullptr && name->is_string()) {
        return std::string(std::string_view(name->as_string()));
    }
    return std::to_string(index);
}

std::vector<child> children_of(const json::value& parent)
{
    std::vector<child> children;
    if (parent.is_object()) {
        for (const auto& entry : parent.as_object()) {
            children.push_back({"." + std::string(std::string_view(entry.key())), &entry.value()});
        }
    }
    if (parent.is_array()) {
        for (std::size_t index = 0; index < parent.as_array().size(); ++index) {
            const json::value& item = parent.as_array()[index];
            children.push_back({"[" + item_name(item, index) + "]", &item});
        }
    }
    return children;
}

const json::value* find_child(const std::vector<child>& children, std::string_view key)
{
    const auto found = std::find_if(children.begin(), children.end(),
                                    [&](const child& candidate) { return candidate.key == key; });
    return found == children.end() ? nullptr : found->value;
}

bool is_container(const json::value& value)
{
    return value.is_object() || value.is_array();
}

// Collects differences; nesting is bounded by the JSON parser's.
class document_differ {
  public:
    void compare(const std::string& path, const json::value& before, const json::value& after)
    {
        if (before == after) {
            return;
        }
        if (before.kind() != after.kind() || !is_container(before)) {
            add(path, &before, &after);
            return;
        }
        compare_children(path, children_of(before), children_of(after));
    }

    [[nodiscard]] std::vector<document_change> take() { return std::move(changes_); }

  private:
    void compare_children(const std::string& path, const std::vector<child>& before,
                          const std::vector<child>& after)
    {
        for (const child& old_child : before) {
            const json::value* new_value = find_child(after, old_child.key);
            if (new_value == nullptr) {
                add(path + old_child.key, old_child.value, nullptr);
            }
            else {
                compare(path + old_child.key, *old_child.value, *new_value);
            }
        }
        for (const child& new_child : after) {
            if (find_child(before, new_child.key) == nullptr) {
                add(path + new_child.key, nullptr, new_child.value);
            }
        }
    }

    void add(const std::string& path, const json::value* before, const json::value* after)
    {
        document_change change;
        change.path = path;
        change.before = before == nullptr ? std::string() : json::serialize(*before);
        change.after = after == nullptr ? std::string() : json::serialize(*after);
        changes_.push_back(std::move(change));
    }

    std::vector<document_change> changes_;
};

result<json::value> parse_document(std::string_view text)
{
    if (text.empty()) {
        return json::value(json::object());
    }
    boost::system::error_code code;
    json::value parsed = json::parse(json::string_view(text.data(), text.size()), code);
    if (code) {
        return settings_error("$", "one JSON value", code.message(), "Mend the JSON syntax.");
    }
    return parsed;
}

} // namespace

result<std::vector<document_change>> diff_documents(std::string_view before, std::string_view after)
{
    const result<json::value> old_value = parse_document(before);
    if (!ok(old_value)) {
        return failure(old_value);
    }
    const result<json::value> new_value = parse_document(after);
    if (!ok(new_value)) {
        return failure(new_value);
    }
    document_differ differences;
    differences.compare("$", value(old_value), value(new_value));
    return differences.take();
}

} // namespace primrosehead
