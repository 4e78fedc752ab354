// Callers' keys as an entry instance checks them.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <string_view>

namespace primrosehead {

class state_view;

class key_table {
  public:
    [[nodiscard]] static key_table make(const state_view&) { return {}; }
    [[nodiscard]] result<organisation_name> verify(std::string_view) const
    {
        return error{error_kind::unauthenticated, "Keys are not checked yet.",
                     "Use an open route."};
    }
};

} // namespace primrosehead
