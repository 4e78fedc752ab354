// Clients that look something up again and again, each with one request at a time, as PROTOCOL.md describes
// sessions. When a connection ends, the client connects again. Ends when its standard input does, or after
// SECONDS, and writes one line for each request that got no complete answer:
//
//     LOST ID SENT_US ENDED_US
//
// and at last "DONE answered A refused R connections C".
//
//     lookup_clients IP:PORT DATABASE KEY SESSIONS SECONDS PAUSE_US FIRST_ID
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

long now_us()
{
    using steady = std::chrono::steady_clock;
    return std::chrono::duration_cast<std::chrono::microseconds>(steady::now().time_since_epoch()).count();
}

struct client {
    int descriptor = -1;
    std::string input;
    bool is_started = false;
    bool is_waiting = false; // for the answer to its request
    bool is_error = false;
    std::string id;
    long sent_us = 0;
    long next_us = 0; // when it sends or connects
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 8) {
        return 2;
    }
    const std::string target = arguments[1], database = arguments[2], key = arguments[3];
    const int sessions = std::atoi(arguments[4]);
    const long end_us = now_us() + std::atol(arguments[5]) * 1'000'000;
    const long pause_us = std::atol(arguments[6]);
    unsigned long next_id = std::strtoul(arguments[7], nullptr, 10);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::size_t colon = target.rfind(':');
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(target.c_str() + colon + 1)));
    inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr);
    const int poll = epoll_create1(0);
    std::vector<client> clients(static_cast<std::size_t>(sessions));
    long answered = 0, refused = 0, connections = 0;
    const auto disconnect = [&](client& each) {
        if (each.is_waiting) {
            std::printf("LOST %s %ld %ld\n", each.id.c_str(), each.sent_us, now_us());
            std::fflush(stdout);
        }
        close(each.descriptor);
        each = client{};
        each.next_us = now_us() + 100'000;
    };
    const auto ask = [&](client& each) {
        char id[32];
        std::snprintf(id, sizeof id, "%016lx", next_id++);
        each.id = id;
        each.is_waiting = true;
        each.is_error = false;
        each.sent_us = now_us();
        const std::string line = "QUERY " + each.id + " FETCH 1a4\r\n";
        if (send(each.descriptor, line.data(), line.size(), MSG_NOSIGNAL) < 0) {
            each.is_waiting = false; // nothing was sent
            disconnect(each);
        }
    };
    const auto open = [&](client& each, std::size_t index) {
        each.descriptor = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(each.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (connect(each.descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            disconnect(each);
            return;
        }
        ++connections;
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = index;
        epoll_ctl(poll, EPOLL_CTL_ADD, each.descriptor, &event);
        const std::string line = "STARTUP " + database + " " + key + "\r\n";
        send(each.descriptor, line.data(), line.size(), MSG_NOSIGNAL);
    };
    std::vector<epoll_event> events(256);
    while (now_us() < end_us) {
        for (std::size_t i = 0; i < clients.size(); ++i) {
            client& each = clients[i];
            if (now_us() < each.next_us) {
                continue;
            }
            if (each.descriptor < 0) {
                open(each, i);
            }
            else if (each.is_started && !each.is_waiting) {
                ask(each);
            }
        }
        const int ready = epoll_wait(poll, events.data(), 256, 1);
        for (int i = 0; i < ready; ++i) {
            client& each = clients[events[static_cast<std::size_t>(i)].data.u64];
            char buffer[16384];
            const ssize_t size = recv(each.descriptor, buffer, sizeof buffer, 0);
            if (size <= 0) {
                disconnect(each);
                continue;
            }
            each.input.append(buffer, static_cast<std::size_t>(size));
            for (std::size_t end; (end = each.input.find("\r\n")) != std::string::npos;) {
                const std::string line = each.input.substr(0, end);
                each.input.erase(0, end + 2);
                each.is_error = each.is_error || line.rfind("ERR ", 0) == 0;
                if (line.rfind("READY ", 0) != 0) {
                    continue;
                }
                if (each.is_waiting) {
                    ++(each.is_error ? refused : answered);
                    each.is_waiting = false;
                }
                each.is_started = true;
                each.next_us = now_us() + (each.is_error ? 20'000 : pause_us);
                if (pause_us == 0 && !each.is_error) {
                    ask(each);
                }
            }
        }
    }
    std::printf("DONE answered %ld refused %ld connections %ld\n", answered, refused, connections);
    return 0;
}
