#include "primrosehead.pb.h"

#include <primrosehead/bus.h>
#include <primrosehead/config.h>

#include <spdlog/spdlog.h>
#include <sys/eventfd.h>

#include <atomic>
#include <mutex>
#include <unistd.h>
#include <unordered_map>
#include <vector>
#include <zmq.h>

namespace primrosehead {

namespace {

// Socket options: milliseconds, messages or bytes.
constexpr int linger_ms = 200;
constexpr int queue_messages = 10'000;
constexpr int reconnect_ms = 50;
constexpr int reconnect_max_ms = 500;
constexpr int handshake_ms = 1'000;
// A machine that has no power yet answers nothing; between regions a round trip is below this.
constexpr int connect_ms = 300;
// A connection can fall silent without a reset; it is made anew after these two.
constexpr int ping_ms = 1'000;
constexpr int ping_answer_ms = 1'000;
constexpr int max_message_bytes = 16 * 1024 * 1024;
constexpr int max_messages_per_turn = 1'000;
constexpr std::size_t curve_key_length = 40;

struct socket_closer {
    void operator()(void* socket) const noexcept { zmq_close(socket); }
};
using socket_pointer = std::unique_ptr<void, socket_closer>;

struct context_closer {
    void operator()(void* context) const noexcept { zmq_ctx_term(context); }
};
using context_pointer = std::unique_ptr<void, context_closer>;

// A message on its way out: over the DEALER to `endpoint`, or over the ROUTER to `route`.
struct outgoing {
    std::string endpoint;
    std::string route;
    std::string bytes;
    bool disconnect = false;
};

void set_option(void* socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

void set_common_options(void* socket)
{
    set_option(socket, ZMQ_LINGER, linger_ms);
    set_option(socket, ZMQ_SNDHWM, queue_messages);
    set_option(socket, ZMQ_RCVHWM, queue_messages);
    set_option(socket, ZMQ_RECONNECT_IVL, reconnect_ms);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX, reconnect_max_ms);
    set_option(socket, ZMQ_HANDSHAKE_IVL, handshake_ms);
    set_option(socket, ZMQ_CONNECT_TIMEOUT, connect_ms);
    set_option(socket, ZMQ_HEARTBEAT_IVL, ping_ms);
    set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, ping_answer_ms);
    const std::int64_t limit = max_message_bytes;
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit, sizeof limit);
}

error zmq_failure(std::string_view what)
{
    return error{error_kind::bad_settings,
                 std::string(what) + ": " + zmq_strerror(zmq_errno()) + ".",
                 "Check the bus endpoint (tcp://IP:PORT, a free port) and the bus key."};
}

std::optional<std::string> receive_part(void* socket, bool& more)
{
    zmq_msg_t part;
    zmq_msg_init(&part);
    if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&part);
        return std::nullopt;
    }
    more = zmq_msg_more(&part) != 0;
    std::string bytes(static_cast<const char*>(zmq_msg_data(&part)), zmq_msg_size(&part));
    zmq_msg_close(&part);
    return bytes;
}

} // namespace

struct bus::implementation {
    context_pointer context;
    socket_pointer router;
    std::optional<bus_key_settings> key;
    std::unordered_map<std::string, socket_pointer> dealers;
    std::mutex guard;
    std::vector<outgoing> queued;
    int wake = -1;
    std::atomic<std::uint64_t> dropped = 0;
    socket_pointer zap;

    implementation() = default;
    ~implementation()
    {
        if (wake >= 0) {
            close(wake);
        }
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    status bind(std::string_view endpoint);
    status bind_authentication();
    status secure_server(void* socket) const;
    void secure_client(void* socket) const;
    void answer_authentication();
    void* dealer(const std::string& endpoint);
    void enqueue(outgoing message);
    void wake_up() const;
    void flush();
    void send_one(const outgoing& message);
    void receive_router(const handler& handle);
    void receive_dealer(const std::string& endpoint, void* socket, const handler& handle);
    static void deliver(const bus_origin& origin, const std::string& bytes, const handler& handle);
};

status bus::implementation::secure_server(void* socket) const
{
    if (!key) {
        return std::monostate{};
    }
    const int server = 1;
    zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &server, sizeof server);
    if (zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, key->secret_key.c_str(),
                       curve_key_length + 1) != 0) {
        return zmq_failure("The bus key can't be used");
    }
    return std::monostate{};
}

void bus::implementation::secure_client(void* socket) const
{
    if (!key) {
        return;
    }
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, key->public_key.c_str(), curve_key_length + 1);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, key->public_key.c_str(), curve_key_length + 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, key->secret_key.c_str(), curve_key_length + 1);
}

// Only holders of the fleet's key pair may connect: libzmq asks here about every new peer.
status bus::implementation::bind_authentication()
{
    zap.reset(zmq_socket(context.get(), ZMQ_ROUTER));
    if (zmq_bind(zap.get(), "inproc://zeromq.zap.01") != 0) {
        return zmq_failure("The bus can't check its peers");
    }
    return std::monostate{};
}

void bus::implementation::answer_authentication()
{
    bool more = false;
    while (std::optional<std::string> first = receive_part(zap.get(), more)) {
        std::vector<std::string> parts{std::move(*first)};
        while (more) {
            std::optional<std::string> part = receive_part(zap.get(), more);
            if (!part) {
                return;
            }
            parts.push_back(std::move(*part));
        }
        // Frames: identity, empty, version, request id, domain, address, identity, mechanism, key.
        constexpr std::size_t request_frames = 9;
        if (parts.size() != request_frames) {
            continue;
        }
        std::vector<char> text(curve_key_length + 1);
        zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t*>(parts[8].data()),
                       parts[8].size());
        const bool allowed = key && parts[7] == "CURVE" && key->public_key == text.data();
        const std::vector<std::string> answer{
            parts[0], "", "1.0", parts[3], allowed ? "200" : "400", "", "", ""};
        for (std::size_t i = 0; i < answer.size(); ++i) {
            const int flags = i + 1 < answer.size() ? ZMQ_SNDMORE : 0;
            zmq_send(zap.get(), answer[i].data(), answer[i].size(), flags);
        }
    }
}

status bus::implementation::bind(std::string_view endpoint)
{
    router.reset(zmq_socket(context.get(), ZMQ_ROUTER));
    set_common_options(router.get());
    set_option(router.get(), ZMQ_ROUTER_HANDOVER, 1);
    if (key) {
        const status checked = bind_authentication();
        if (!ok(checked)) {
            return checked;
        }
    }
    const status secured = secure_server(router.get());
    if (!ok(secured)) {
        return secured;
    }
    if (zmq_bind(router.get(), std::string(endpoint).c_str()) != 0) {
        return zmq_failure("Can't listen on " + std::string(endpoint));
    }
    return std::monostate{};
}

void* bus::implementation::dealer(const std::string& endpoint)
{
    const auto known = dealers.find(endpoint);
    if (known != dealers.end()) {
        return known->second.get();
    }
    socket_pointer socket(zmq_socket(context.get(), ZMQ_DEALER));
    set_common_options(socket.get());
    secure_client(socket.get());
    if (zmq_connect(socket.get(), endpoint.c_str()) != 0) {
        spdlog::warn("bus: can't connect to {}: {}", endpoint, zmq_strerror(zmq_errno()));
        return nullptr;
    }
    return dealers.emplace(endpoint, std::move(socket)).first->second.get();
}

void bus::implementation::enqueue(outgoing message)
{
    {
        const std::lock_guard lock(guard);
        if (queued.size() >= config::max_bus_queue) {
            dropped.fetch_add(1);
            return;
        }
        queued.push_back(std::move(message));
    }
    wake_up();
}

void bus::implementation::wake_up() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(wake, &one, sizeof one);
}

void bus::implementation::send_one(const outgoing& message)
{
    if (message.disconnect) {
        dealers.erase(message.endpoint);
        return;
    }
    if (!message.route.empty()) {
        if (!router) {
            return;
        }
        if (zmq_send(router.get(), message.route.data(), message.route.size(),
                     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
            dropped.fetch_add(1);
            return;
        }
        zmq_send(router.get(), message.bytes.data(), message.bytes.size(), ZMQ_DONTWAIT);
        return;
    }
    void* const socket = dealer(message.endpoint);
    if (socket == nullptr ||
        zmq_send(socket, message.bytes.data(), message.bytes.size(), ZMQ_DONTWAIT) < 0) {
        dropped.fetch_add(1);
    }
}

void bus::implementation::flush()
{
    std::vector<outgoing> batch;
    {
        const std::lock_guard lock(guard);
        batch.swap(queued);
    }
    for (const outgoing& message : batch) {
        send_one(message);
    }
}

void bus::implementation::deliver(const bus_origin& origin, const std::string& bytes,
                                  const handler& handle)
{
    pb::envelope message;
    if (!message.ParseFromString(bytes)) {
        spdlog::warn("bus: dropped {} bytes that are no envelope", bytes.size());
        return;
    }
    handle(origin, message);
}

void bus::implementation::receive_router(const handler& handle)
{
    for (int count = 0; count < max_messages_per_turn; ++count) {
        bool more = false;
        std::optional<std::string> route = receive_part(router.get(), more);
        if (!route) {
            return;
        }
        std::optional<std::string> bytes;
        while (more) {
            bytes = receive_part(router.get(), more);
        }
        if (bytes) {
            deliver(bus_origin{std::move(*route), {}}, *bytes, handle);
        }
    }
}

void bus::implementation::receive_dealer(const std::string& endpoint, void* socket,
                                         const handler& handle)
{
    for (int count = 0; count < max_messages_per_turn; ++count) {
        bool more = false;
        std::optional<std::string> bytes = receive_part(socket, more);
        if (!bytes) {
            return;
        }
        deliver(bus_origin{{}, endpoint}, *bytes, handle);
    }
}

bus::bus(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
bus::~bus() = default;

result<std::unique_ptr<bus>> bus::open(std::string_view endpoint,
                                       const std::optional<bus_key_settings>& key)
{
    auto body = std::make_unique<implementation>();
    body->context.reset(zmq_ctx_new());
    body->key = key;
    body->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (body->wake < 0) {
        return error{error_kind::internal, "The bus can't make an event descriptor.",
                     "Raise the limit of open files."};
    }
    if (!endpoint.empty()) {
        const status bound = body->bind(endpoint);
        if (!ok(bound)) {
            return failure(bound);
        }
    }
    return std::unique_ptr<bus>(new bus(std::move(body)));
}

void bus::send(std::string_view endpoint, const pb::envelope& message)
{
    body_->enqueue(outgoing{std::string(endpoint), {}, message.SerializeAsString()});
}

void bus::reply(const bus_origin& origin, const pb::envelope& message)
{
    body_->enqueue(outgoing{origin.endpoint, origin.route, message.SerializeAsString()});
}

void bus::disconnect(std::string_view endpoint)
{
    body_->enqueue(outgoing{std::string(endpoint), {}, {}, true});
}

void bus::wake()
{
    body_->wake_up();
}

void bus::poll(clock::duration timeout, const handler& handle)
{
    body_->flush();
    std::vector<zmq_pollitem_t> items{{nullptr, body_->wake, ZMQ_POLLIN, 0}};
    if (body_->router) {
        items.push_back({body_->router.get(), 0, ZMQ_POLLIN, 0});
    }
    if (body_->zap) {
        items.push_back({body_->zap.get(), 0, ZMQ_POLLIN, 0});
    }
    std::vector<std::string> endpoints;
    const std::size_t first_dealer = items.size();
    for (const auto& [endpoint, socket] : body_->dealers) {
        endpoints.push_back(endpoint);
        items.push_back({socket.get(), 0, ZMQ_POLLIN, 0});
    }
    if (zmq_poll(items.data(), static_cast<int>(items.size()), timeout.count()) <= 0) {
        return;
    }
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto read_bytes = read(body_->wake, &count, sizeof count);
    }
    if (body_->zap) {
        body_->answer_authentication();
    }
    if (body_->router) {
        body_->receive_router(handle);
    }
    for (std::size_t i = first_dealer; i < items.size(); ++i) {
        if ((items[i].revents & ZMQ_POLLIN) != 0) {
            body_->receive_dealer(endpoints[i - first_dealer], items[i].socket, handle);
        }
    }
    body_->flush();
}

} // namespace primrosehead
