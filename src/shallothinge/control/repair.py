"""Repairs a control host whose disk was lost or damaged."""

import pathlib
import secrets

import attrs

from shallothinge.storage import data_folder
from shallothinge.storage import errors

FOLDER_SUFFIX_BYTES = 4
MOVED_FILE_NAMES = (data_folder.LOG_NAME, data_folder.SNAPSHOT_NAME)


class RepairRefused(errors.StorageError):
    """The repair was refused; the message states the reason and the fix."""


@attrs.frozen(kw_only=True)
class RepairResult:
    """Result of a repair.

    ``former_id`` is the id of the replica that the folder held, or '' if it
    could not be read. ``aside`` is the folder that its files were moved to,
    or None if there were none.
    """

    replica_id: str
    former_id: str
    aside: pathlib.Path | None


def repair(
    *, folder: pathlib.Path, process_id: str, discard_healthy: bool = False
) -> RepairResult:
    """Give a control host a new replica id with which it rejoins.

    The former files are moved to another folder, not deleted. When the
    process starts, it asks the leader to replace the former replica. The
    new replica has no vote until it holds all committed entries. Repairing
    again before that start only creates another replica id.

    :param folder: the data folder from the settings.
    :param process_id: the process id from the settings.
    :param discard_healthy: also discard a folder that is readable and
        part of a cluster.
    :raises RepairRefused: if the folder is in use or healthy.
    :raises StorageError: if the folder cannot be written.
    """
    former_id = _former_id(
        folder=folder, process_id=process_id, discard_healthy=discard_healthy
    )
    aside = _move_aside(folder)
    renewed = data_folder.DataFolder(
        path=folder, process_id=process_id, rejoin=True
    )
    renewed.close()
    return RepairResult(
        replica_id=renewed.identity.replica_id,
        former_id=former_id,
        aside=aside,
    )


def _former_id(
    *, folder: pathlib.Path, process_id: str, discard_healthy: bool
) -> str:
    if not (folder / data_folder.LOG_NAME).exists():
        return ''
    try:
        former = data_folder.DataFolder(path=folder, process_id=process_id)
    except errors.FolderLocked as error:
        raise RepairRefused(
            f'{error}: stop the control process of this host first'
        ) from error
    except errors.StorageDamaged:
        return ''
    except errors.StorageError as error:
        raise RepairRefused(str(error)) from error
    former.close()
    if former.restored.cluster is not None and not discard_healthy:
        raise RepairRefused(
            f'{folder}: can be read and belongs to cluster '
            f'{former.restored.cluster.cluster_id}; start the process '
            'instead, or repeat with --discard-healthy'
        )
    return former.identity.replica_id


def _move_aside(folder: pathlib.Path) -> pathlib.Path | None:
    names = [name for name in MOVED_FILE_NAMES if (folder / name).exists()]
    if not names:
        return None
    aside = folder / f'discarded-{secrets.token_hex(FOLDER_SUFFIX_BYTES)}'
    aside.mkdir()
    for name in names:
        (folder / name).rename(aside / name)
    return aside
