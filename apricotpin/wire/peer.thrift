// Protocol between apricotpin processes. Every struct has a class of the same
// name and the same fields in apricotpin/messages.

struct Host {
  1: string host_id
  2: string role
  3: string region
  4: string data_centre
  5: string peer_address
  6: string upstream_address
  7: string service_name
  8: string state
  9: i64 incarnation
  10: string model
  11: string version
  12: i64 config_offset
  13: i32 in_flight
  14: i64 heartbeat_count
}

struct Heartbeat {
  1: Host host
}

struct HeartbeatAnswer {
  1: i64 accepted_offset
  2: i64 folded_offset
}

struct SyncHosts {
  1: i64 since
  2: i64 table_id
  3: list<i64> digests
}

struct HostChanges {
  1: i64 next_since
  2: i64 table_id
  3: list<Host> hosts
  4: i64 accepted_offset
  5: i64 folded_offset
}

struct GetReadiness {
}

struct Readiness {
  1: string host_id
  2: bool ready
  3: string reason
  4: string state
  5: string version
  6: i64 config_offset
}

struct GetConfigState {
}

struct ConfigState {
  1: i64 folded_offset
  2: i64 accepted_offset
  3: string document_json
}

// Index -1 requests the manifest; host_id identifies the requesting host.
struct FetchChunk {
  1: string model
  2: string version
  3: i32 index
  4: i32 wait_ms
  5: string host_id
  6: string doubted_digest
}

// status is one of ok, not_yet, blocked, busy and unknown_version.
struct ChunkAnswer {
  1: string status
  2: binary data
}

struct GetWeightsStatus {
}

struct WeightsStatus {
  1: string host_id
  2: string model
  3: string target_version
  4: string confirmed_version
  5: i32 chunks_held
  6: i32 chunks_total
  7: i64 bytes_from_origin
  8: i64 bytes_from_peers
  9: i64 bytes_sent
}

struct Claim {
  1: string workspace
  2: string service_name
  3: string key
  4: string request_digest
  5: string host_id
  6: string attempt_id
}

struct Outcome {
  1: i32 http_status
  2: string content_type
  3: binary body
}

// verdict is one of those in apricotpin/messages/verdicts.py.
struct ClaimAnswer {
  1: string verdict
  2: Outcome outcome
  3: string detail
}

struct RecordOutcome {
  1: string workspace
  2: string service_name
  3: string key
  4: bool not_run
  5: Outcome outcome
  6: string attempt_id
}

struct FindOutcome {
  1: string workspace
  2: string service_name
  3: string key
}

struct Recorded {
  1: bool stored
}

struct WeightsTarget {
  1: string service_name
  2: string model
  3: i64 version
  4: i64 known_for_ms
}

struct PathDelay {
  1: string data_centre
  2: i32 delay_ms
}

struct PartCrashes {
  1: string part
  2: list<i64> workers
  3: list<i32> ages_ms
}

struct PartServed {
  1: string part
  2: i64 age_ms
}

struct CrashEvidence {
  1: list<PartCrashes> crashes
  2: list<PartServed> served
  3: list<string> quarantined
  4: bool is_urgent
}

// The structs below are sent as binary-encoded datagrams, one in each packet.
struct EntryHello {
  1: string host_id
  2: string peer_address
  3: string data_centre
  4: list<WeightsTarget> targets
  5: i32 turn
  6: i32 group
  7: i64 config_version
  8: bool may_cut
  9: i64 turn_version
  10: list<WeightsTarget> earlier
  11: i64 sent_ms
  12: list<PathDelay> paths
  13: i32 period_ms
  14: CrashEvidence evidence
  15: i32 config_age_ms
}

struct LoadReport {
  1: string address
  2: string peer_address
  3: string data_centre
  4: string service_name
  5: i64 count
  6: bool reachable
  7: i64 started_ms
  8: i32 active
  9: i32 queued
  10: i64 version
  11: i32 layers_start
  12: i32 layers_end
  13: bool switching
  14: i64 installing
  15: bool leaving
}

// Exactly one field is set.
struct Datagram {
  1: EntryHello entry_hello
  2: LoadReport load_report
}

struct FeedRecord {
  1: string key
  2: binary content
}

struct ReadFeed {
  1: string feed
  2: i64 offset
  3: i32 wait_ms
}

struct FeedRecords {
  1: i64 next_offset
  2: list<FeedRecord> records
  3: string fault
}

// list_id is empty and revision 0 on the first read.
struct ReadSharedList {
  1: string list_id
  2: i64 revision
  3: i32 wait_ms
}

// An empty content removes the key. is_complete: all upstreams are listed.
struct SharedList {
  1: string list_id
  2: i64 revision
  3: bool is_complete
  4: i64 offset
  5: list<FeedRecord> records
  6: string fault
}

service Peer {
  SharedList read_shared_list(1: ReadSharedList request)
  FeedRecords read_feed(1: ReadFeed request)
  ChunkAnswer fetch_chunk(1: FetchChunk request)
  WeightsStatus weights_status(1: GetWeightsStatus request)
  HeartbeatAnswer heartbeat(1: Heartbeat request)
  HostChanges sync_hosts(1: SyncHosts request)
  Readiness readiness(1: GetReadiness request)
  ConfigState config_state(1: GetConfigState request)
  ClaimAnswer claim(1: Claim request)
  Recorded record_outcome(1: RecordOutcome request)
  ClaimAnswer find_outcome(1: FindOutcome request)
}
