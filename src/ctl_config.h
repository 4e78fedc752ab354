// The primrosectl command `config check`: checks a published document before it is sent.
#pragma once

#include "ctl_target.h"
#include "document_check.h"

namespace primrosehead::ctl {

// Prints findings, and differences from the document given by --in-force. Returns 0 if there are no
// findings, 1 if there are, and 2 if a file can't be read as a document.
[[nodiscard]] int check_config(std::string_view path, const document_reader& reader);

} // namespace primrosehead::ctl
