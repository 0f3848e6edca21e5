"""Output of the command line: help, messages about invalid files, exit codes."""

import os

import pytest

from lacewingmill.cli import ExitCode, main
from lacewingmill.exceptions import PublishConflict

VALID = """
service: svc
teams: {t: {guarantees: {whole: 1}}}
shapes: {whole: {accelerators: 8, memory: 16 GB, expected: 10 min}}
routes: {/svc/run: {kind: job, shape: whole, idempotent: true}}
"""

INVALID_FILES = {
    "unknown_key": VALID.replace("expected:", "expects:"),
    "missing_key": VALID.replace(", idempotent: true", ""),
    "wrong_type": VALID.replace("accelerators: 8", "accelerators: eight"),
    "bad_unit": VALID.replace("16 GB", "16 gigs"),
    "bad_duration": VALID.replace("10 min", "soon"),
    "unknown_shape": VALID.replace("shape: whole", "shape: half"),
    "unknown_guarantee": VALID.replace("{whole: 1}", "{half: 1}"),
    "wrong_choice": VALID.replace("kind: job", "kind: batch"),
    "key_twice": VALID + "service: other\n",
    "not_yaml": "service: [",
    "not_a_mapping": "- a\n- b\n",
    "several_faults": VALID.replace("accelerators: 8", "accelerators: 0").replace("16 GB", "lots"),
}


def write(directory, text, name="svc.lacewingmill.yaml"):
    (directory / name).write_text(text)
    return directory


def run(capsys, *argv):
    code = main(list(argv))
    captured = capsys.readouterr()
    return code, captured.out, captured.err


@pytest.mark.parametrize("name", INVALID_FILES)
def test_each_fault_has_its_own_message(name, tmp_path, capsys, snapshot):
    code, out, err = run(capsys, "check", str(write(tmp_path, INVALID_FILES[name])))
    assert code == ExitCode.INVALID
    assert out == ""
    assert err.replace(str(tmp_path), "DIR") == snapshot


def test_overlapping_routes_are_reported(tmp_path, capsys, snapshot):
    write(tmp_path, VALID)
    write(tmp_path, VALID.replace("service: svc", "service: two"), "two.lacewingmill.yaml")
    code, _, err = run(capsys, "check", str(tmp_path))
    assert code == ExitCode.INVALID
    assert err.replace(str(tmp_path), "DIR") == snapshot


def test_valid_files_pass(tmp_path, capsys):
    code, out, _ = run(capsys, "check", str(write(tmp_path, VALID)))
    assert code == ExitCode.OK
    assert "svc" in out


def test_directory_without_service_files(tmp_path, capsys, snapshot):
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


def test_unreachable_vm_is_reported_in_one_line(capsys):
    code, _, err = run(capsys, "status", "--to", "127.0.0.1:1")
    assert code == ExitCode.UNREACHABLE
    assert err.count("\n") == 1


def test_invalid_settings_are_reported(tmp_path, capsys, snapshot):
    path = tmp_path / "vm.yaml"
    path.write_text(
        "vm: a\nfailure_domain: d\nlisten: here\ncontrol: 127.0.0.1:1\nstore: 127.0.0.1:2\n"
        "vm_list: 127.0.0.1:3\ndrain: 5\ncolour: red\n"
    )
    code, _, err = run(capsys, "serve", "--settings", str(path))
    assert code == ExitCode.INVALID
    path.write_text(path.read_text().replace("drain: 5\ncolour: red", "drain: soon"))
    _, _, second_err = run(capsys, "serve", "--settings", str(path))
    assert (err + second_err).replace(str(tmp_path), "DIR") == snapshot


def test_publish_checks_the_files_before_it_calls_a_vm(tmp_path, capsys):
    write(tmp_path, INVALID_FILES["unknown_key"])
    code, _, err = run(capsys, "publish", str(tmp_path), "--to", "http://127.0.0.1:1")
    assert code == ExitCode.INVALID
    assert "expects" in err


# Guards against a publication that fails or records no operator because the user has no name.
def test_publish_records_the_user_id_of_a_user_without_a_name(tmp_path, monkeypatch):
    publications = []

    class FakeClient:
        def __init__(self, url):
            pass

        def publish(self, publication):
            publications.append(publication)
            raise PublishConflict(1, 2)

    def raise_unknown_uid():
        raise KeyError("getpwuid(): uid not found")

    monkeypatch.setattr("getpass.getuser", raise_unknown_uid)
    monkeypatch.setattr("lacewingmill.client.OperatorClient", FakeClient)
    argv = ["publish", str(write(tmp_path, VALID)), "--to", "http://127.0.0.1:1"]
    assert main(argv) == ExitCode.CONFLICT
    assert main([*argv, "--by", "ann"]) == ExitCode.CONFLICT
    assert [publication.by for publication in publications] == [f"uid {os.getuid()}", "ann"]
