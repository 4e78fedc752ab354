#include "ctl_config.h"

#include "operator_diff.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <iostream>
#include <iterator>
#include <utility>

ABSL_DECLARE_FLAG(std::string, in_force);
ABSL_DECLARE_FLAG(std::uint32_t, instances);
ABSL_DECLARE_FLAG(bool, json);

namespace primrosehead::ctl {

namespace json = boost::json;

namespace {

constexpr int exit_findings = 1;
constexpr int exit_unreadable = 2;

struct report {
    std::vector<document_finding> findings;
    std::vector<document_change> changes;
};

result<report> make_report(std::string_view path, std::string_view in_force_path,
                           const document_reader& reader)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return failure(text);
    }
    const result<document_draft> draft = reader(value(text));
    if (!ok(draft)) {
        return failure(draft);
    }
    report made;
    made.findings = check_document(value(draft), {.instances = absl::GetFlag(FLAGS_instances)});
    if (in_force_path.empty()) {
        return made;
    }
    const result<std::string> in_force_text = read_file(in_force_path);
    if (!ok(in_force_text)) {
        return failure(in_force_text);
    }
    const result<document_draft> in_force = reader(value(in_force_text));
    if (!ok(in_force)) {
        return failure(in_force);
    }
    result<std::vector<document_change>> changes =
        diff_documents(value(in_force_text), value(text));
    if (!ok(changes)) {
        return failure(changes);
    }
    made.changes = std::move(value(changes));
    std::ranges::move(check_succession(value(draft), value(in_force)),
                      std::back_inserter(made.findings));
    return made;
}

// Keys are secrets, which terminals and logs keep: their changes are shown without the keys.
bool is_secret(const document_change& change)
{
    return change.path.find("keys") != std::string::npos ||
           change.before.find("keys") != std::string::npos ||
           change.after.find("keys") != std::string::npos;
}

std::string shown(const document_change& change, const std::string& text)
{
    if (text.empty()) {
        return "none";
    }
    return is_secret(change) ? "(with keys, not shown)" : text;
}

void print_json(const report& made)
{
    json::array findings;
    for (const document_finding& each : made.findings) {
        findings.push_back(json::object{
            {"kind", to_string(each.kind)}, {"place", each.place}, {"message", each.message}});
    }
    json::array changes;
    for (const document_change& each : made.changes) {
        changes.push_back(json::object{{"path", each.path},
                                       {"before", shown(each, each.before)},
                                       {"after", shown(each, each.after)}});
    }
    std::cout << json::serialize(json::object{{"findings", findings}, {"changes", changes}})
              << '\n';
}

void print_text(const report& made)
{
    for (const document_finding& each : made.findings) {
        std::cout << to_string(each.kind) << ": " << each.place << ": " << each.message << '\n';
    }
    for (const document_change& each : made.changes) {
        std::cout << "change: " << each.path << ": " << shown(each, each.before) << " -> "
                  << shown(each, each.after) << '\n';
    }
    std::cout << made.findings.size() << " findings, " << made.changes.size() << " changes\n";
}

} // namespace

int check_config(std::string_view path, const document_reader& reader)
{
    const result<report> made = make_report(path, absl::GetFlag(FLAGS_in_force), reader);
    if (!ok(made)) {
        return print_error(failure(made), exit_unreadable);
    }
    absl::GetFlag(FLAGS_json) ? print_json(value(made)) : print_text(value(made));
    return value(made).findings.empty() ? exit_success : exit_findings;
}

} // namespace primrosehead::ctl
