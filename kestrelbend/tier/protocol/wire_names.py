"""The name of each message as it is written, on the wire and in the journal on disk.

A name here never changes: processes of an earlier release and disks written by one know the message by it.
The class may be renamed freely.  The struct of the same wire name in `tier.thrift` carries the message;
a field of the class is the field of the struct with the same position, so fields are only ever added at
the end.
"""

from __future__ import annotations

from kestrelbend.tier.budgets import messages as budgets
from kestrelbend.tier.configuration import messages as configuration
from kestrelbend.tier.discovery import messages as discovery
from kestrelbend.tier.membership import messages as membership
from kestrelbend.tier.replication import messages as replication

WIRE_NAMES: dict[type, str] = {
    replication.Entry: "Entry",
    replication.Snapshot: "Snapshot",
    replication.RequestVote: "RequestVote",
    replication.VoteReply: "VoteReply",
    replication.AppendEntries: "AppendEntries",
    replication.AppendReply: "AppendReply",
    replication.SnapshotChunk: "SnapshotPiece",
    replication.SnapshotReply: "SnapshotReply",
    replication.TransferLeadership: "TransferOwnership",
    replication.ReadIndexRequest: "ReadIndexRequest",
    replication.ReadIndexReply: "ReadIndexReply",
    replication.DurableRecord: "DurableRecord",
    budgets.Reserve: "Reserve",
    budgets.Settlement: "Settle",
    budgets.ReserveOutcome: "ReserveOutcome",
    budgets.BudgetRequest: "BudgetRequest",
    budgets.BudgetReply: "BudgetReply",
    discovery.Backend: "Backend",
    discovery.BackendUpdate: "BackendUpdate",
    discovery.BackendAck: "BackendAck",
    membership.ShardReport: "ShardReport",
    membership.Member: "Member",
    membership.Heartbeat: "Heartbeat",
    membership.HeartbeatAck: "HeartbeatAck",
    membership.UnresponsiveMember: "QuietMember",
    membership.MemberSummary: "MemberSummary",
    membership.ShardPlacement: "ShardPlacement",
    membership.Directory: "Directory",
    membership.Subscribe: "Subscribe",
    membership.ConfigUpdate: "ConfigUpdate",
    membership.ConfigAck: "ConfigAck",
    membership.ConfigFetch: "ConfigFetch",
    membership.ContactRequest: "ContactRequest",
    membership.ContactReply: "ContactWord",
    membership.Hello: "Hello",
    configuration.ConfigOrder: "ConfigOrder",
    configuration.ConfigOutcome: "ConfigOutcome",
    configuration.ReadRequest: "ReadRequest",
    configuration.ReadReply: "ReadReply",
}
