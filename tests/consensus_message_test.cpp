// Messages with any content: the core answers or ignores them, and keeps what it committed.
#include <primrosehead/consensus.h>

#include <doctest/doctest.h>

#include <cstdint>
#include <random>
#include <string>

using primrosehead::clock;
using primrosehead::ok;
using primrosehead::value;
namespace consensus = primrosehead::consensus;
namespace pb = primrosehead::pb;

namespace {

constexpr int message_count = 3'000;

// Draws messages whose numbers are near those in use, so that many are taken in.
class message_generator {
  public:
    explicit message_generator(std::uint64_t seed) : random_(seed) {}

    pb::consensus_message next()
    {
        pb::consensus_message message;
        message.set_from("c" + std::to_string(1 + random_below(4)));
        message.set_to(random_below(20) == 0 ? "c2" : "c1");
        message.set_disk_id(random_below(10) == 0 ? "other" : "disk-" + message.from());
        message.set_term(random_below(6));
        switch (random_below(6)) {
        case 0:
            fill(*message.mutable_vote());
            break;
        case 1:
            message.mutable_vote_answer()->set_pre_vote(random_below(2) == 0);
            message.mutable_vote_answer()->set_granted(random_below(2) == 0);
            break;
        case 2:
            fill(*message.mutable_append());
            break;
        case 3:
            message.mutable_append_answer()->set_accepted(random_below(2) == 0);
            message.mutable_append_answer()->set_match_index(random_below(30));
            message.mutable_append_answer()->set_asked_at_ms(random_number() - 10);
            break;
        case 4:
            fill(*message.mutable_snapshot());
            break;
        default:
            message.mutable_snapshot_answer()->set_last_index(random_below(20));
            message.mutable_snapshot_answer()->set_received(random_below(30));
            message.mutable_snapshot_answer()->set_installed(random_below(2) == 0);
            break;
        }
        return message;
    }

    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }

  private:
    std::int64_t random_number() { return static_cast<std::int64_t>(random_below(30)); }

    void fill(pb::vote_request& vote)
    {
        vote.set_pre_vote(random_below(2) == 0);
        vote.set_last_index(random_below(20));
        vote.set_last_term(random_below(6));
    }

    void fill(pb::append_request& append)
    {
        append.set_previous_index(random_below(12));
        append.set_previous_term(random_below(4));
        append.set_commit_index(random_below(20));
        const std::uint64_t count = random_below(4);
        for (std::uint64_t offset = 1; offset <= count; ++offset) {
            pb::log_entry* entry = append.add_entries();
            entry->set_index(append.previous_index() +
                             (random_below(10) == 0 ? random_below(20) : offset));
            entry->set_term(random_below(4));
            entry->set_no_operation(true);
        }
    }

    void fill(pb::snapshot_chunk& chunk)
    {
        chunk.set_last_index(random_below(20));
        chunk.set_last_term(random_below(4));
        chunk.set_offset(random_below(3));
        chunk.set_data(std::string(random_below(4), 'x'));
        chunk.set_last(random_below(2) == 0);
    }

    std::mt19937_64 random_;
};

consensus::core new_core(std::uint64_t seed)
{
    consensus::core_settings settings;
    settings.instance = primrosehead::instance_name("c1");
    settings.disk_id = "disk-c1";
    settings.seed = seed;
    consensus::persisted_state stored;
    for (const std::string name : {"c1", "c2", "c3"}) {
        pb::member* member = stored.initial_members.add_members();
        member->set_instance(name);
        member->set_disk_id("disk-" + name);
        member->set_voter(true);
    }
    auto created = consensus::core::create(settings, stored, clock::time_point{});
    REQUIRE(ok(created));
    return value(std::move(created));
}

} // namespace

TEST_CASE("consensus: messages of any content neither end the process nor undo a commit")
{
    std::uint64_t committed_anywhere = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        consensus::core core = new_core(seed);
        message_generator source(seed);
        clock::time_point now{};
        std::uint64_t term = 0;
        std::uint64_t committed = 0;
        bool kept = true;
        for (int count = 0; count < message_count; ++count) {
            now += clock::duration(static_cast<clock::rep>(source.random_below(20)));
            static_cast<void>(core.receive(source.next(), now));
            static_cast<void>(core.on_synced(now));
            static_cast<void>(core.tick(now));
            kept = kept && core.term() >= term && core.commit_index() >= committed &&
                   core.commit_index() <= core.last_index();
            term = core.term();
            committed = core.commit_index();
        }
        CAPTURE(seed);
        CHECK(kept);
        committed_anywhere += committed;
    }
    CHECK(committed_anywhere > 0);
}
