// primrose-control: a control instance, which keeps the system's replicated state.
#include "program.h"

#include <primrosehead/control.h>
#include <primrosehead/settings.h>

int main(int count, char** arguments)
{
    using namespace primrosehead;
    return run_server(
        count, arguments,
        "A control instance: keeps the replicated state.\nprimrose-control --config FILE",
        parse_control_settings,
        [](const control_settings& settings) { return settings.instance.text(); },
        [](const control_settings& settings) -> status {
            const auto instance = control_instance::open(settings);
            if (!ok(instance)) {
                return failure(instance);
            }
            return value(instance)->run();
        });
}
