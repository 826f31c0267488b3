"""Commands that run control hosts and manage their cluster."""

import argparse

from shallothinge.control import repair as repairs
from shallothinge.operators import arguments as common
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.operators import orders
from shallothinge.operators import role_commands
from shallothinge.operators import terminal as terminals
from shallothinge.settings import load
from shallothinge.settings import model


def add_commands(commands) -> None:
    """Add ``control`` to the parser's list."""
    summary = 'run a control host, or manage the cluster of control hosts'
    command = commands.add_parser('control', help=summary, description=summary)
    role_commands.add_settings(command, required=False)
    role_commands.add_folder(command)
    command.set_defaults(
        run=run_or_explain,
        role='control',
        opened_fd=None,
        explain=command.error,
    )
    actions = command.add_subparsers(dest='action', metavar='ACTION')
    found_parser = actions.add_parser(
        'found', help='found a cluster of the empty control hosts listed'
    )
    found_parser.add_argument('--cluster-id', required=True, metavar='ID')
    common.add_order_arguments(found_parser)
    found_parser.set_defaults(run=found)
    repair_parser = actions.add_parser(
        'repair',
        help='on a stopped host with a lost or damaged disk: make an empty '
        'data folder that may replace the former one',
    )
    role_commands.add_settings(repair_parser)
    repair_parser.add_argument(
        '--discard-healthy',
        action='store_true',
        help='also replace a folder that can be read and is in a cluster',
    )
    repair_parser.set_defaults(run=repair)
    _add_members(actions)


def _add_members(actions) -> None:
    members = actions.add_parser('members', help='change the members')
    changes = members.add_subparsers(
        dest='change', metavar='CHANGE', required=True
    )
    for name, text in (
        ('add', 'add a control host, first without a vote'),
        ('remove', 'remove a control host'),
    ):
        change = changes.add_parser(name, help=text)
        _add_process_id(change)
        change.set_defaults(run=change_members)


def _add_process_id(command) -> None:
    command.add_argument('process_id', metavar='PROCESS-ID')
    common.add_order_arguments(command)


def run_or_explain(arguments: argparse.Namespace) -> int:
    """Run a control host, for which a settings file is needed."""
    if arguments.settings is None:
        arguments.explain('give --settings FILE or an ACTION')
    return role_commands.run_role(arguments)


def found(arguments: argparse.Namespace) -> int:
    """Found a cluster: the first listed host gathers the others."""

    async def act(terminal: terminals.Terminal):
        return await found_cluster(
            terminal,
            cluster_id=arguments.cluster_id,
            order_id=arguments.order_id or terminals.new_id(),
        )

    return common.run_action(arguments, act)


async def found_cluster(
    terminal: terminals.Terminal, *, cluster_id: str, order_id: str
) -> exit_codes.ExitCode:
    """Ask the first control host of the settings to found a cluster.

    :param order_id: the same when the order is given again.
    """
    hosts = terminal.settings.control_hosts
    order = messages.FoundCluster(
        order_id=order_id,
        cluster_id=cluster_id,
        member_ids=tuple(host.process_id for host in hosts),
    )
    answer = await terminal.ask_process(
        address=hosts[0].address, role='control', message=order
    )
    return await orders.report(terminal, answer, wait=False)


def change_members(arguments: argparse.Namespace) -> int:
    """Add or remove a control host."""

    async def act(terminal: terminals.Terminal):
        field = f'{arguments.change}_id'
        order = messages.ChangeMembers(
            order_id=arguments.order_id or terminals.new_id(),
            operator=terminal.operator,
            **{field: arguments.process_id},
        )
        return await orders.give_reversible(terminal, order, wait=False)

    return common.run_action(arguments, act)


def repair(arguments: argparse.Namespace) -> int:
    """Make an empty data folder for a host whose disk was lost.

    Its files are set aside, not deleted.
    """
    settings = load.read(
        path=arguments.settings, file_type=model.ControlSettings
    )
    path = arguments.settings.parent / settings.log.data_folder
    process_id = settings.process.process_id
    done = repairs.repair(
        folder=path,
        process_id=process_id,
        discard_healthy=arguments.discard_healthy,
    )
    if done.aside is not None:
        print(f'{path}: former files set aside in {done.aside}')
    print(
        f'{path}: empty, as {done.replica_id}; start the host and '
        'wait until "shallothinge dump" of the leader shows its vote'
    )
    return exit_codes.ExitCode.OK
