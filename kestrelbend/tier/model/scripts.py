"""The scripts that searches begin from: each brings about one matter that the core must bear.

Each line is the name of a method of `World` and its arguments.
"""

from __future__ import annotations

from .world import Script

ROUNDS = "; ".join(["advance a 0.1"] * 6)  # heartbeats, by which newcomers are heard and the group moves

SCRIPTS: dict[str, Script] = {}
ORDER_SCRIPTS: dict[str, Script] = {}  # with orders on the configuration, see `orders`


def _script(name: str, founders: str, others: str, *parts: str, watches: bool = False) -> None:
    lines = tuple(tuple(line.split()) for line in "; ".join(parts).split("; "))
    into = ORDER_SCRIPTS if any(line[0] == "order" for line in lines) else SCRIPTS
    into[name] = Script(name, founders, others, lines, watches)


_script("orders", "abc", "", "patience a; propose a first; read a; propose a second")
_script(
    "handover",
    "abc",
    "",
    "patience a; propose a first; transfer a; propose b second; propose c second; read b",
)
_script("replace", "abc", "d", "patience a; propose a first; aim abd", ROUNDS, "propose a second; read a")
_script(
    "replace_owner", "abc", "d", "patience a; propose a first; aim dbc", ROUNDS, "propose d second; read d"
)
_script(
    "snapshot",
    "abc",
    "",
    "patience a; split c; propose a first; propose a second; compact a; join",
    "advance a 0.1; advance a 0.1; propose a third",
)
_script(
    "emptied", "abc", "", "patience a; propose a first; wipe c; aim abc", ROUNDS, "propose a second; read a"
)
_script(
    "snapshot_to_newcomer",
    "abc",
    "d",
    "patience a; propose a first; compact a; aim abd",
    ROUNDS,
    "propose a second",
)
_script(
    "vote_lost_with_the_power",
    "abc",
    "",
    "patience c; split ab; stall b; patience a; advance c 0.4; lose_power b; join; split bc; advance b 0.31",
)
_script(
    "owner_with_a_stalled_disk", "abc", "", "patience a; propose a first; split ab; stall a; propose a second"
)
_script(
    "follower_with_a_stalled_disk",
    "abc",
    "",
    "patience a; propose a first; split ac; stall c; propose a second",
)
_script(
    "entry_of_an_older_epoch",
    "abc",
    "",
    "patience a; split a; propose a left; when_owns b split b; patience b; join",
    "split ac; when_commits 2 split a; patience a; patience a; patience a",
    "join; split bc; patience b; patience b",
)
_script(
    "owner_cut_off_reads",
    "abc",
    "",
    "patience a; propose a first; split a; patience b; propose b second; read a",
)
_script(
    "new_owner_reads",
    "abc",
    "",
    "patience a; when_commits 2 split a; propose a first; when_owns b read b; patience b",
)
_script(
    "two_changes_at_once",
    "abc",
    "de",
    "patience a; propose a first; learn a de; advance a 0.1; split ade; aim_at a abcde",
    "advance a 0.1; propose a left; patience b; propose b right",
)
_script(
    "change_in_a_new_epoch",
    "abcd",
    "e",
    "patience a; propose a first; learn a e; advance a 0.1; split ae; aim_at a abcde; when_owns b split bc",
    "patience b; aim_at b bcd; advance b 0.1; advance b 0.1; join; split ade; patience a; patience a",
)
_script(
    "newcomer_with_a_stalled_disk",
    "abc",
    "d",
    "patience a; propose a first",
    ROUNDS,
    "stall d; aim abd",
    ROUNDS,
)
_script(
    "former_owner_speaks",
    "abc",
    "",
    "patience a; propose a first; split a; propose a left; patience b; propose b right; join; advance a 0.1",
)
_script(
    "candidate_that_lags",
    "abc",
    "",
    "patience a; split c; propose a first; join; split bc; patience c; patience c",
)
_script(
    "cut_off_and_current",
    "abc",
    "",
    "patience a; propose a first; advance a 0.1; advance b 0.1; advance c 0.1; advance a 0.1; split c",
    "propose a second; advance c 0.3; advance c 0.4; propose a third; join; advance a 0.1; advance c 0.1",
    watches=True,
)
_script(
    "owner_cut_off_in_contact",
    "abc",
    "",
    "patience a; propose a first; advance a 0.1; split a; patience b; propose b second",
    "advance a 0.4; join",
    watches=True,
)
_script(
    "old_replies",
    "abc",
    "",
    "patience a; propose a first; hold a; advance a 0.1; split a; advance a 0.3; release a; advance a 0.35",
    watches=True,
)
_script(
    "stood_still",
    "abc",
    "",
    "split bc; stall c; patience b; hold b; mend c; stand_still b 5; release b; advance b 0.02",
    watches=True,
)
_script("owner_alone", "abc", "", "patience a; propose a first; split a", ROUNDS, ROUNDS)
_script(
    "newcomer_reads",
    "abc",
    "",
    "patience a; propose a first; split c; propose a second; propose a third; lose_power c; join",
    "advance a 0.1; advance c 0.1; advance a 0.1",
    watches=True,
)
_script(
    "orders_race",
    "abc",
    "",
    "patience a; order a first; order a x; order a y; order a x; order a y; order a z",
)
_script(
    "orders_across_a_change_of_owner",
    "abc",
    "",
    "patience a; order a first; order a x; transfer a; order b y; order b x; order a y; order a x",
)
_script(
    "orders_at_a_former_owner",
    "abc",
    "",
    "patience a; order a first; split a; patience b; order b x; order a late; order a y; order a x; join",
    "advance b 0.1",
    "order a x; order b x; order b y; order b x",
)
_script(
    "orders_on_both_sides_of_a_cut",
    "abc",
    "",
    "patience a; order a first; split a; order a x; patience b; order b y; join; advance b 0.1; order b x",
    "order b y; order a x",
)
_script(
    "orders_and_a_snapshot",
    "abc",
    "",
    "patience a; order a first; split c; order a x; compact a; join; advance a 0.1; advance a 0.1; split a",
    "patience b; patience c; order b x; order c x; order b y; order c y",
)
