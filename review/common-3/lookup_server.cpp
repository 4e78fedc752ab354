// Stand-in of the database servers of one service for read-only load, as PROTOCOL.md describes them: the first
// address is the primary, the others are replicas with the same log. Writes "TIME_MS ID" for each FETCH that ran
// to standard output when it is told to stop by the end of its standard input.
//
//     lookup_server SERVICE WORK_US NAME=IP:PORT...
//
// "FETCH report-N" has a result of N rows of 1,000 bytes.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;

long now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(steady::now().time_since_epoch()).count();
}

struct server {
    std::string name;
    bool is_primary = false;
    int descriptor = -1;
    std::string ready(const char* state) const { return std::string("READY ") + state + " 1.1\r\n"; }
};

struct connection {
    int descriptor = -1;
    const server* at = nullptr;
    std::string input;
    bool has_started = false;
    std::string state = "I";
};

struct answer {
    long due_us;
    int descriptor;
    std::weak_ptr<connection> to;
    std::string text;
};

std::vector<std::pair<long, std::string>> runs;
std::deque<answer> waiting;
long work_us = 0;

void send_all(int descriptor, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count < 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

std::string execute(connection& from, const std::string& id, std::string text, bool& takes_time)
{
    const server& at = *from.at;
    if (text.rfind("AFTER ", 0) == 0) {
        text = text.substr(text.find(' ', 6) + 1);
    }
    const std::string verb = text.substr(0, text.find(' '));
    if (verb == "BEGIN") {
        if (text == "BEGIN" && !at.is_primary) {
            return "ERR READONLY " + at.name + "\r\n" + at.ready("I");
        }
        from.state = "T";
    }
    if (verb == "ROLLBACK" || verb == "COMMIT") {
        from.state = "I";
    }
    if (verb == "FETCH") {
        takes_time = true;
        runs.emplace_back(now_us(), id);
        const std::size_t report = text.find("report-");
        if (report != std::string::npos) {
            const std::string row = "DATAROW " + std::string(1'000, 'r') + "\r\n";
            const long count = std::atol(text.c_str() + report + 7);
            std::string rows;
            rows.reserve(row.size() * static_cast<std::size_t>(count));
            for (long i = 0; i < count; ++i) {
                rows += row;
            }
            return rows + "COMPLETE " + at.name + "." + id + "\r\n" + at.ready(from.state.c_str());
        }
        return "DATAROW row-of-" + id + "\r\nCOMPLETE " + at.name + "." + id + "\r\n" + at.ready(from.state.c_str());
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        return std::string("DATAROW ") + (at.is_primary ? "primary" : "replica") + " 1 1.1 0 0 0 1\r\nCOMPLETE -\r\n" +
               at.ready("I");
    }
    return "COMPLETE -\r\n" + at.ready(from.state.c_str());
}

bool handle(const std::shared_ptr<connection>& from, const std::string& service, const std::string& line)
{
    if (!from->has_started) {
        char word[16], name[128], who[128], expected[128] = "";
        std::sscanf(line.c_str(), "%15s %127s %127s %127s", word, name, who, expected);
        from->has_started = true;
        if (service != name || (expected[0] != 0 && from->at->name != expected)) {
            send_all(from->descriptor, "ERR MISROUTED " + from->at->name + "\r\n");
            return false;
        }
        send_all(from->descriptor, from->at->ready("I"));
        return true;
    }
    if (line.rfind("QUERY ", 0) != 0) {
        return false;
    }
    const std::size_t end = line.find(' ', 6);
    bool takes_time = false;
    std::string text = execute(*from, line.substr(6, end - 6), line.substr(end + 1), takes_time);
    if (takes_time && work_us > 0) {
        waiting.push_back({now_us() + work_us, from->descriptor, from, std::move(text)});
    }
    else {
        waiting.push_back({0, from->descriptor, from, std::move(text)});
    }
    return true;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 4) {
        return 2;
    }
    const std::string service = arguments[1];
    work_us = std::atol(arguments[2]);
    const int poll = epoll_create1(0);
    std::map<int, server> servers;
    std::map<int, std::shared_ptr<connection>> connections;
    for (int i = 3; i < count; ++i) {
        const std::string text = arguments[i];
        const std::size_t equals = text.find('='), colon = text.rfind(':');
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
        inet_pton(AF_INET, text.substr(equals + 1, colon - equals - 1).c_str(), &address.sin_addr);
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener, 512) != 0) {
            return 2;
        }
        servers[listener] = server{text.substr(0, equals), i == 3, listener};
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = listener;
        epoll_ctl(poll, EPOLL_CTL_ADD, listener, &event);
    }
    epoll_event input{};
    input.events = EPOLLIN;
    input.data.fd = 0;
    epoll_ctl(poll, EPOLL_CTL_ADD, 0, &input);
    std::vector<epoll_event> events(256);
    while (true) {
        const bool is_due = !waiting.empty() && waiting.front().due_us <= now_us();
        const int ready = epoll_wait(poll, events.data(), 256, waiting.empty() ? 1000 : is_due ? 0 : 1);
        for (int i = 0; i < ready; ++i) {
            const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
            if (descriptor == 0) {
                char byte;
                if (read(0, &byte, 1) <= 0) {
                    for (const auto& [at, id] : runs) {
                        std::printf("%ld %s\n", at, id.c_str());
                    }
                    return 0;
                }
                continue;
            }
            if (const auto found = servers.find(descriptor); found != servers.end()) {
                const int accepted = accept(descriptor, nullptr, nullptr);
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                auto made = std::make_shared<connection>();
                made->descriptor = accepted;
                made->at = &found->second;
                connections[accepted] = made;
                epoll_event event{};
                event.events = EPOLLIN;
                event.data.fd = accepted;
                epoll_ctl(poll, EPOLL_CTL_ADD, accepted, &event);
                continue;
            }
            const std::shared_ptr<connection> from = connections[descriptor];
            char buffer[65536];
            const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
            bool stays = size > 0;
            if (stays) {
                from->input.append(buffer, static_cast<std::size_t>(size));
            }
            for (std::size_t end; stays && (end = from->input.find("\r\n")) != std::string::npos;) {
                const std::string line = from->input.substr(0, end);
                from->input.erase(0, end + 2);
                stays = handle(from, service, line);
            }
            if (!stays) {
                connections.erase(descriptor);
                close(descriptor);
            }
        }
        // Answers leave in the order of their requests: a connection has one request at a time.
        const long now = now_us();
        std::deque<answer> later;
        for (answer& each : waiting) {
            if (each.due_us > now) {
                later.push_back(std::move(each));
            }
            else if (const auto to = each.to.lock()) {
                send_all(to->descriptor, each.text);
            }
        }
        waiting.swap(later);
    }
}
