#include "scenario_script.h"

#include <sstream>

namespace primrosehead::scenario {

namespace {

std::vector<std::string> split_words(const std::string& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

// "without MECHANISM expect breach"
bool is_breach_line(const std::vector<std::string>& words)
{
    constexpr std::size_t length = 4;
    return words.size() == length && words[0] == "without" && words[2] == "expect" &&
           words[3] == "breach";
}

} // namespace

result<script> parse_script(std::string_view text)
{
    script parsed;
    std::istringstream lines{std::string(text)};
    std::uint32_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        const std::vector<std::string> words = split_words(line);
        if (words.empty()) {
            continue;
        }
        if (words.front() != "without") {
            parsed.steps.push_back({number, words});
            continue;
        }
        safeguards known;
        if (!is_breach_line(words) || !disable_safeguard(words[1], known)) {
            return error{error_kind::bad_request,
                         "Line " + std::to_string(number) + ": no mechanism of that name.",
                         "Write: without MECHANISM expect breach.",
                         ran::no,
                         {}};
        }
        parsed.required_safeguards.push_back(words[1]);
    }
    return parsed;
}

} // namespace primrosehead::scenario
