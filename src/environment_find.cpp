#include <primrosehead/environment.h>

namespace primrosehead {

namespace {

template <class Settings, class Name>
const Settings* find_named(const std::vector<Settings>& section, const Name& name) noexcept
{
    for (const Settings& candidate : section) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace

const route_settings* environment::find(const route_name& name) const noexcept
{
    return find_named(routes, name);
}

const database_settings* environment::find(const database_name& name) const noexcept
{
    return find_named(databases, name);
}

const organisation_settings* environment::find(const organisation_name& name) const noexcept
{
    return find_named(organisations, name);
}

} // namespace primrosehead
