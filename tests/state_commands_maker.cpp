#include "state_commands_maker.h"

namespace primrosehead::test {

namespace {

constexpr unsigned name_count = 5;
constexpr unsigned version_count = 4;
constexpr std::size_t salt_bytes = 16;
constexpr std::size_t digest_bytes = 32;

} // namespace

pb::command make_trial(std::string_view name, std::uint64_t base, std::string_view document)
{
    pb::command command;
    command.mutable_trial()->set_name(std::string(name));
    command.mutable_trial()->set_base_version(base);
    command.mutable_trial()->set_document(std::string(document));
    return command;
}

pb::command make_promote(std::string_view name, std::uint64_t base)
{
    pb::command command;
    command.mutable_promote()->set_name(std::string(name));
    command.mutable_promote()->set_base_version(base);
    return command;
}

pb::command make_issue(std::string_view key_id, std::string_view organisation)
{
    pb::command command;
    pb::key_record& key = *command.mutable_issue()->mutable_key();
    key.set_key_id(std::string(key_id));
    key.set_organisation(std::string(organisation));
    key.set_salt(std::string(salt_bytes, 's'));
    key.set_digest(std::string(digest_bytes, 'd'));
    return command;
}

pb::command make_withdraw(std::string_view key_id)
{
    pb::command command;
    command.mutable_withdraw()->set_key_id(std::string(key_id));
    return command;
}

pb::command make_register(std::string_view instance, std::string_view domain)
{
    pb::command command;
    pb::instance_record& record = *command.mutable_register_one()->mutable_instance();
    record.set_instance(std::string(instance));
    record.set_failure_domain(std::string(domain));
    record.set_endpoint("tcp://127.0.0.1:7000");
    return command;
}

pb::command make_remove(std::string_view instance)
{
    pb::command command;
    command.mutable_remove_one()->set_instance(std::string(instance));
    return command;
}

pb::command make_begin(std::string_view database, std::uint64_t new_term)
{
    pb::command command;
    command.mutable_begin()->set_database(std::string(database));
    command.mutable_begin()->set_new_term(new_term);
    return command;
}

pb::command make_request(std::string_view database, std::uint64_t term, std::string_view server)
{
    pb::command command;
    command.mutable_request()->set_database(std::string(database));
    command.mutable_request()->set_term(term);
    command.mutable_request()->set_server(std::string(server));
    return command;
}

pb::command make_finish(std::string_view database, std::uint64_t term, std::string_view primary,
                        std::uint64_t start_index)
{
    pb::command command;
    pb::finish_promotion& finish = *command.mutable_finish();
    finish.set_database(std::string(database));
    finish.set_term(term);
    finish.set_primary(std::string(primary));
    finish.set_primary_url("http://127.0.0.1:8000");
    finish.set_start_index(start_index);
    return command;
}

pb::command with_request(pb::command command, std::string_view request_id)
{
    command.set_request_id(std::string(request_id));
    return command;
}

pb::command random_command(std::mt19937& random)
{
    const std::string name = "name-" + std::to_string(random() % name_count);
    const std::uint64_t version = random() % version_count;
    switch (random() % 8) {
    case 0:
        return make_trial(name, version);
    case 1:
        return make_promote(name, version);
    case 2:
        return make_issue(name, "organisation");
    case 3:
        return make_withdraw(name);
    case 4:
        return make_register(name, "domain-" + std::to_string(version));
    case 5:
        return make_remove(name);
    case 6:
        return make_begin(name, random() % 100);
    default:
        return make_finish(name, random() % 100, "server-1", random() % 1'000);
    }
}

} // namespace primrosehead::test
