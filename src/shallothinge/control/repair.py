"""Repair of a control host whose disk was lost or damaged."""

import pathlib
import secrets

import attrs

from shallothinge.storage import data_folder
from shallothinge.storage import errors

ASIDE_BYTES = 4
KEPT_NAMES = (data_folder.LOG_NAME, data_folder.SNAPSHOT_NAME)


class RepairRefused(errors.StorageError):
    """The repair was not done; the text names the reason and the fix."""


@attrs.frozen(kw_only=True)
class Repaired:
    """What a repair did.

    ``former_id`` is the replica that the folder held, or '' if that could
    not be read; ``aside`` is where its files are, or None if there were
    none.
    """

    replica_id: str
    former_id: str
    aside: pathlib.Path | None


def repair(
    *, folder: pathlib.Path, process_id: str, discard_healthy: bool = False
) -> Repaired:
    """Give a control host a new identity with which it joins again.

    The former files are moved aside, not deleted. When the process is
    started it asks the leader to replace the former replica; it has no
    vote until it holds everything that is committed. Done again before
    that start it only makes another identity.

    :param folder: the data folder of the settings.
    :param process_id: the process id of the settings.
    :param discard_healthy: also discard a folder that can be read and is
        part of a cluster.
    :raises RepairRefused: if the folder is in use, or healthy.
    :raises StorageError: if the folder can not be written.
    """
    former_id = _former_id(
        folder=folder, process_id=process_id, discard_healthy=discard_healthy
    )
    aside = _move_aside(folder)
    renewed = data_folder.DataFolder(
        path=folder, process_id=process_id, rejoin=True
    )
    renewed.close()
    return Repaired(
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
    names = [name for name in KEPT_NAMES if (folder / name).exists()]
    if not names:
        return None
    aside = folder / f'discarded-{secrets.token_hex(ASIDE_BYTES)}'
    aside.mkdir()
    for name in names:
        (folder / name).rename(aside / name)
    return aside
