#include "standin_files.h"

#include "lab_json.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <unistd.h>

namespace primrosehead::standin {

namespace {

constexpr const char* term_file = "/term";
constexpr const char* log_file = "/log.jsonl";

// Replaces a small file atomically: after a crash it has either the old or the new text.
void replace_file_synced(const std::string& path, const std::string& text)
{
    const std::string temporary_path = path + ".next";
    const int file = ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    const bool is_written =
        file >= 0 && ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
        ::fsync(file) == 0;
    if (file >= 0) {
        ::close(file);
    }
    if (!is_written || ::rename(temporary_path.c_str(), path.c_str()) != 0) {
        std::abort(); // a term that is not durable must not be acknowledged
    }
}

std::string read_file(const std::string& path)
{
    std::ostringstream contents;
    contents << std::ifstream(path).rdbuf();
    return contents.str();
}

} // namespace

result<std::unique_ptr<file_storage>> file_storage::open(const std::string& folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
        return error{error_kind::storage_failed,
                     "Cannot create directory " + folder + ": " + ec.message(),
                     "Set data_folder to a directory that this user can write."};
    }
    std::unique_ptr<file_storage> opened(new file_storage(folder));
    const status loaded = opened->load();
    if (!ok(loaded)) {
        return failure(loaded);
    }
    return opened;
}

status file_storage::load()
{
    const std::string term = read_file(folder_ + term_file);
    std::from_chars(term.data(), term.data() + term.size(), contents_.term);
    const std::string log = read_file(folder_ + log_file);
    std::size_t start = 0;
    for (std::size_t end = log.find('\n'); end != std::string::npos; end = log.find('\n', start)) {
        const std::string_view line = std::string_view(log).substr(start, end - start);
        const result<boost::json::value> parsed = lab::parse_json(line);
        if (!ok(parsed)) {
            return error{error_kind::corrupt_storage,
                         folder_ + log_file + " has a line that is not valid JSON.",
                         "Start this server with an empty data_folder."};
        }
        const boost::json::object* members = value(parsed).if_object();
        const boost::json::value* truncation =
            members == nullptr ? nullptr : members->if_contains("truncated_after");
        if (truncation != nullptr) {
            contents_.entries.resize(truncation->to_number<std::size_t>());
        }
        else {
            result<log_entry> entry = log_entry_from(value(parsed));
            if (!ok(entry)) {
                return failure(entry);
            }
            contents_.entries.push_back(std::move(value(entry)));
        }
        start = end + 1;
    }
    rewrite_log(start);
    return std::monostate{};
}

void file_storage::rewrite_log(std::size_t valid_bytes)
{
    const std::string path = folder_ + log_file;
    std::error_code ec;
    if (std::filesystem::exists(path, ec)) {
        std::filesystem::resize_file(path, valid_bytes, ec);
    }
    log_.open(path, std::ios::app);
}

void file_storage::save_term(std::uint64_t term)
{
    replace_file_synced(folder_ + term_file, std::to_string(term));
}

void file_storage::append_entry(const log_entry& entry)
{
    log_ << boost::json::serialize(to_json(entry)) << '\n' << std::flush;
}

void file_storage::truncate_after(std::uint64_t index)
{
    log_ << boost::json::serialize(boost::json::object{{"truncated_after", index}}) << '\n'
         << std::flush;
}

} // namespace primrosehead::standin
