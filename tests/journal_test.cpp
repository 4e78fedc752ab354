// Tests of the journal on a folder that loses unsynced data on a crash.
#include "fake_disk.h"

#include <primrosehead/config.h>
#include <primrosehead/journal.h>

#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
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
using primrosehead::testing::disk_state;
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
    pb::log_entry created;
    created.set_index(index);
    created.set_term(term);
    created.set_command(std::string(bytes, 'x') + std::to_string(index));
    return created;
}

std::vector<pb::log_entry> entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    std::vector<pb::log_entry> created;
    for (std::uint64_t index = first; index <= last; ++index) {
        created.push_back(entry(index, term));
    }
    return created;
}

pb::snapshot_record snapshot(std::uint64_t index, std::uint64_t term)
{
    pb::snapshot_record created;
    created.set_last_index(index);
    created.set_last_term(term);
    created.set_state("state " + std::to_string(index));
    return created;
}

// Returns index and term of each entry, to compare logs.
std::string summarize(const std::vector<pb::log_entry>& log)
{
    std::string text;
    for (const pb::log_entry& item : log) {
        text += std::to_string(item.index()) + '/' + std::to_string(item.term()) + ' ';
    }
    return text;
}

journal open_journal(fake_folder& folder, journal_switches switches = {})
{
    result<journal> opened = journal::open(folder.open(), identity(), switches);
    REQUIRE(ok(opened));
    return value(std::move(opened));
}

pb::hard_state make_hard_state(std::uint64_t term)
{
    pb::hard_state created;
    created.set_term(term);
    return created;
}

void write(journal& log, const std::vector<pb::log_entry>& added)
{
    REQUIRE(ok(log.append(added)));
    REQUIRE(ok(log.sync()));
}

} // namespace

TEST_CASE("journal: synced data survives a crash")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(3))));
        write(log, entries(1, 10, 1));
        write(log, entries(11, 12, 3));
        REQUIRE(ok(log.append(entries(13, 14, 3))));
    }
    folder.crash();
    journal::contents recovered = open_journal(folder).take_contents();
    CHECK(recovered.identity.disk_id() == "disk");
    CHECK(recovered.hard_state.term() == 3);
    CHECK(summarize(recovered.entries) ==
          summarize(entries(1, 10, 1)) + summarize(entries(11, 12, 3)));
}

TEST_CASE("journal: a torn last write is truncated and synced data before it is kept")
{
    bool truncated = false;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        fake_folder folder(seed);
        {
            journal log = open_journal(folder);
            REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
            write(log, entries(1, 5, 1));
            folder.fail_writes_after(1); // the write succeeds, its sync fails
            REQUIRE(ok(log.append(entries(6, 9, 1))));
            CHECK_FALSE(ok(log.sync()));
        }
        folder.crash();
        folder.fail_writes_after(UINT64_MAX);
        journal log = open_journal(folder);
        const journal::contents recovered = log.take_contents();
        truncated = truncated || recovered.is_tail_truncated;
        const std::string complete = summarize(entries(1, 9, 1));
        const std::string earlier = summarize(entries(1, 5, 1));
        CHECK(
            (summarize(recovered.entries) == earlier || summarize(recovered.entries) == complete));
        const std::uint64_t next = recovered.entries.back().index() + 1;
        write(log, entries(next, next, 2));
        CHECK(open_journal(folder).take_contents().entries.back().term() == 2);
    }
    CHECK(truncated);
}

TEST_CASE("journal: a corrupt record before the tail is reported with file, offset and remedy")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
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

TEST_CASE("journal: a corrupt last record that was synced is reported, not truncated")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
        write(log, entries(1, 5, 1));
    }
    folder.flip_bit(first_segment, 480); // in the only record
    const result<journal> opened = journal::open(folder.open(), identity());
    REQUIRE(!ok(opened));
    CHECK(failure(opened).kind == error_kind::corrupt_storage);
}

// Guards against a process that takes a power loss for corruption and ends at each start: each
// write since the last sync may be missing, also the marker ahead of a record that is there.
TEST_CASE("journal: a marker that a power loss left out does not make the log unreadable")
{
    for (const bool is_last_marker_there : {true, false}) {
        fake_folder folder(1);
        std::uint64_t marker_end = 0;
        std::uint64_t end = 0;
        {
            journal log = open_journal(folder);
            REQUIRE(ok(log.write_hard_state(make_hard_state(2))));
            write(log, entries(1, 5, 1));
            marker_end = value(folder.open()->read(first_segment)).size();
            write(log, entries(6, 9, 1));
            end = value(folder.open()->read(first_segment)).size();
        }
        constexpr std::uint64_t marker_bytes = 32;
        if (!is_last_marker_there) {
            folder.truncate(first_segment, end - marker_bytes);
        }
        for (std::uint64_t byte = marker_end - marker_bytes; byte < marker_end; ++byte) {
            folder.flip_bit(first_segment, byte * 8);
        }
        {
            journal log = open_journal(folder);
            CHECK(summarize(log.take_contents().entries) == summarize(entries(1, 9, 1)));
            write(log, entries(10, 10, 2));
        }
        CHECK(open_journal(folder).take_contents().entries.back().index() == 10);
    }
}

TEST_CASE("journal: overwritten entries stay overwritten")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(2))));
        write(log, entries(1, 10, 1));
        REQUIRE(ok(log.truncate_from(6)));
        write(log, entries(6, 7, 2));
        REQUIRE(ok(log.truncate_from(7)));
        REQUIRE(ok(log.sync()));
    }
    folder.crash();
    CHECK(summarize(open_journal(folder).take_contents().entries) ==
          summarize(entries(1, 5, 1)) + "6/2 ");
}

TEST_CASE("journal: a non-consecutive entry is rejected")
{
    fake_folder folder(1);
    journal log = open_journal(folder);
    write(log, entries(1, 3, 1));
    CHECK_FALSE(ok(log.append(entries(5, 5, 1))));
}

TEST_CASE("journal: a snapshot removes covered files, which bounds the files read at startup")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
        for (std::uint64_t index = 1; index <= 300; ++index) {
            write(log, {entry(index, 1, 50'000)});
            if (index % 50 == 0) {
                REQUIRE(ok(log.write_snapshot(snapshot(index - 5, 1))));
            }
        }
    }
    CHECK(folder.names().size() < 8);
    journal log = open_journal(folder);
    const journal::contents recovered = log.take_contents();
    REQUIRE(recovered.snapshot);
    CHECK(recovered.snapshot->last_index() == 295);
    CHECK(summarize(recovered.entries) == summarize(entries(296, 300, 1)));
    REQUIRE(ok(log.write_snapshot(snapshot(295, 1))));
    CHECK(summarize(open_journal(folder).take_contents().entries) ==
          summarize(entries(296, 300, 1)));
}

TEST_CASE(
    "journal: a crash at any point of a snapshot installation leaves the old log or the snapshot")
{
    for (std::uint64_t writes = 0; writes < 12; ++writes) {
        fake_folder folder(writes + 1);
        {
            journal log = open_journal(folder);
            REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
            for (std::uint64_t index = 1; index <= 60; ++index) {
                write(log, {entry(index, 1, 60'000)});
            }
            folder.fail_writes_after(writes);
            static_cast<void>(
                log.write_snapshot(snapshot(40, 2))); // entry 40 of the log has term 1
        }
        folder.crash();
        folder.fail_writes_after(UINT64_MAX);
        journal log = open_journal(folder);
        const journal::contents recovered = log.take_contents();
        if (!recovered.snapshot) {
            CHECK(summarize(recovered.entries) == summarize(entries(1, 60, 1)));
            continue;
        }
        CHECK(recovered.entries.empty());
        write(log, {entry(41, 2)});
        CHECK(summarize(open_journal(folder).take_contents().entries) == "41/2 ");
    }
}

TEST_CASE("journal: a folder of another instance or with missing files is rejected")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
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
    journal log = open_journal(folder);
    folder.fail_writes_after(0);
    REQUIRE(ok(log.append(entries(1, 1, 1))));
    const auto synced = log.sync();
    REQUIRE(!ok(synced));
    CHECK(failure(synced).kind == error_kind::storage_failed);
}

TEST_CASE("journal: entries written after failed and short writes are readable")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        fake_folder folder(seed);
        journal log = open_journal(folder);
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
        std::uint64_t last = 0;
        while (last < 90) {
            // Entries of this size start a new file after a few writes.
            const std::size_t bytes = random() % 2 == 0 ? 20 : 100'000;
            REQUIRE(ok(log.append(std::vector{entry(last + 1, 1, bytes), entry(last + 2, 1)})));
            last += 2;
            if (random() % 3 == 0) {
                folder.set_state(random() % 2 == 0 ? disk_state::full : disk_state::sync_fails);
                for (std::uint64_t attempts = 1 + random() % 3; attempts > 0; --attempts) {
                    CHECK_FALSE(ok(log.sync()));
                }
                folder.set_state(disk_state::writable);
            }
            REQUIRE(ok(log.sync()));
            fake_folder copy = folder;
            copy.crash();
            const result<journal> opened = journal::open(copy.open(), identity());
            REQUIRE(ok(opened));
            REQUIRE(summarize(open_journal(copy).take_contents().entries) ==
                    summarize(entries(1, last, 1)));
        }
    }
}

TEST_CASE("journal: a crash after failed writes loses no entry that was synced before")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        fake_folder folder(seed);
        {
            journal log = open_journal(folder);
            REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
            write(log, entries(1, 5, 1));
            folder.set_state(seed % 2 == 0 ? disk_state::full : disk_state::sync_fails);
            REQUIRE(ok(log.truncate_from(5)));
            REQUIRE(ok(log.append(entries(5, 6, 2))));
            CHECK_FALSE(ok(log.sync()));
            CHECK_FALSE(ok(log.write_hard_state(make_hard_state(2))));
        }
        folder.crash();
        folder.set_state(disk_state::writable);
        const journal::contents recovered = open_journal(folder).take_contents();
        CHECK(recovered.hard_state.term() == 1);
        const std::string summary = summarize(recovered.entries);
        CHECK((summary == summarize(entries(1, 5, 1)) ||
               summary == summarize(entries(1, 4, 1)) + "5/2 6/2 "));
    }
}

TEST_CASE("journal: a process restarted after failed syncs takes nothing of them for durable")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        fake_folder folder(seed);
        {
            journal log = open_journal(folder);
            REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
            write(log, entries(1, 5, 1));
            folder.set_state(disk_state::sync_fails);
            REQUIRE(ok(log.append(entries(6, 7, 1))));
            CHECK_FALSE(ok(log.sync()));
            CHECK_FALSE(ok(log.write_hard_state(make_hard_state(2))));
        }
        folder.set_state(disk_state::writable);
        std::uint64_t term = 0;
        {
            journal log = open_journal(folder);
            const journal::contents contents = log.take_contents();
            CHECK(summarize(contents.entries) == summarize(entries(1, 5, 1)));
            term = contents.hard_state.term();
            write(log, entries(6, 6, 1));
        }
        folder.crash();
        const journal::contents recovered = open_journal(folder).take_contents();
        CHECK(recovered.hard_state.term() == term);
        CHECK(summarize(recovered.entries) == summarize(entries(1, 6, 1)));
    }
}

TEST_CASE("journal: a snapshot whose writes failed at any point can be written again")
{
    for (const std::uint64_t snapshot_term : {1, 2}) { // the log contains entry 60 of term 1
        for (std::uint64_t writes = 0; writes < 12; ++writes) {
            for (const std::uint64_t snapshot_index : {40, 60}) {
                CAPTURE(snapshot_term);
                CAPTURE(writes);
                CAPTURE(snapshot_index);
                fake_folder folder(writes + 1);
                journal log = open_journal(folder);
                REQUIRE(ok(log.write_hard_state(make_hard_state(2))));
                for (std::uint64_t index = 1; index <= 60; ++index) {
                    write(log, {entry(index, 1, 60'000)});
                }
                folder.fail_writes_after(writes);
                static_cast<void>(log.write_snapshot(snapshot(snapshot_index, snapshot_term)));
                folder.fail_writes_after(UINT64_MAX);
                REQUIRE(ok(log.write_snapshot(snapshot(snapshot_index, snapshot_term))));
                const std::uint64_t next = snapshot_term == 1 ? 61 : snapshot_index + 1;
                write(log, {entry(next, 2)});
                folder.crash();
                const journal::contents recovered = open_journal(folder).take_contents();
                REQUIRE(recovered.snapshot);
                CHECK(recovered.snapshot->last_index() == snapshot_index);
                CHECK(summarize(recovered.entries) ==
                      summarize(entries(snapshot_index + 1, next - 1, 1)) + std::to_string(next) +
                          "/2 ");
            }
        }
    }
}

TEST_CASE("journal: unsafe_skip_sync loses entries that were reported as durable")
{
    fake_folder folder(1);
    {
        journal log = open_journal(folder, journal_switches{.unsafe_skip_sync = true});
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
        write(log, entries(1, 5, 1));
    }
    folder.crash();
    CHECK(open_journal(folder).take_contents().entries.size() < 5);
}

namespace {

// The log after each sync of a random sequence of writes, and the last snapshot.
struct random_history {
    std::vector<std::vector<pb::log_entry>> states{{}};
    std::optional<pb::snapshot_record> last_snapshot;
};

random_history write_random_history(fake_folder& folder, std::mt19937_64& random)
{
    random_history history;
    std::vector<pb::log_entry> log;
    journal files = open_journal(folder);
    REQUIRE(ok(files.write_hard_state(make_hard_state(9))));
    std::uint64_t snapshot_index = 0;
    for (std::uint64_t step = 1; step <= 30; ++step) {
        const std::uint64_t last = log.empty() ? 0 : log.back().index();
        if (random() % 5 == 0 && last > snapshot_index + 1) {
            const std::uint64_t from = snapshot_index + 1 + random() % (last - snapshot_index);
            REQUIRE(ok(files.truncate_from(from)));
            log.resize(from - 1);
        }
        const std::uint64_t next = log.size() + 1;
        const std::vector<pb::log_entry> added = entries(next, next + random() % 4, step);
        log.insert(log.end(), added.begin(), added.end());
        write(files, added);
        history.states.push_back(log);
        if (random() % 10 == 0) {
            snapshot_index = snapshot_index + 1 + random() % (log.size() - snapshot_index);
            history.last_snapshot = snapshot(snapshot_index, log[snapshot_index - 1].term());
            REQUIRE(ok(files.write_snapshot(*history.last_snapshot)));
        }
    }
    return history;
}

std::string summarize_after(std::vector<pb::log_entry> log, std::uint64_t snapshot_index)
{
    std::erase_if(log, [&](const pb::log_entry& item) { return item.index() <= snapshot_index; });
    return summarize(log);
}

// Flips a random bit of a random file, or truncates the file at a random offset.
void corrupt_random_file(fake_folder& folder, std::mt19937_64& random)
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

TEST_CASE("journal: corruption gives an earlier state of the log or an error, never other contents")
{
    int rejected = 0;
    int accepted = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        fake_folder folder(seed);
        const random_history history = write_random_history(folder, random);
        const std::uint64_t snapshot_index =
            history.last_snapshot ? history.last_snapshot->last_index() : 0;
        CHECK(summarize(open_journal(folder).take_contents().entries) ==
              summarize_after(history.states.back(), snapshot_index));
        corrupt_random_file(folder, random);
        result<journal> opened = journal::open(folder.open(), identity());
        if (!ok(opened)) {
            ++rejected;
            CHECK(failure(opened).kind == error_kind::corrupt_storage);
            continue;
        }
        ++accepted;
        const journal::contents recovered = value(opened).take_contents();
        CHECK(recovered.hard_state.term() == 9);
        CHECK(recovered.snapshot.has_value() == history.last_snapshot.has_value());
        const std::string summary = summarize(recovered.entries);
        const bool is_earlier_state =
            std::any_of(history.states.begin(), history.states.end(), [&](const auto& state) {
                return summarize_after(state, snapshot_index) == summary;
            });
        CHECK((is_earlier_state || summary.empty()));
    }
    CHECK(rejected > 50);
    CHECK(accepted > 50);
}

namespace {

// A temporary folder on the real file system, removed on destruction.
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

TEST_CASE("journal: a folder on disk keeps its contents and is locked by one process")
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
        REQUIRE(ok(log.write_hard_state(make_hard_state(4))));
        write(log, entries(1, 20, 1));
        REQUIRE(ok(log.write_snapshot(snapshot(10, 1))));
        REQUIRE(ok(log.truncate_from(15)));
        write(log, entries(15, 16, 4));
    }
    auto disk = primrosehead::open_posix_disk(scratch.path());
    REQUIRE(ok(disk));
    result<journal> opened = journal::open(value(std::move(disk)), identity());
    REQUIRE(ok(opened));
    const journal::contents recovered = value(opened).take_contents();
    CHECK(recovered.hard_state.term() == 4);
    CHECK(recovered.snapshot->state() == "state 10");
    CHECK(summarize(recovered.entries) == summarize(entries(11, 14, 1)) + "15/4 16/4 ");
}

namespace {

// Limits the size of the files that this process writes; the limit ends with its lifetime.
class file_size_limit {
  public:
    explicit file_size_limit(rlim_t bytes) : handler_(std::signal(SIGXFSZ, SIG_IGN))
    {
        REQUIRE(::getrlimit(RLIMIT_FSIZE, &previous_) == 0);
        const rlimit limited{bytes, previous_.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &limited) == 0);
    }
    ~file_size_limit()
    {
        ::setrlimit(RLIMIT_FSIZE, &previous_);
        std::signal(SIGXFSZ, handler_);
    }
    file_size_limit(const file_size_limit&) = delete;
    file_size_limit& operator=(const file_size_limit&) = delete;

  private:
    rlimit previous_{};
    void (*handler_)(int);
};

} // namespace

TEST_CASE("journal: entries written after a short write of the operating system are readable")
{
    const scratch_folder scratch;
    {
        auto disk = primrosehead::open_posix_disk(scratch.path());
        REQUIRE(ok(disk));
        result<journal> opened = journal::open(value(std::move(disk)), identity());
        REQUIRE(ok(opened));
        journal& log = value(opened);
        REQUIRE(ok(log.write_hard_state(make_hard_state(1))));
        write(log, entries(1, 5, 1));
        REQUIRE(ok(log.append(std::vector{entry(6, 1, 5'000)})));
        {
            const file_size_limit limit(2'000);
            const auto failed = log.sync();
            REQUIRE(!ok(failed));
            CHECK(failure(failed).kind == error_kind::storage_failed);
            CHECK_FALSE(ok(log.sync()));
        }
        REQUIRE(ok(log.sync()));
        write(log, entries(7, 8, 1));
    }
    auto disk = primrosehead::open_posix_disk(scratch.path());
    REQUIRE(ok(disk));
    result<journal> opened = journal::open(value(std::move(disk)), identity());
    REQUIRE(ok(opened));
    CHECK(summarize(value(opened).take_contents().entries) == summarize(entries(1, 8, 1)));
}

TEST_CASE("journal: a folder that cannot be created is reported")
{
    const auto disk = primrosehead::open_posix_disk("/proc/primrosehead");
    REQUIRE(!ok(disk));
    CHECK(failure(disk).kind == error_kind::storage_failed);
    CHECK(!failure(disk).remedy.empty());
}
