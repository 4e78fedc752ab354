// Reads a corpus file of tests/corpus: blocks that begin with a line `## PATH | NOTE [| FIELD]`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::test {

struct corpus_entry {
    std::string path;  // JSON path that the error is to name
    std::string note;  // what is wrong with the input
    std::string field; // settings: the field that `text` replaces
    std::string text;
};

[[nodiscard]] std::vector<corpus_entry> read_corpus(std::string_view file);

} // namespace primrosehead::test
