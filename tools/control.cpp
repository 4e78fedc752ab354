// primrose-control: runs a control instance, which maintains the cell's replicated state.
#include "program.h"

#include <primrosehead/control.h>
#include <primrosehead/settings.h>

int main(int count, char** arguments)
{
    using namespace primrosehead;
    return run_server(
        count, arguments,
        "Runs a control instance, which maintains the replicated state.\nprimrose-control --config "
        "FILE",
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
