#include "primrosehead.pb.h"

#include <primrosehead/bus.h>
#include <primrosehead/config.h>

#include <spdlog/spdlog.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <unistd.h>
#include <unordered_map>
#include <vector>
#include <zmq.h>

namespace primrosehead {

namespace {

// Socket options.
constexpr int linger_ms = 200;
constexpr int high_water_mark_messages = 10'000;
constexpr int reconnect_interval_ms = 50;
constexpr int max_reconnect_interval_ms = 500;
constexpr int handshake_timeout_ms = 1'000;
// A machine that is switched off never answers a connection attempt. Round trips between regions
// are shorter than this.
constexpr int connect_timeout_ms = 300;
// A connection can stop responding without a reset. It is reopened when a heartbeat has not been
// answered within the timeout.
constexpr int heartbeat_interval_ms = 1'000;
constexpr int heartbeat_timeout_ms = 1'000;
constexpr int max_message_bytes = 16 * 1024 * 1024;
constexpr int max_messages_per_poll = 1'000;
constexpr std::size_t curve_key_length = 40;

struct socket_closer {
    void operator()(void* socket) const noexcept { zmq_close(socket); }
};
using socket_pointer = std::unique_ptr<void, socket_closer>;

struct context_closer {
    void operator()(void* context) const noexcept { zmq_ctx_term(context); }
};
using context_pointer = std::unique_ptr<void, context_closer>;

// A queued message: sent over the DEALER to `endpoint`, or over the ROUTER to `route`. With
// `disconnect` the connection to `endpoint` is closed instead. Urgent messages go first.
struct outgoing {
    std::string endpoint;
    std::string route;
    std::string bytes;
    bool disconnect = false;
    bool is_urgent = false;
};

void set_option(void* socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

void set_common_options(void* socket)
{
    set_option(socket, ZMQ_LINGER, linger_ms);
    set_option(socket, ZMQ_SNDHWM, high_water_mark_messages);
    set_option(socket, ZMQ_RCVHWM, high_water_mark_messages);
    set_option(socket, ZMQ_RECONNECT_IVL, reconnect_interval_ms);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX, max_reconnect_interval_ms);
    set_option(socket, ZMQ_HANDSHAKE_IVL, handshake_timeout_ms);
    set_option(socket, ZMQ_CONNECT_TIMEOUT, connect_timeout_ms);
    set_option(socket, ZMQ_HEARTBEAT_IVL, heartbeat_interval_ms);
    set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, heartbeat_timeout_ms);
    const std::int64_t limit = max_message_bytes;
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit, sizeof limit);
}

error zmq_failure(std::string_view action)
{
    return error{error_kind::bad_settings,
                 std::string(action) + ": " + zmq_strerror(zmq_errno()) + ".",
                 "Check the bus endpoint (tcp://IP:PORT, a free port) and the bus key."};
}

std::optional<std::string> receive_frame(void* socket, bool& more)
{
    zmq_msg_t frame;
    zmq_msg_init(&frame);
    if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&frame);
        return std::nullopt;
    }
    more = zmq_msg_more(&frame) != 0;
    std::string bytes(static_cast<const char*>(zmq_msg_data(&frame)), zmq_msg_size(&frame));
    zmq_msg_close(&frame);
    return bytes;
}

} // namespace

struct bus::implementation {
    context_pointer context;
    socket_pointer router;
    std::optional<bus_key_settings> key;
    std::unordered_map<std::string, socket_pointer> dealers;
    std::mutex mutex;
    std::vector<outgoing> queued;
    int wake_descriptor = -1;
    std::atomic<std::uint64_t> dropped = 0;
    socket_pointer zap;

    implementation() = default;
    ~implementation()
    {
        if (wake_descriptor >= 0) {
            close(wake_descriptor);
        }
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    status bind(std::string_view endpoint);
    status bind_authentication();
    status secure_server(void* socket) const;
    void secure_client(void* socket) const;
    void handle_authentication();
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
        return zmq_failure("The bus key is invalid");
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

// Binds the handler of the ZeroMQ authentication protocol (ZAP), which libzmq calls for each new
// peer. Only peers with the fleet's key pair are accepted.
status bus::implementation::bind_authentication()
{
    zap.reset(zmq_socket(context.get(), ZMQ_ROUTER));
    if (zmq_bind(zap.get(), "inproc://zeromq.zap.01") != 0) {
        return zmq_failure("The bus can't authenticate its peers");
    }
    return std::monostate{};
}

void bus::implementation::handle_authentication()
{
    bool more = false;
    while (std::optional<std::string> first = receive_frame(zap.get(), more)) {
        std::vector<std::string> frames{std::move(*first)};
        while (more) {
            std::optional<std::string> frame = receive_frame(zap.get(), more);
            if (!frame) {
                return;
            }
            frames.push_back(std::move(*frame));
        }
        // ZAP request: route, empty, version, request id, domain, address, identity, mechanism,
        // key.
        constexpr std::size_t request_frames = 9;
        if (frames.size() != request_frames) {
            continue;
        }
        std::vector<char> public_key(curve_key_length + 1);
        zmq_z85_encode(public_key.data(), reinterpret_cast<const std::uint8_t*>(frames[8].data()),
                       frames[8].size());
        const bool allowed = key && frames[7] == "CURVE" && key->public_key == public_key.data();
        const std::vector<std::string> reply_frames{
            frames[0], "", "1.0", frames[3], allowed ? "200" : "400", "", "", ""};
        for (std::size_t i = 0; i < reply_frames.size(); ++i) {
            const int flags = i + 1 < reply_frames.size() ? ZMQ_SNDMORE : 0;
            zmq_send(zap.get(), reply_frames[i].data(), reply_frames[i].size(), flags);
        }
    }
}

status bus::implementation::bind(std::string_view endpoint)
{
    router.reset(zmq_socket(context.get(), ZMQ_ROUTER));
    set_common_options(router.get());
    set_option(router.get(), ZMQ_ROUTER_HANDOVER, 1);
    if (key) {
        const status authentication = bind_authentication();
        if (!ok(authentication)) {
            return authentication;
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
        const std::lock_guard lock(mutex);
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
    [[maybe_unused]] const auto written = write(wake_descriptor, &one, sizeof one);
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
        const std::lock_guard lock(mutex);
        batch.swap(queued);
    }
    // Heartbeats and votes do not wait while large replies are copied into the sockets.
    std::stable_partition(batch.begin(), batch.end(),
                          [](const outgoing& message) { return message.is_urgent; });
    for (const outgoing& message : batch) {
        send_one(message);
    }
}

void bus::implementation::deliver(const bus_origin& origin, const std::string& bytes,
                                  const handler& handle)
{
    pb::envelope message;
    if (!message.ParseFromString(bytes)) {
        spdlog::warn("bus: dropped a message of {} bytes that is not a valid envelope",
                     bytes.size());
        return;
    }
    handle(origin, message);
}

void bus::implementation::receive_router(const handler& handle)
{
    for (int count = 0; count < max_messages_per_poll; ++count) {
        bool more = false;
        std::optional<std::string> route = receive_frame(router.get(), more);
        if (!route) {
            return;
        }
        std::optional<std::string> bytes;
        while (more) {
            bytes = receive_frame(router.get(), more);
        }
        if (bytes) {
            deliver(bus_origin{std::move(*route), {}}, *bytes, handle);
        }
    }
}

void bus::implementation::receive_dealer(const std::string& endpoint, void* socket,
                                         const handler& handle)
{
    for (int count = 0; count < max_messages_per_poll; ++count) {
        bool more = false;
        std::optional<std::string> bytes = receive_frame(socket, more);
        if (!bytes) {
            return;
        }
        deliver(bus_origin{{}, endpoint}, *bytes, handle);
    }
}

bus::bus(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}
bus::~bus() = default;

result<std::unique_ptr<bus>> bus::open(std::string_view endpoint,
                                       const std::optional<bus_key_settings>& key)
{
    auto impl = std::make_unique<implementation>();
    impl->context.reset(zmq_ctx_new());
    impl->key = key;
    impl->wake_descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (impl->wake_descriptor < 0) {
        return error{error_kind::internal, "The bus can't create an event descriptor.",
                     "Raise the limit of open files."};
    }
    if (!endpoint.empty()) {
        const status bound = impl->bind(endpoint);
        if (!ok(bound)) {
            return failure(bound);
        }
    }
    return std::unique_ptr<bus>(new bus(std::move(impl)));
}

void bus::send(std::string_view endpoint, const pb::envelope& message)
{
    impl_->enqueue(outgoing{
        std::string(endpoint), {}, message.SerializeAsString(), false, message.has_consensus()});
}

void bus::reply(const bus_origin& origin, const pb::envelope& message)
{
    impl_->enqueue(outgoing{origin.endpoint, origin.route, message.SerializeAsString(), false,
                            message.has_consensus()});
}

void bus::disconnect(std::string_view endpoint)
{
    impl_->enqueue(outgoing{std::string(endpoint), {}, {}, true, false});
}

void bus::wake()
{
    impl_->wake_up();
}

void bus::poll(clock::duration timeout, const handler& handle)
{
    impl_->flush();
    std::vector<zmq_pollitem_t> items{{nullptr, impl_->wake_descriptor, ZMQ_POLLIN, 0}};
    if (impl_->router) {
        items.push_back({impl_->router.get(), 0, ZMQ_POLLIN, 0});
    }
    if (impl_->zap) {
        items.push_back({impl_->zap.get(), 0, ZMQ_POLLIN, 0});
    }
    std::vector<std::string> endpoints;
    const std::size_t first_dealer = items.size();
    for (const auto& [endpoint, socket] : impl_->dealers) {
        endpoints.push_back(endpoint);
        items.push_back({socket.get(), 0, ZMQ_POLLIN, 0});
    }
    if (zmq_poll(items.data(), static_cast<int>(items.size()), timeout.count()) <= 0) {
        return;
    }
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto read_bytes = read(impl_->wake_descriptor, &count, sizeof count);
    }
    if (impl_->zap) {
        impl_->handle_authentication();
    }
    if (impl_->router) {
        impl_->receive_router(handle);
    }
    for (std::size_t i = first_dealer; i < items.size(); ++i) {
        if ((items[i].revents & ZMQ_POLLIN) != 0) {
            impl_->receive_dealer(endpoints[i - first_dealer], items[i].socket, handle);
        }
    }
    impl_->flush();
}

} // namespace primrosehead
