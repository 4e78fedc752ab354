// primrose-entry: an entry instance, which takes callers' requests.
#include "program.h"

#include <primrosehead/entry.h>
#include <primrosehead/log.h>
#include <primrosehead/settings.h>

int main(int count, char** arguments)
{
    using namespace primrosehead;
    const program_options options = read_command_line(
        count, arguments,
        "An entry instance: takes callers' requests.\nprimrose-entry --config FILE");
    if (!options.is_valid) {
        return exit_bad_settings;
    }
    const result<entry_settings> settings = parse_entry_settings(options.config_text);
    if (!ok(settings)) {
        complain(describe(failure(settings)));
        return exit_bad_settings;
    }
    if (options.check_only) {
        return exit_done;
    }
    const status logging = set_up_logs(value(settings).log, value(settings).instance.text());
    if (!ok(logging)) {
        complain(describe(failure(logging)));
        return exit_bad_settings;
    }
    const auto instance = entry_instance::open(value(settings));
    if (!ok(instance)) {
        complain(describe(failure(instance)));
        return exit_failed;
    }
    value(instance)->run();
    return exit_done;
}
