// Implements `disk` on a POSIX file system.
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
constexpr std::string_view temporary_suffix = ".new";
constexpr mode_t file_mode = 0600;
constexpr mode_t folder_mode = 0700;

error io_error(std::string_view action, std::string_view path)
{
    return error{error_kind::storage_failed,
                 "Failed to " + std::string(action) + ' ' + std::string(path) + ": " +
                     std::strerror(errno) + ".",
                 "Check that the disk of `data_folder` is mounted, writable and not full."};
}

// Owns a file descriptor.
class descriptor {
  public:
    explicit descriptor(int fd) : fd_(fd) {}
    ~descriptor()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    descriptor(descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] bool is_open() const { return fd_ >= 0; }

  private:
    int fd_;
};

bool write_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
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
    posix_disk(std::string folder, descriptor folder_descriptor, descriptor lock)
        : folder_(std::move(folder)), folder_descriptor_(std::move(folder_descriptor)),
          lock_(std::move(lock))
    {
    }

    result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        DIR* directory = ::opendir(folder_.c_str());
        if (directory == nullptr) {
            return io_error("list", folder_);
        }
        while (const dirent* entry = ::readdir(directory)) {
            const std::string name(entry->d_name);
            if (name != "." && name != ".." && name != lock_file &&
                !name.ends_with(temporary_suffix)) {
                names.push_back(name);
            }
        }
        ::closedir(directory);
        return names;
    }

    result<std::string> read(std::string_view file) override
    {
        const std::string path = path_of(file);
        const descriptor input(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!input.is_open()) {
            return io_error("open", path);
        }
        std::string bytes;
        std::string block(read_block_bytes, '\0');
        while (true) {
            const ssize_t count = ::read(input.fd(), block.data(), block.size());
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count < 0) {
                return io_error("read", path);
            }
            if (count == 0) {
                return bytes;
            }
            bytes.append(block, 0, static_cast<std::size_t>(count));
        }
    }

    status append(std::string_view file, std::string_view bytes) override
    {
        const result<int> fd = open_for_append(file);
        if (!ok(fd)) {
            return failure(fd);
        }
        if (!write_all(value(fd), bytes)) {
            return io_error("write", path_of(file));
        }
        return std::monostate{};
    }

    status truncate(std::string_view file, std::uint64_t size) override
    {
        const result<int> fd = open_for_append(file);
        if (!ok(fd)) {
            return failure(fd);
        }
        if (::ftruncate(value(fd), static_cast<off_t>(size)) != 0) {
            return io_error("truncate", path_of(file));
        }
        return std::monostate{};
    }

    status replace(std::string_view file, std::string_view bytes) override
    {
        const std::string path = path_of(file);
        const std::string temporary = path + std::string(temporary_suffix);
        {
            const descriptor output(
                ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
            if (!output.is_open() || !write_all(output.fd(), bytes)) {
                return io_error("write", temporary);
            }
            if (::fsync(output.fd()) != 0) {
                return io_error("sync", temporary);
            }
        }
        if (::rename(temporary.c_str(), path.c_str()) != 0) {
            return io_error("rename", temporary);
        }
        return sync_folder();
    }

    status remove(std::string_view file) override
    {
        const std::string path = path_of(file);
        append_descriptors_.erase(std::string(file));
        if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
            return io_error("remove", path);
        }
        return sync_folder();
    }

    status sync(std::string_view file) override
    {
        const result<int> fd = open_for_append(file);
        if (!ok(fd)) {
            return failure(fd);
        }
        if (::fsync(value(fd)) != 0) {
            return io_error("sync", path_of(file));
        }
        if (!folder_sync_pending_) {
            return std::monostate{};
        }
        status synced = sync_folder();
        folder_sync_pending_ = !ok(synced);
        return synced;
    }

  private:
    static constexpr std::size_t read_block_bytes = 65'536;

    [[nodiscard]] std::string path_of(std::string_view file) const
    {
        return folder_ + '/' + std::string(file);
    }

    result<int> open_for_append(std::string_view file)
    {
        const auto existing = append_descriptors_.find(file);
        if (existing != append_descriptors_.end()) {
            return existing->second.fd();
        }
        const std::string path = path_of(file);
        descriptor output(
            ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
        if (!output.is_open()) {
            return io_error("open", path);
        }
        const int fd = output.fd();
        append_descriptors_.emplace(std::string(file), std::move(output));
        folder_sync_pending_ = true;
        return fd;
    }

    status sync_folder()
    {
        if (::fsync(folder_descriptor_.fd()) != 0) {
            return io_error("sync", folder_);
        }
        return std::monostate{};
    }

    std::string folder_;
    descriptor folder_descriptor_;
    descriptor lock_; // held for the lifetime of the process
    std::map<std::string, descriptor, std::less<>> append_descriptors_;
    bool folder_sync_pending_ = false; // a file was created since the last sync
};

} // namespace

result<std::unique_ptr<disk>> open_posix_disk(std::string_view folder)
{
    const std::string path(folder);
    if (::mkdir(path.c_str(), folder_mode) != 0 && errno != EEXIST) {
        return io_error("create", path);
    }
    descriptor folder_descriptor(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder_descriptor.is_open()) {
        return io_error("open", path);
    }
    const std::string lock_path = path + '/' + std::string(lock_file);
    descriptor lock(::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock.is_open()) {
        return io_error("open", lock_path);
    }
    if (::flock(lock.fd(), LOCK_EX | LOCK_NB) != 0) {
        return error{
            error_kind::storage_failed,
            "The data folder " + path + " is locked by another process.",
            "Stop that process, or set `data_folder` to a folder that only this instance uses."};
    }
    return std::unique_ptr<disk>(
        std::make_unique<posix_disk>(path, std::move(folder_descriptor), std::move(lock)));
}

} // namespace primrosehead
