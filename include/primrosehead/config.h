// Compile-time limits: every bound on memory, size or count that is not a setting is defined here.
#pragma once

#include <cstddef>
#include <cstdint>

namespace primrosehead::config {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;

// Requests of callers.
inline constexpr std::size_t max_header_bytes = 8 * kibibyte;
inline constexpr std::size_t max_body_bytes = 256 * kibibyte;
inline constexpr std::size_t max_token_bytes = 4 * kibibyte;
inline constexpr std::size_t max_key_bytes = 128;
inline constexpr std::size_t max_idempotency_key_bytes = 128;
inline constexpr std::size_t max_session_databases = 64;
inline constexpr std::int64_t max_statement_timeout_ms = 60'000;

// Backend servers.
inline constexpr std::size_t max_backend_response_bytes = 4 * mebibyte;
inline constexpr std::size_t max_servers_per_instance = 256;

// Session line protocol.
inline constexpr std::size_t max_line_bytes = mebibyte;
inline constexpr std::size_t max_session_values = 64;
inline constexpr std::size_t max_session_statements = 256;
inline constexpr std::size_t max_connection_statements = 64;

// Queues.
inline constexpr std::size_t max_queued_per_server = 512;
inline constexpr std::size_t max_bus_queue = 65'536;
// Received messages that wait for the event loop: about a second of a control instance's traffic.
inline constexpr std::size_t max_bus_inbox = 4'096;

// Replicated state.
inline constexpr std::size_t max_document_bytes = mebibyte;
inline constexpr std::size_t max_published_bytes = 4 * mebibyte;
inline constexpr std::size_t max_request_records = 4'096;
inline constexpr std::size_t max_request_id_bytes = 128;
inline constexpr std::size_t max_tombstones = 1'024;
inline constexpr std::size_t max_append_entries = 256;
inline constexpr std::size_t max_append_bytes = mebibyte;
inline constexpr std::size_t max_uncommitted_entries = 4'096;
// Log entries kept behind a snapshot, so that a follower that lags slightly needs no snapshot.
inline constexpr std::size_t retained_log_entries = 256;
inline constexpr std::size_t snapshot_chunk_bytes = 256 * kibibyte;
inline constexpr std::size_t journal_segment_bytes = mebibyte; // size at which a new file starts

} // namespace primrosehead::config
