// What processes of the tier say to each other.  A struct has the message's wire name (`wire_names.py`); its fields
// stand in the order of the attrs class in kestrelbend/tier/*/messages.py: `codec.py` maps one to the other by position.
// `service_` is `Backend.service`: the plain word is a keyword here.  The generated code is committed; after a change:
//   thrift --gen py -out generated tier.thrift

struct Entry { 1: i64 index, 2: i64 term, 3: i32 kind, 4: binary data }
struct Snapshot { 1: i64 index, 2: i64 term, 3: list<string> voters, 4: binary state, 5: i64 placement_number }
struct RequestVote { 1: string shard, 2: string sender, 3: i64 term, 4: i64 last_index, 5: i64 last_term, 6: bool pre_vote }
struct VoteReply { 1: string shard, 2: string sender, 3: i64 term, 4: bool granted, 5: bool pre_vote }
struct AppendEntries { 1: string shard, 2: string sender, 3: i64 term, 4: i64 previous_index, 5: i64 previous_term, 6: list<Entry> entries, 7: i64 commit_index, 8: i64 round }
struct AppendReply { 1: string shard, 2: string sender, 3: i64 term, 4: bool accepted, 5: i64 match_index, 6: i64 round }
struct SnapshotPiece { 1: string shard, 2: string sender, 3: i64 term, 4: Snapshot snapshot, 5: i64 size, 6: binary digest, 7: i64 offset, 8: binary data, 9: i64 round }
struct SnapshotReply { 1: string shard, 2: string sender, 3: i64 term, 4: binary digest, 5: i64 received, 6: i64 round }
struct TransferOwnership { 1: string shard, 2: string sender, 3: i64 term }
struct ReadIndexRequest { 1: string shard, 2: string sender, 3: i64 term, 4: i64 ticket }
struct ReadIndexReply { 1: string shard, 2: string sender, 3: i64 term, 4: i64 ticket, 5: i64 index }
struct DurableRecord { 1: string shard, 2: string replica, 3: i64 term, 4: string voted_for, 5: list<Entry> entries, 6: optional Snapshot snapshot }

struct Reserve { 1: string program, 2: string session, 3: string reservation, 4: i64 fingerprint, 5: i64 max_tokens, 6: i64 budget, 7: bool spare_capacity, 8: i32 retain_s }
struct Settle { 1: string program, 2: string reservation, 3: i64 used_tokens, 4: i32 end }
struct ReserveOutcome { 1: string reservation, 2: i32 verdict, 3: i64 total, 4: i64 settled, 5: i32 retry_after_ms }
struct BudgetRequest { 1: string shard, 2: list<Reserve> reserves, 3: list<Settle> settlements }
struct BudgetReply { 1: string shard, 2: bool owner, 3: string owner_hint, 4: list<ReserveOutcome> outcomes, 5: i64 epoch }

struct Backend { 1: string identity, 2: string service_, 3: string address, 4: string zone, 5: string software, 6: i32 slots, 7: i32 state, 8: i64 warming_up_ms, 9: i64 sequence, 10: string models }
struct BackendUpdate { 1: string sender, 2: i64 number, 3: bool complete, 4: list<Backend> backends }
struct BackendAck { 1: string sender, 2: i64 number }

struct ShardReport { 1: string shard, 2: string replica, 3: i64 epoch, 4: string owner, 5: list<string> voters, 6: i64 applied_index, 7: i64 commit_index, 8: list<string> committed_voters, 9: i64 placement_number, 10: bool stable }
struct Member { 1: string node, 2: string role, 3: string address, 4: string control_address, 5: string zone, 6: string replica, 7: bool serves_control, 8: bool serves_storage, 9: bool serves_front, 10: i64 incarnation }
struct Heartbeat { 1: Member member, 2: i64 sequence, 3: i64 config_version, 4: bool leaving, 5: list<ShardReport> shards }
struct HeartbeatAck { 1: i64 sequence, 2: bool stable }
struct QuietMember { 1: string address, 2: i32 heartbeat_age_ms }
struct MemberSummary { 1: string sender, 2: bool complete, 3: list<Heartbeat> heartbeats, 4: list<QuietMember> unresponsive, 5: list<string> departed, 6: list<string> control_addresses }
struct ShardPlacement { 1: string shard, 2: list<string> founders, 3: list<string> voters, 4: i64 number }
struct Directory { 1: i64 version, 2: list<Member> members, 3: list<ShardPlacement> placements, 4: list<ShardReport> owners, 5: list<string> retiring }
struct Subscribe { 1: Member member, 2: i64 config_version, 3: bool complete }
struct ConfigUpdate { 1: i64 version, 2: bool current, 3: binary body }
struct ConfigAck { 1: i64 version }
struct ConfigFetch { 1: i64 version }
struct ContactRequest { 1: i64 ticket }
struct ContactWord { 1: i64 ticket, 2: bool in_contact, 3: i64 version, 4: list<string> owned }

struct ConfigOrder { 1: i32 kind, 2: i64 base_version, 3: binary body }
struct ConfigOutcome { 1: i32 status, 2: i64 version, 3: string reason }
struct ReadRequest { 1: string shard }
struct ReadReply { 1: bool owner, 2: i64 version, 3: binary body }
struct Hello { 1: string address, 2: string replica, 3: i64 incarnation }
