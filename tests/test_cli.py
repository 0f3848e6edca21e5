"""What operators read: help, messages for wrong files, exit codes."""

import os

import pytest

from lacewingmill.cli import ExitCode, main
from lacewingmill.exceptions import PublishConflict

RIGHT = """
service: svc
teams: {t: {guarantees: {whole: 1}}}
shapes: {whole: {accelerators: 8, memory: 16 GB, expected: 10 min}}
routes: {/svc/run: {kind: job, shape: whole, idempotent: true}}
"""

WRONG = {
    "unknown_key": RIGHT.replace("expected:", "expects:"),
    "missing_key": RIGHT.replace(", idempotent: true", ""),
    "wrong_type": RIGHT.replace("accelerators: 8", "accelerators: eight"),
    "bad_unit": RIGHT.replace("16 GB", "16 gigs"),
    "bad_duration": RIGHT.replace("10 min", "soon"),
    "unknown_shape": RIGHT.replace("shape: whole", "shape: half"),
    "unknown_guarantee": RIGHT.replace("{whole: 1}", "{half: 1}"),
    "wrong_choice": RIGHT.replace("kind: job", "kind: batch"),
    "key_twice": RIGHT + "service: other\n",
    "not_yaml": "service: [",
    "not_a_mapping": "- a\n- b\n",
    "several_faults": RIGHT.replace("accelerators: 8", "accelerators: 0").replace("16 GB", "lots"),
}


def write(folder, text, name="svc.lacewingmill.yaml"):
    (folder / name).write_text(text)
    return folder


def run(capsys, *argv):
    code = main(list(argv))
    captured = capsys.readouterr()
    return code, captured.out, captured.err


@pytest.mark.parametrize("name", WRONG)
def test_each_fault_has_its_own_message(name, tmp_path, capsys, snapshot):
    code, out, err = run(capsys, "check", str(write(tmp_path, WRONG[name])))
    assert code == ExitCode.INVALID
    assert out == ""
    assert err.replace(str(tmp_path), "DIR") == snapshot


def test_overlapping_routes_are_named(tmp_path, capsys, snapshot):
    write(tmp_path, RIGHT)
    write(tmp_path, RIGHT.replace("service: svc", "service: two"), "two.lacewingmill.yaml")
    code, _, err = run(capsys, "check", str(tmp_path))
    assert code == ExitCode.INVALID
    assert err.replace(str(tmp_path), "DIR") == snapshot


def test_right_files_pass(tmp_path, capsys):
    code, out, _ = run(capsys, "check", str(write(tmp_path, RIGHT)))
    assert code == ExitCode.OK
    assert "svc" in out


def test_folder_without_service_files(tmp_path, capsys, snapshot):
    code, _, err = run(capsys, "check", str(tmp_path))
    assert code == ExitCode.INVALID
    assert err.replace(str(tmp_path), "DIR") == snapshot


@pytest.mark.parametrize(
    "command", ["", "serve", "check", "publish", "status", "explain", "history", "audit"]
)
def test_help(command, capsys, snapshot, monkeypatch):
    monkeypatch.setenv("COLUMNS", "90")
    with pytest.raises(SystemExit) as caught:
        main([*command.split(), "--help"])
    assert caught.value.code == 0
    assert capsys.readouterr().out == snapshot


def test_unreachable_vm_is_one_line(capsys):
    code, _, err = run(capsys, "status", "--to", "127.0.0.1:1")
    assert code == ExitCode.UNREACHABLE
    assert err.count("\n") == 1


def test_wrong_settings_are_named(tmp_path, capsys, snapshot):
    path = tmp_path / "vm.yaml"
    path.write_text(
        "vm: a\nfailure_domain: d\nlisten: here\ncontrol: 127.0.0.1:1\nstore: 127.0.0.1:2\n"
        "vm_list: 127.0.0.1:3\ndrain: 5\ncolour: red\n"
    )
    code, _, err = run(capsys, "serve", "--settings", str(path))
    assert code == ExitCode.INVALID
    path.write_text(path.read_text().replace("drain: 5\ncolour: red", "drain: soon"))
    _, _, more = run(capsys, "serve", "--settings", str(path))
    assert (err + more).replace(str(tmp_path), "DIR") == snapshot


def test_publish_reads_its_directory_before_it_calls_anybody(tmp_path, capsys):
    write(tmp_path, WRONG["unknown_key"])
    code, _, err = run(capsys, "publish", str(tmp_path), "--to", "http://127.0.0.1:1")
    assert code == ExitCode.INVALID
    assert "expects" in err


# Guards against a publication that fails, or names nobody, where accounts have no names.
def test_publish_names_an_operator_whose_account_has_no_name(tmp_path, monkeypatch):
    orders = []

    class Client:
        def __init__(self, url):
            pass

        def publish(self, order):
            orders.append(order)
            raise PublishConflict(1, 2)

    def unknown():
        raise KeyError("getpwuid(): uid not found")

    monkeypatch.setattr("getpass.getuser", unknown)
    monkeypatch.setattr("lacewingmill.client.OperatorClient", Client)
    arguments = ["publish", str(write(tmp_path, RIGHT)), "--to", "http://127.0.0.1:1"]
    assert main(arguments) == ExitCode.CONFLICT
    assert main([*arguments, "--by", "ann"]) == ExitCode.CONFLICT
    assert [order.by for order in orders] == [f"uid {os.getuid()}", "ann"]
