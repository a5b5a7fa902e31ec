"""The scripts that searches start from: each exercises one scenario that the replication core must survive.

Each line is the name of a method of `World` and its arguments.
"""

from __future__ import annotations

from .world import Script

HEARTBEATS = "; ".join(["advance a 0.1"] * 6)  # enough for new replicas to reply and the group to change

SCRIPTS: dict[str, Script] = {}
ORDER_SCRIPTS: dict[str, Script] = {}  # scripts with configuration orders, see `orders`


def _add_script(name: str, founders: str, spares: str, *parts: str, watches_freshness: bool = False) -> None:
    lines = tuple(tuple(line.split()) for line in "; ".join(parts).split("; "))
    scripts = ORDER_SCRIPTS if any(line[0] == "order" for line in lines) else SCRIPTS
    scripts[name] = Script(name, founders, spares, lines, watches_freshness)


_add_script("orders", "abc", "", "time_out a; propose a first; read a; propose a second")
_add_script(
    "handover",
    "abc",
    "",
    "time_out a; propose a first; transfer a; propose b second; propose c second; read b",
)
_add_script(
    "replace",
    "abc",
    "d",
    "time_out a; propose a first; set_target abd",
    HEARTBEATS,
    "propose a second; read a",
)
_add_script(
    "replace_owner",
    "abc",
    "d",
    "time_out a; propose a first; set_target dbc",
    HEARTBEATS,
    "propose d second; read d",
)
_add_script(
    "snapshot",
    "abc",
    "",
    "time_out a; split c; propose a first; propose a second; compact a; heal",
    "advance a 0.1; advance a 0.1; propose a third",
)
_add_script(
    "emptied",
    "abc",
    "",
    "time_out a; propose a first; wipe c; set_target abc",
    HEARTBEATS,
    "propose a second; read a",
)
_add_script(
    "snapshot_to_newcomer",
    "abc",
    "d",
    "time_out a; propose a first; compact a; set_target abd",
    HEARTBEATS,
    "propose a second",
)
_add_script(
    "vote_lost_with_the_power",
    "abc",
    "",
    "time_out c; split ab; stall_disk b; time_out a",
    "advance c 0.4; lose_power b; heal; split bc; advance b 0.31",
)
_add_script(
    "owner_with_a_stalled_disk",
    "abc",
    "",
    "time_out a; propose a first; split ab; stall_disk a; propose a second",
)
_add_script(
    "follower_with_a_stalled_disk",
    "abc",
    "",
    "time_out a; propose a first; split ac; stall_disk c; propose a second",
)
_add_script(
    "entry_of_an_older_epoch",
    "abc",
    "",
    "time_out a; split a; propose a left; when_leads b split b; time_out b; heal",
    "split ac; when_commits 2 split a; time_out a; time_out a; time_out a",
    "heal; split bc; time_out b; time_out b",
)
_add_script(
    "owner_cut_off_reads",
    "abc",
    "",
    "time_out a; propose a first; split a; time_out b; propose b second; read a",
)
_add_script(
    "new_owner_reads",
    "abc",
    "",
    "time_out a; when_commits 2 split a; propose a first; when_leads b read b; time_out b",
)
_add_script(
    "two_changes_at_once",
    "abc",
    "de",
    "time_out a; propose a first; learn a de; advance a 0.1; split ade; set_target_at a abcde",
    "advance a 0.1; propose a left; time_out b; propose b right",
)
_add_script(
    "change_in_a_new_epoch",
    "abcd",
    "e",
    "time_out a; propose a first; learn a e; advance a 0.1",
    "split ae; set_target_at a abcde; when_leads b split bc",
    "time_out b; set_target_at b bcd; advance b 0.1; advance b 0.1; heal; split ade; time_out a; time_out a",
)
_add_script(
    "newcomer_with_a_stalled_disk",
    "abc",
    "d",
    "time_out a; propose a first",
    HEARTBEATS,
    "stall_disk d; set_target abd",
    HEARTBEATS,
)
_add_script(
    "former_owner_speaks",
    "abc",
    "",
    "time_out a; propose a first; split a; propose a left; time_out b; propose b right; heal; advance a 0.1",
)
_add_script(
    "candidate_that_lags",
    "abc",
    "",
    "time_out a; split c; propose a first; heal; split bc; time_out c; time_out c",
)
_add_script(
    "cut_off_and_current",
    "abc",
    "",
    "time_out a; propose a first; advance a 0.1; advance b 0.1; advance c 0.1; advance a 0.1; split c",
    "propose a second; advance c 0.3; advance c 0.4; propose a third; heal; advance a 0.1; advance c 0.1",
    watches_freshness=True,
)
_add_script(
    "owner_cut_off_in_contact",
    "abc",
    "",
    "time_out a; propose a first; advance a 0.1; split a; time_out b; propose b second",
    "advance a 0.4; heal",
    watches_freshness=True,
)
_add_script(
    "old_replies",
    "abc",
    "",
    "time_out a; propose a first; delay_messages a; advance a 0.1",
    "split a; advance a 0.3; deliver_delayed a; advance a 0.35",
    watches_freshness=True,
)
_add_script(
    "stood_still",
    "abc",
    "",
    "split bc; stall_disk c; time_out b; delay_messages b; resume_disk c",
    "pause_process b 5; deliver_delayed b; advance b 0.02",
    watches_freshness=True,
)
_add_script("owner_alone", "abc", "", "time_out a; propose a first; split a", HEARTBEATS, HEARTBEATS)
_add_script(
    "newcomer_reads",
    "abc",
    "",
    "time_out a; propose a first; split c; propose a second; propose a third; lose_power c; heal",
    "advance a 0.1; advance c 0.1; advance a 0.1",
    watches_freshness=True,
)
_add_script(
    "orders_race",
    "abc",
    "",
    "time_out a; order a first; order a x; order a y; order a x; order a y; order a z",
)
_add_script(
    "orders_across_a_change_of_owner",
    "abc",
    "",
    "time_out a; order a first; order a x; transfer a; order b y; order b x; order a y; order a x",
)
_add_script(
    "orders_at_a_former_owner",
    "abc",
    "",
    "time_out a; order a first; split a; time_out b; order b x; order a late; order a y; order a x; heal",
    "advance b 0.1",
    "order a x; order b x; order b y; order b x",
)
_add_script(
    "orders_on_both_sides_of_a_cut",
    "abc",
    "",
    "time_out a; order a first; split a; order a x; time_out b; order b y; heal; advance b 0.1; order b x",
    "order b y; order a x",
)
_add_script(
    "orders_and_a_snapshot",
    "abc",
    "",
    "time_out a; order a first; split c; order a x; compact a; heal; advance a 0.1; advance a 0.1; split a",
    "time_out b; time_out c; order b x; order c x; order b y; order c y",
)
