// The journal over a folder that loses what was not synced.
#include "fake_disk.h"

#include <primrosehead/config.h>
#include <primrosehead/journal.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <random>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

using primrosehead::error_kind;
using primrosehead::failure;
using primrosehead::journal;
using primrosehead::journal_switches;
using primrosehead::ok;
using primrosehead::result;
using primrosehead::value;
using primrosehead::testing::fake_folder;
namespace pb = primrosehead::pb;

namespace {

constexpr std::string_view first_segment = "log-0000000001";

pb::disk_record identity(const std::string& instance = "c1")
{
    pb::disk_record record;
    record.set_cell("cell");
    record.set_instance(instance);
    record.set_disk_id("disk");
    return record;
}

pb::log_entry entry(std::uint64_t index, std::uint64_t term, std::size_t bytes = 20)
{
    pb::log_entry made;
    made.set_index(index);
    made.set_term(term);
    made.set_command(std::string(bytes, 'x') + std::to_string(index));
    return made;
}

std::vector<pb::log_entry> entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    std::vector<pb::log_entry> made;
    for (std::uint64_t index = first; index <= last; ++index) {
        made.push_back(entry(index, term));
    }
    return made;
}

pb::snapshot_record snapshot(std::uint64_t index, std::uint64_t term)
{
    pb::snapshot_record made;
    made.set_last_index(index);
    made.set_last_term(term);
    made.set_state("state " + std::to_string(index));
    return made;
}

// Index and term of each entry, to compare logs.
std::string shape(const std::vector<pb::log_entry>& log)
{
    std::string text;
    for (const pb::log_entry& one : log) {
        text += std::to_string(one.index()) + '/' + std::to_string(one.term()) + ' ';
    }
    return text;
}

journal open_one(fake_folder& folder, journal_switches switches = {})
{
    result<journal> opened = journal::open(folder.open(), identity(), switches);
    REQUIRE(ok(opened));
    return value(std::move(opened));
}

pb::hard_state hard(std::uint64_t term)
{
    pb::hard_state made;
    made.set_term(term);
    return made;
}

void write(journal& log, const std::vector<pb::log_entry>& added)
{
    REQUIRE(ok(log.append(added)));
    REQUIRE(ok(log.sync()));
}

} // namespace

TEST_CASE("journal: what was synced is there after a crash")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder);
        REQUIRE(ok(log.write_hard_state(hard(3))));
        write(log, entries(1, 10, 1));
        write(log, entries(11, 12, 3));
        REQUIRE(ok(log.append(entries(13, 14, 3))));
    }
    folder.crash();
    journal::contents found = open_one(folder).take_contents();
    CHECK(found.identity.disk_id() == "disk");
    CHECK(found.hard_state.term() == 3);
    CHECK(shape(found.entries) == shape(entries(1, 10, 1)) + shape(entries(11, 12, 3)));
}

TEST_CASE("journal: a torn last write is cut off and what was synced before stays")
{
    bool cut = false;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        fake_folder folder(seed);
        {
            journal log = open_one(folder);
            REQUIRE(ok(log.write_hard_state(hard(1))));
            write(log, entries(1, 5, 1));
            folder.fail_writes_after(1); // the write, but not its sync
            REQUIRE(ok(log.append(entries(6, 9, 1))));
            CHECK_FALSE(ok(log.sync()));
        }
        folder.crash();
        folder.fail_writes_after(UINT64_MAX);
        journal log = open_one(folder);
        const journal::contents found = log.take_contents();
        cut = cut || found.is_tail_truncated;
        const std::string whole = shape(entries(1, 9, 1));
        const std::string before = shape(entries(1, 5, 1));
        CHECK((shape(found.entries) == before || shape(found.entries) == whole));
        const std::uint64_t next = found.entries.back().index() + 1;
        write(log, entries(next, next, 2));
        CHECK(open_one(folder).take_contents().entries.back().term() == 2);
    }
    CHECK(cut);
}

TEST_CASE("journal: a damaged record before the end is refused with file, offset and remedy")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder);
        REQUIRE(ok(log.write_hard_state(hard(1))));
        write(log, entries(1, 5, 1));
        write(log, entries(6, 9, 1));
    }
    folder.flip_bit(first_segment, 400); // in the first record
    const result<journal> opened = journal::open(folder.open(), identity());
    REQUIRE(!ok(opened));
    CHECK(failure(opened).kind == error_kind::corrupt_storage);
    CHECK(failure(opened).message.find(first_segment) != std::string::npos);
    CHECK(failure(opened).message.find("byte 0") != std::string::npos);
    CHECK(!failure(opened).remedy.empty());
}

TEST_CASE("journal: a damaged last record that was synced is refused, not cut")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder);
        REQUIRE(ok(log.write_hard_state(hard(1))));
        write(log, entries(1, 5, 1));
    }
    folder.flip_bit(first_segment, 480); // in the only record
    const result<journal> opened = journal::open(folder.open(), identity());
    REQUIRE(!ok(opened));
    CHECK(failure(opened).kind == error_kind::corrupt_storage);
}

TEST_CASE("journal: overwritten entries stay overwritten")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder);
        REQUIRE(ok(log.write_hard_state(hard(2))));
        write(log, entries(1, 10, 1));
        REQUIRE(ok(log.truncate_from(6)));
        write(log, entries(6, 7, 2));
        REQUIRE(ok(log.truncate_from(7)));
        REQUIRE(ok(log.sync()));
    }
    folder.crash();
    CHECK(shape(open_one(folder).take_contents().entries) == shape(entries(1, 5, 1)) + "6/2 ");
}

TEST_CASE("journal: an entry that does not follow is refused")
{
    fake_folder folder(1);
    journal log = open_one(folder);
    write(log, entries(1, 3, 1));
    CHECK_FALSE(ok(log.append(entries(5, 5, 1))));
}

TEST_CASE("journal: a snapshot drops covered files, and the start reads a bounded number of them")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder);
        REQUIRE(ok(log.write_hard_state(hard(1))));
        for (std::uint64_t index = 1; index <= 300; ++index) {
            write(log, {entry(index, 1, 50'000)});
            if (index % 50 == 0) {
                REQUIRE(ok(log.write_snapshot(snapshot(index - 5, 1))));
            }
        }
    }
    CHECK(folder.names().size() < 8);
    journal log = open_one(folder);
    const journal::contents found = log.take_contents();
    REQUIRE(found.snapshot);
    CHECK(found.snapshot->last_index() == 295);
    CHECK(shape(found.entries) == shape(entries(296, 300, 1)));
    REQUIRE(ok(log.write_snapshot(snapshot(295, 1))));
    CHECK(shape(open_one(folder).take_contents().entries) == shape(entries(296, 300, 1)));
}

TEST_CASE(
    "journal: a crash at any point of installing a snapshot leaves the old log or the new state")
{
    for (std::uint64_t writes = 0; writes < 12; ++writes) {
        fake_folder folder(writes + 1);
        {
            journal log = open_one(folder);
            REQUIRE(ok(log.write_hard_state(hard(1))));
            for (std::uint64_t index = 1; index <= 60; ++index) {
                write(log, {entry(index, 1, 60'000)});
            }
            folder.fail_writes_after(writes);
            static_cast<void>(log.write_snapshot(snapshot(40, 2))); // entry 40 has another term
        }
        folder.crash();
        folder.fail_writes_after(UINT64_MAX);
        journal log = open_one(folder);
        const journal::contents found = log.take_contents();
        if (!found.snapshot) {
            CHECK(shape(found.entries) == shape(entries(1, 60, 1)));
            continue;
        }
        CHECK(found.entries.empty());
        write(log, {entry(41, 2)});
        CHECK(shape(open_one(folder).take_contents().entries) == "41/2 ");
    }
}

TEST_CASE("journal: a folder of another instance, or with missing files, is refused")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder);
        REQUIRE(ok(log.write_hard_state(hard(1))));
        write(log, entries(1, 5, 1));
    }
    const result<journal> other = journal::open(folder.open(), identity("c2"));
    REQUIRE(!ok(other));
    CHECK(failure(other).kind == error_kind::bad_settings);
    for (const std::string file : {"identity", "hard-state"}) {
        fake_folder copy = folder;
        REQUIRE(ok(copy.open()->remove(file)));
        const result<journal> opened = journal::open(copy.open(), identity());
        REQUIRE(!ok(opened));
        CHECK(failure(opened).kind == error_kind::corrupt_storage);
    }
}

TEST_CASE("journal: a full disk is reported")
{
    fake_folder folder(1);
    journal log = open_one(folder);
    folder.fail_writes_after(0);
    REQUIRE(ok(log.append(entries(1, 1, 1))));
    const auto synced = log.sync();
    REQUIRE(!ok(synced));
    CHECK(failure(synced).kind == error_kind::storage_failed);
}

TEST_CASE("journal: the switch that skips syncing loses entries that were reported durable")
{
    fake_folder folder(1);
    {
        journal log = open_one(folder, journal_switches{.unsafe_skip_sync = true});
        REQUIRE(ok(log.write_hard_state(hard(1))));
        write(log, entries(1, 5, 1));
    }
    folder.crash();
    CHECK(open_one(folder).take_contents().entries.size() < 5);
}

namespace {

// A journal with a random past, and the log as it stood after each sync.
struct random_past {
    std::vector<std::vector<pb::log_entry>> states{{}};
    std::optional<pb::snapshot_record> last_snapshot;
};

random_past write_random(fake_folder& folder, std::mt19937_64& random)
{
    random_past past;
    std::vector<pb::log_entry> log;
    journal files = open_one(folder);
    REQUIRE(ok(files.write_hard_state(hard(9))));
    std::uint64_t covered = 0;
    for (std::uint64_t step = 1; step <= 30; ++step) {
        const std::uint64_t last = log.empty() ? 0 : log.back().index();
        if (random() % 5 == 0 && last > covered + 1) {
            const std::uint64_t from = covered + 1 + random() % (last - covered);
            REQUIRE(ok(files.truncate_from(from)));
            log.resize(from - 1);
        }
        const std::uint64_t next = log.size() + 1;
        const std::vector<pb::log_entry> added = entries(next, next + random() % 4, step);
        log.insert(log.end(), added.begin(), added.end());
        write(files, added);
        past.states.push_back(log);
        if (random() % 10 == 0) {
            covered = covered + 1 + random() % (log.size() - covered);
            past.last_snapshot = snapshot(covered, log[covered - 1].term());
            REQUIRE(ok(files.write_snapshot(*past.last_snapshot)));
        }
    }
    return past;
}

std::string shape_after(std::vector<pb::log_entry> log, std::uint64_t covered)
{
    std::erase_if(log, [&](const pb::log_entry& one) { return one.index() <= covered; });
    return shape(log);
}

// Damages one file of the folder at random.
void damage(fake_folder& folder, std::mt19937_64& random)
{
    const std::vector<std::string> names = folder.names();
    const std::string& file = names[random() % names.size()];
    const std::uint64_t size = folder.bytes(file).size();
    if (size > 0 && random() % 2 == 0) {
        folder.flip_bit(file, random() % (size * 8));
    }
    else {
        folder.truncate(file, random() % (size + 1));
    }
}

} // namespace

TEST_CASE(
    "journal: damaged bytes give an earlier state of the log or a refusal, never other contents")
{
    int refused = 0;
    int accepted = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        fake_folder folder(seed);
        const random_past past = write_random(folder, random);
        const std::uint64_t covered = past.last_snapshot ? past.last_snapshot->last_index() : 0;
        CHECK(shape(open_one(folder).take_contents().entries) ==
              shape_after(past.states.back(), covered));
        damage(folder, random);
        result<journal> opened = journal::open(folder.open(), identity());
        if (!ok(opened)) {
            ++refused;
            CHECK(failure(opened).kind == error_kind::corrupt_storage);
            continue;
        }
        ++accepted;
        const journal::contents found = value(opened).take_contents();
        CHECK(found.hard_state.term() == 9);
        CHECK(found.snapshot.has_value() == past.last_snapshot.has_value());
        const std::string shaped = shape(found.entries);
        const bool known =
            std::any_of(past.states.begin(), past.states.end(),
                        [&](const auto& state) { return shape_after(state, covered) == shaped; });
        CHECK((known || shaped.empty()));
    }
    CHECK(refused > 50);
    CHECK(accepted > 50);
}

namespace {

// A folder of the real file system that is removed at the end.
class scratch_folder {
  public:
    scratch_folder()
        : path_(std::filesystem::temp_directory_path() /
                ("primrosehead-journal-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(path_);
    }
    ~scratch_folder() { std::filesystem::remove_all(path_); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    [[nodiscard]] std::string path() const { return path_.string(); }

  private:
    std::filesystem::path path_;
};

} // namespace

TEST_CASE("journal: a real folder keeps its contents and admits one process")
{
    const scratch_folder scratch;
    {
        auto disk = primrosehead::open_posix_disk(scratch.path());
        REQUIRE(ok(disk));
        const auto second = primrosehead::open_posix_disk(scratch.path());
        REQUIRE(!ok(second));
        CHECK(failure(second).kind == error_kind::storage_failed);
        result<journal> opened = journal::open(value(std::move(disk)), identity());
        REQUIRE(ok(opened));
        journal& log = value(opened);
        REQUIRE(ok(log.write_hard_state(hard(4))));
        write(log, entries(1, 20, 1));
        REQUIRE(ok(log.write_snapshot(snapshot(10, 1))));
        REQUIRE(ok(log.truncate_from(15)));
        write(log, entries(15, 16, 4));
    }
    auto disk = primrosehead::open_posix_disk(scratch.path());
    REQUIRE(ok(disk));
    result<journal> opened = journal::open(value(std::move(disk)), identity());
    REQUIRE(ok(opened));
    const journal::contents found = value(opened).take_contents();
    CHECK(found.hard_state.term() == 4);
    CHECK(found.snapshot->state() == "state 10");
    CHECK(shape(found.entries) == shape(entries(11, 14, 1)) + "15/4 16/4 ");
}

TEST_CASE("journal: a folder that can't be made is refused")
{
    const auto disk = primrosehead::open_posix_disk("/proc/primrosehead");
    REQUIRE(!ok(disk));
    CHECK(failure(disk).kind == error_kind::storage_failed);
    CHECK(!failure(disk).remedy.empty());
}
