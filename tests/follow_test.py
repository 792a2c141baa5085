"""tools/follow on three lines of two instances and one of a third."""

import pathlib
import subprocess
import tempfile

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "follow"

ONE = """at_ms=1000 instance=edge-1 event=start zone=a
at_ms=5250 instance=edge-1 event=flow_opened caller=10.0.0.1:1059 route=198.18.0.1:443 server=7f rules=6 age_ms=10 ago_ms=250
at_ms=5260 instance=edge-1 event=flow_opened caller=10.0.0.2:1060 route=198.18.0.1:443 server=80 rules=6 age_ms=10 ago_ms=9 left_out=4
"""
TWO = """  12.3 edge-2 at_ms=6000 instance=edge-2 event=flow_reset why=backend_gone caller=10.0.0.1:1059 route=198.18.0.1:443 server=7f rules=6 age_ms=1 ago_ms=0
at_ms=5900 instance=edge-2 event=backend_gone server=7f rules=6 age_ms=1 ago_ms=0
at_ms=90000 instance=edge-2 event=backend_ready server=7f rules=6 age_ms=1 ago_ms=0
no line of ours
"""
THREE = "at_ms=5500 instance=edge-3 event=start zone=a\n"


def follow(*arguments):
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for name, text in (("one", ONE), ("two", TWO), ("three", THREE)):
            path = pathlib.Path(folder) / name
            path.write_text(text)
            paths.append(str(path))
        return subprocess.run([str(TOOL), *arguments, *paths], capture_output=True, text=True, check=False)


def main():
    done = follow("--caller", "10.0.0.1:1059")
    events = [line.split("event=")[1].split()[0] for line in done.stdout.splitlines() if "event=" in line]
    assert done.returncode == 0, done.stderr
    assert events == ["start", "flow_opened", "backend_gone", "flow_reset"], events
    assert "*   +0.000 s" in done.stdout and "*   +1.000 s" in done.stdout, done.stdout
    assert "left_out=4" in done.stdout, done.stdout

    done = follow("--server", "80")
    assert done.returncode == 0 and done.stdout.count("server=80") == 1, done.stdout

    done = follow("--caller", "10.0.0.9:1")
    assert done.returncode == 1 and "no line" in done.stderr, done.stderr


if __name__ == "__main__":
    main()
    print("follow_test: ok")
