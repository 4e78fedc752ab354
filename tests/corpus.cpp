#include "corpus.h"

#include <primrosehead/settings.h>

#include <stdexcept>

namespace primrosehead::test {

namespace {

constexpr std::string_view header_prefix = "## ";
constexpr std::string_view column_separator = " | ";

// Removes the first column from `line` and returns it.
std::string take_column(std::string_view& line)
{
    const std::size_t end = line.find(column_separator);
    std::string column(line.substr(0, end));
    line = end == std::string_view::npos ? std::string_view()
                                         : line.substr(end + column_separator.size());
    return column;
}

corpus_entry parse_header(std::string_view line)
{
    line.remove_prefix(header_prefix.size());
    corpus_entry entry;
    entry.path = take_column(line);
    entry.description = take_column(line);
    entry.field = take_column(line);
    return entry;
}

} // namespace

std::vector<corpus_entry> read_corpus(std::string_view file)
{
    const auto text = read_file(std::string(PRIMROSEHEAD_SOURCE_DIR "/tests/corpus/") += file);
    if (!ok(text)) {
        throw std::runtime_error(describe(failure(text)));
    }
    std::vector<corpus_entry> entries;
    std::string_view remaining = value(text);
    while (!remaining.empty()) {
        const std::size_t end = remaining.find('\n');
        const std::string_view line = remaining.substr(0, end);
        remaining = end == std::string_view::npos ? std::string_view() : remaining.substr(end + 1);
        if (line.starts_with(header_prefix)) {
            entries.push_back(parse_header(line));
        }
        else if (!entries.empty()) {
            entries.back().text += line;
        }
    }
    return entries;
}

} // namespace primrosehead::test
