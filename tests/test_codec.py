import io

import pytest

from kestrelbend.gateway.simulator_adapter.errors import MalformedLine
from kestrelbend.gateway.simulator_adapter.host import serve

INIT = (
    "init g/0 7 classes.count=1 classes.0.name=op classes.0.effect=idempotent contracts.count=1 "
    "contracts.0.name=plan new.key=3 tick=1"
)
ROSTER = "roster_change g/0 1 stale_copy 1\nbackend 5 a k 0 Ready 1.5 -"


def run_batches(*batches):
    text = "".join(f"round {1000 + i}\n{batch}\neob\n" for i, batch in enumerate(batches))
    sink = io.BytesIO()
    serve(io.BytesIO(text.encode()), sink)
    return sink.getvalue().decode().splitlines()


def test_invocation_is_delivered_and_stale_events_are_ignored():
    lines = run_batches(
        f"{INIT}\n{ROSTER}",
        "accept g/0 9 op plan c 3000.5 - - - -",
        "returned g/0 9 0 5 success 12.5 1 - - -\nreturned g/0 9 0 5 success 12.5 1 - - -\n"
        "withdrawn g/0 9\nreminder g/0 77\ncounter_reply g/0 5 1 success 3\npeer g/0 1 ?\n"
        "streaming g/0 9 5 1 0\nprobe_result g/0 5 success 1 -\ndestroy g/0\nreminder g/0 1",
    )
    assert lines[1].startswith("pass_on g/0 9 5 ") and lines[-1] == "done"
    assert [line for line in lines if line != "done"][1:] == ["arm g/0 1 1000.000"]


@pytest.mark.parametrize(
    "malformed",
    [
        "accept g/0 9",
        "nonsense g/0",
        "returned g/0 9 0 5 maybe 1 1 - - -",
        "init g/0 x a=b",
        "accept g/0 9 op plan c nan - - - -",
        "roster_change g/0 1 patch 2",
        "accept g/0 9 other plan c 3000 - - - -",
        "init g/0 7 classes.count=many",
    ],
)
def test_malformed_line_raises_error_that_names_the_message(malformed):
    with pytest.raises(MalformedLine, match=malformed.split()[0]):
        run_batches(f"{INIT}\n{ROSTER}", malformed)


def test_truncated_stream_raises_malformed_line():
    with pytest.raises(MalformedLine, match="ends within"):
        serve(io.BytesIO(b"round 1\ninit g/0"), io.BytesIO())


def test_exception_in_the_decisions_is_reported_as_bug_line(monkeypatch, capsys):
    monkeypatch.setattr("kestrelbend.gateway.decisions.admission.Admission.admit", lambda self, inv: 1 / 0)
    lines = run_batches(f"{INIT}\n{ROSTER}", "accept g/0 9 op plan c 3000.5 - - - -")
    assert lines[1].startswith("bug g/0 ZeroDivisionError") and "Traceback" in capsys.readouterr().err
