// primrose-entry: runs an entry instance, which accepts callers' requests.
#include "program.h"

#include <primrosehead/entry.h>
#include <primrosehead/settings.h>

int main(int count, char** arguments)
{
    using namespace primrosehead;
    return run_server(
        count, arguments,
        "Runs an entry instance, which accepts callers' requests.\nprimrose-entry --config FILE",
        parse_entry_settings,
        [](const entry_settings& settings) { return settings.instance.text(); },
        [](const entry_settings& settings) -> status {
            const auto instance = entry_instance::open(settings);
            if (!ok(instance)) {
                return failure(instance);
            }
            value(instance)->run();
            return std::monostate{};
        });
}
