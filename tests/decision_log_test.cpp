#include <primrosehead/decision_log.h>
#include <primrosehead/log.h>
#include <primrosehead/settings.h>

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <filesystem>
#include <string>
#include <unistd.h>

using namespace primrosehead;

namespace {

decision make_decision(std::string_view request, std::string_view choice)
{
    decision made;
    made.request = request;
    made.at_ms = 5;
    made.part = "route";
    made.choice = choice;
    made.reason = "local_replica";
    return made;
}

// A file of this test process that is removed at the end.
class scratch_file {
  public:
    explicit scratch_file(std::string_view name)
        : path_(std::filesystem::temp_directory_path() /
                (std::string(name) + "-" + std::to_string(getpid())))
    {
    }
    ~scratch_file() { std::filesystem::remove(path_); }
    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;

    [[nodiscard]] std::string path() const { return path_.string(); }
    [[nodiscard]] std::string text() const { return value(read_file(path())); }

  private:
    std::filesystem::path path_;
};

// Puts the default logger back at the end of a test.
class logger_guard {
  public:
    logger_guard() : before_(spdlog::default_logger()) {}
    ~logger_guard() { spdlog::set_default_logger(before_); }
    logger_guard(const logger_guard&) = delete;
    logger_guard& operator=(const logger_guard&) = delete;

  private:
    std::shared_ptr<spdlog::logger> before_;
};

} // namespace

TEST_CASE("decision log: a request's decisions are found in their order, memory is bounded")
{
    const logger_guard quiet;
    REQUIRE(ok(configure_logging({"error", "text", ""}, "test")));
    auto opened = decision_log::open({}, 4);
    REQUIRE(ok(opened));
    decision_log& log = *value(opened);
    log.record(make_decision("r-1", "a"));
    log.record(make_decision("r-2", "b"));
    log.record(make_decision("r-1", "c"));
    REQUIRE(log.find("r-1").size() == 2);
    CHECK(log.find("r-1")[1].choice == "c");
    CHECK(log.find("r-9").empty());
    log.record(make_decision("r-3", "d"));
    log.record(make_decision("r-3", "e"));
    REQUIRE(log.find("r-1").size() == 1);
    CHECK(log.find("r-1")[0].choice == "c");
    for (int index = 0; index < 100; ++index) {
        log.record(make_decision("r-4", std::to_string(index)));
    }
    CHECK(log.find("r-1").empty());
    REQUIRE(log.find("r-4").size() == 4);
    CHECK(log.find("r-4")[3].choice == "99");
}

TEST_CASE("decision log: each decision is a JSON line of the file and a log line with its prefix")
{
    const scratch_file decisions("decisions");
    const scratch_file lines("lines");
    const logger_guard quiet;
    REQUIRE(ok(configure_logging({"info", "json", lines.path()}, "entry-1")));
    auto opened = decision_log::open(decisions.path());
    REQUIRE(ok(opened));
    value(opened)->record(make_decision("r-1", "server \"s1\"\n"));
    spdlog::default_logger()->flush();
    const auto noted = boost::json::parse(decisions.text()).as_object();
    CHECK(noted.at("request").as_string() == "r-1");
    CHECK(noted.at("choice").as_string() == "server \"s1\"\n");
    const auto logged = boost::json::parse(lines.text()).as_object();
    CHECK(logged.at("part").as_string() == "route");
    CHECK(logged.at("process").as_string() == "entry-1");
    CHECK(logged.at("level").as_string() == "info");
    CHECK(logged.at("text").as_string().starts_with("r-1 server"));
    CHECK(value(opened)->failed_writes() == 0);
    CHECK(boost::json::parse(to_json(value(opened)->find("r-1"))).as_array().size() == 1);
}

TEST_CASE("logs: a file that can't be opened is a typed error")
{
    const logger_guard quiet;
    const auto log = decision_log::open("/nonexistent/decisions");
    REQUIRE_FALSE(ok(log));
    CHECK(failure(log).kind == error_kind::bad_settings);
    const status set_up = configure_logging({"info", "text", "/proc/nonexistent/log"}, "test");
    REQUIRE_FALSE(ok(set_up));
    CHECK(failure(set_up).kind == error_kind::bad_settings);
}

TEST_CASE("logs: the level is kept and text lines carry time and level")
{
    const scratch_file lines("text-lines");
    const logger_guard quiet;
    REQUIRE(ok(configure_logging({"warn", "text", lines.path()}, "test")));
    spdlog::info("entry: Not shown.");
    spdlog::warn("entry: Shown.");
    const std::string text = lines.text();
    CHECK(text.find("Not shown") == std::string::npos);
    CHECK(text.ends_with(" warning entry: Shown.\n"));
}
