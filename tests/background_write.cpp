#include "background_write.h"

#include "pooler_fixture.h"

#include <utility>

namespace primrosehead::testing {

background_write::background_write(pooler_fixture& instance, std::string text)
    : operation_(instance.operation()), execution_(instance.shared, state_)
{
    statement_.id = "id1";
    statement_.text = std::move(text);
    statement_.is_write = true;
    instance.start([this] { return execution_.run_single(operation_, statement_); }, answer_);
}

} // namespace primrosehead::testing
