"""Tests of the identity and the lock of the data folder."""

import json

import pytest

from bergamotferry_host.data_folder import (
    BOOTSTRAP_INCARNATION,
    DataFolder,
    DataFolderError,
)


@pytest.mark.parametrize(
    ("is_first_bootstrap", "is_second_bootstrap"),
    [(True, False), (True, True), (False, True), (False, False)],
)
def test_identity_of_a_folder_is_kept(
    tmp_path, is_first_bootstrap, is_second_bootstrap
):
    first_folder = DataFolder.from_config(tmp_path, "a", is_first_bootstrap)
    assert (first_folder.incarnation == BOOTSTRAP_INCARNATION) == is_first_bootstrap
    first_folder.close()
    second_folder = DataFolder.from_config(tmp_path, "a", is_second_bootstrap)
    assert second_folder.incarnation == first_folder.incarnation
    second_folder.close()


def test_new_folder_gets_a_new_incarnation(tmp_path):
    folders = [
        DataFolder.from_config(tmp_path / name, "a", False) for name in ("x", "y")
    ]
    assert len({folder.incarnation for folder in folders}) == 2


def test_locked_folder_is_refused(tmp_path):
    DataFolder.from_config(tmp_path, "a", False)
    with pytest.raises(DataFolderError, match="another process uses it"):
        DataFolder.from_config(tmp_path, "a", False)


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (json.dumps({"host": "b", "incarnation": "1"}), "belongs to host b"),
        ("{", "damaged"),
        ("[]", "damaged"),
        (json.dumps({"host": "a"}), "damaged"),
    ],
)
def test_foreign_or_damaged_identity_is_refused(tmp_path, content, message):
    (tmp_path / "identity.json").write_text(content)
    with pytest.raises(DataFolderError, match=message):
        DataFolder.from_config(tmp_path, "a", False)


def test_logs_without_an_identity_are_refused(tmp_path):
    (tmp_path / "global.00000001.log").write_bytes(b"")
    with pytest.raises(DataFolderError, match="logs but no identity"):
        DataFolder.from_config(tmp_path, "a", False)


def test_folder_that_cannot_be_created_is_refused(tmp_path):
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(DataFolderError, match="Not a directory"):
        DataFolder.from_config(tmp_path / "file" / "data", "a", False)
