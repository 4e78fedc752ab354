// primrose-control: a control instance, which keeps the system's replicated state.
#include "program.h"

#include <primrosehead/control.h>
#include <primrosehead/log.h>
#include <primrosehead/settings.h>

int main(int count, char** arguments)
{
    using namespace primrosehead;
    const program_options options = read_command_line(
        count, arguments,
        "A control instance: keeps the replicated state.\nprimrose-control --config FILE");
    if (!options.is_valid) {
        return exit_bad_settings;
    }
    const result<control_settings> settings = parse_control_settings(options.config_text);
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
    const auto instance = control_instance::open(value(settings));
    if (!ok(instance)) {
        complain(describe(failure(instance)));
        return exit_failed;
    }
    const status outcome = value(instance)->run();
    if (!ok(outcome)) {
        complain(describe(failure(outcome)));
        return exit_failed;
    }
    return exit_done;
}
