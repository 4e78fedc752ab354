// Files of a data folder on a POSIX file system.
#include <primrosehead/journal.h>

#include <sys/file.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <map>
#include <unistd.h>
#include <utility>

namespace primrosehead {

namespace {

constexpr std::string_view lock_file = "lock";
constexpr std::string_view unfinished_suffix = ".new";
constexpr mode_t file_mode = 0600;
constexpr mode_t folder_mode = 0700;

error refused(std::string_view action, std::string_view path)
{
    return error{error_kind::storage_failed,
                 "Could not " + std::string(action) + ' ' + std::string(path) + ": " +
                     std::strerror(errno) + ".",
                 "Check that the disk of `data_folder` is there, writable and not full."};
}

// Closes its descriptor at the end.
class descriptor {
  public:
    explicit descriptor(int number) : number_(number) {}
    ~descriptor()
    {
        if (number_ >= 0) {
            ::close(number_);
        }
    }
    descriptor(descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        std::swap(number_, other.number_);
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    [[nodiscard]] int number() const { return number_; }
    [[nodiscard]] bool open() const { return number_ >= 0; }

  private:
    int number_;
};

bool write_all(int number, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(number, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

class posix_disk : public disk {
  public:
    posix_disk(std::string folder, descriptor opened, descriptor lock)
        : folder_(std::move(folder)), folder_descriptor_(std::move(opened)), lock_(std::move(lock))
    {
    }

    result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        DIR* opened = ::opendir(folder_.c_str());
        if (opened == nullptr) {
            return refused("list", folder_);
        }
        while (const dirent* entry = ::readdir(opened)) {
            const std::string name(entry->d_name);
            if (name != "." && name != ".." && name != lock_file &&
                !name.ends_with(unfinished_suffix)) {
                names.push_back(name);
            }
        }
        ::closedir(opened);
        return names;
    }

    result<std::string> read(std::string_view file) override
    {
        const std::string path = path_of(file);
        const descriptor opened(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!opened.open()) {
            return refused("open", path);
        }
        std::string bytes;
        std::string block(read_block_bytes, '\0');
        while (true) {
            const ssize_t count = ::read(opened.number(), block.data(), block.size());
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count < 0) {
                return refused("read", path);
            }
            if (count == 0) {
                return bytes;
            }
            bytes.append(block, 0, static_cast<std::size_t>(count));
        }
    }

    status append(std::string_view file, std::string_view bytes) override
    {
        const result<int> opened = appendable(file);
        if (!ok(opened)) {
            return failure(opened);
        }
        if (!write_all(value(opened), bytes)) {
            return refused("write", path_of(file));
        }
        return std::monostate{};
    }

    status truncate(std::string_view file, std::uint64_t size) override
    {
        const result<int> opened = appendable(file);
        if (!ok(opened)) {
            return failure(opened);
        }
        if (::ftruncate(value(opened), static_cast<off_t>(size)) != 0) {
            return refused("truncate", path_of(file));
        }
        return std::monostate{};
    }

    status replace(std::string_view file, std::string_view bytes) override
    {
        const std::string path = path_of(file);
        const std::string unfinished = path + std::string(unfinished_suffix);
        {
            const descriptor opened(
                ::open(unfinished.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
            if (!opened.open() || !write_all(opened.number(), bytes)) {
                return refused("write", unfinished);
            }
            if (::fsync(opened.number()) != 0) {
                return refused("sync", unfinished);
            }
        }
        if (::rename(unfinished.c_str(), path.c_str()) != 0) {
            return refused("rename", unfinished);
        }
        return sync_folder();
    }

    status remove(std::string_view file) override
    {
        const std::string path = path_of(file);
        appended_.erase(std::string(file));
        if (::unlink(path.c_str()) != 0) {
            return refused("remove", path);
        }
        return sync_folder();
    }

    status sync(std::string_view file) override
    {
        const result<int> opened = appendable(file);
        if (!ok(opened)) {
            return failure(opened);
        }
        if (::fsync(value(opened)) != 0) {
            return refused("sync", path_of(file));
        }
        return std::exchange(folder_changed_, false) ? sync_folder() : status(std::monostate{});
    }

  private:
    static constexpr std::size_t read_block_bytes = 65'536;

    [[nodiscard]] std::string path_of(std::string_view file) const
    {
        return folder_ + '/' + std::string(file);
    }

    result<int> appendable(std::string_view file)
    {
        const auto known = appended_.find(file);
        if (known != appended_.end()) {
            return known->second.number();
        }
        const std::string path = path_of(file);
        descriptor opened(
            ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
        if (!opened.open()) {
            return refused("open", path);
        }
        const int number = opened.number();
        appended_.emplace(std::string(file), std::move(opened));
        folder_changed_ = true;
        return number;
    }

    status sync_folder()
    {
        if (::fsync(folder_descriptor_.number()) != 0) {
            return refused("sync", folder_);
        }
        return std::monostate{};
    }

    std::string folder_;
    descriptor folder_descriptor_;
    descriptor lock_; // held while the process lives
    std::map<std::string, descriptor, std::less<>> appended_;
    bool folder_changed_ = false; // a new name is not synced yet
};

} // namespace

result<std::unique_ptr<disk>> open_posix_disk(std::string_view folder)
{
    const std::string path(folder);
    if (::mkdir(path.c_str(), folder_mode) != 0 && errno != EEXIST) {
        return refused("make", path);
    }
    descriptor opened(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.open()) {
        return refused("open", path);
    }
    const std::string lock_path = path + '/' + std::string(lock_file);
    descriptor lock(::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock.open()) {
        return refused("open", lock_path);
    }
    if (::flock(lock.number(), LOCK_EX | LOCK_NB) != 0) {
        return error{error_kind::storage_failed,
                     "Another process uses the data folder " + path + ".",
                     "Stop it, or set `data_folder` to a folder of this instance's own."};
    }
    return std::unique_ptr<disk>(
        std::make_unique<posix_disk>(path, std::move(opened), std::move(lock)));
}

} // namespace primrosehead
