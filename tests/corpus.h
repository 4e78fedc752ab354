// Reads a file of tests/corpus. Each entry starts with a line `## PATH | DESCRIPTION [| FIELD]`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::test {

struct corpus_entry {
    std::string path;        // JSON path that the error must contain
    std::string description; // the error in the input
    std::string field;       // the field of the settings that `text` replaces
    std::string text;        // the input, or the value of `field`
};

[[nodiscard]] std::vector<corpus_entry> read_corpus(std::string_view file);

} // namespace primrosehead::test
