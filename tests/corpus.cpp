#include "corpus.h"

#include <primrosehead/settings.h>

#include <stdexcept>

namespace primrosehead::test {

namespace {

constexpr std::string_view head_mark = "## ";
constexpr std::string_view column_mark = " | ";

// Cuts the first column off `line`.
std::string take_column(std::string_view& line)
{
    const std::size_t end = line.find(column_mark);
    std::string column(line.substr(0, end));
    line =
        end == std::string_view::npos ? std::string_view() : line.substr(end + column_mark.size());
    return column;
}

corpus_entry read_head(std::string_view line)
{
    line.remove_prefix(head_mark.size());
    corpus_entry entry;
    entry.path = take_column(line);
    entry.note = take_column(line);
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
    std::string_view rest = value(text);
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        const std::string_view line = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        if (line.starts_with(head_mark)) {
            entries.push_back(read_head(line));
        }
        else if (!entries.empty()) {
            entries.back().text += line;
        }
    }
    return entries;
}

} // namespace primrosehead::test
