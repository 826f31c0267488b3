"""Commands that run a process: a role, a stand-in or the load tool."""

import argparse
import importlib
import pathlib
import socket

from shallothinge import clock as clocks
from shallothinge import holdups
from shallothinge import logs
from shallothinge.operators import exit_codes
from shallothinge.settings import load
from shallothinge.settings import watch
from shallothinge.standin import model as standin_model

STANDIN_TYPES = {
    'engine': standin_model.EngineFile,
    'service': standin_model.ServiceFile,
    'weights': standin_model.WeightStoreFile,
}
ROLE_HELP = {
    'entry': 'run an entry, which takes callers\' requests',
    'agent': 'run an agent beside a backend server',
    'gateway': 'run a gateway, which forwards HTTP requests to backend '
    'servers without agents',
}


def add_commands(commands) -> None:
    """Add the commands to the parser's list."""
    for role, text in ROLE_HELP.items():
        command = commands.add_parser(role, help=text, description=text)
        add_settings(command)
        add_folder(command)
        command.set_defaults(run=run_role, role=role, opened_fd=None)
        if role == 'gateway':
            _add_opened_fd(command)
    _add_standin(commands)
    _add_load(commands)


def add_settings(command, *, required: bool = True) -> None:
    """Add the argument that names a settings file."""
    command.add_argument(
        '--settings',
        type=pathlib.Path,
        required=required,
        metavar='FILE',
        help='TOML settings file; see docs/CONFIGURATION.md',
    )


def add_folder(command) -> None:
    """Add the argument that names the folder of relative paths."""
    command.add_argument(
        '--folder',
        type=pathlib.Path,
        metavar='FOLDER',
        help='folder of relative paths in the settings; that of the file '
        'if not given',
    )


def _add_opened_fd(command) -> None:
    command.add_argument(
        '--opened-fd',
        type=int,
        metavar='NUMBER',
        help='descriptor of a socket that listens on the callers\' address '
        'already, so that connections wait while the gateway starts',
    )


def _add_standin(commands) -> None:
    text = 'run a stand-in backend server or weight store, for tests'
    command = commands.add_parser('standin', help=text, description=text)
    command.add_argument('kind', choices=tuple(STANDIN_TYPES))
    command.add_argument(
        '--listen', required=True, metavar='IP:PORT', help='HTTP address'
    )
    add_settings(command)
    command.set_defaults(run=run_standin)


def _add_load(commands) -> None:
    text = 'send the load of a profile and report on the answers'
    command = commands.add_parser('load', help=text, add_help=False)
    command.set_defaults(run=run_load, takes_rest=True)


def run_role(arguments: argparse.Namespace) -> int:
    """Run a role until it is told to stop."""
    from twisted.internet import reactor

    folder = arguments.folder or arguments.settings.parent
    file_type = load.ROLE_TYPES[arguments.role]
    changes = watch.SettingsWatch(
        path=arguments.settings, file_type=file_type, folder=folder
    )
    # Before the file is read, so that no change of it is missed.
    changes.install(reactor)
    settings = load.read(
        path=arguments.settings, file_type=file_type, folder=folder
    )
    process = settings.process
    logs.configure(
        role=arguments.role,
        process_id=process.process_id,
        zone=process.zone,
        host=process.host,
        level=process.log_level,
    )
    holdups.log_start('process is starting')
    module = importlib.import_module(f'shallothinge.{arguments.role}.process')
    inherited = {}
    if arguments.opened_fd is not None:
        inherited['opened'] = socket.socket(fileno=arguments.opened_fd)
    watch_holdups = holdups.HoldUpWatch(
        reactor=reactor, clock=clocks.MonotonicClock()
    )
    reactor.callWhenRunning(holdups.log_start, 'process has started')
    reactor.callWhenRunning(watch_holdups.start)
    status = module.run(
        settings=settings,
        folder=folder,
        reactor=reactor,
        changes=changes,
        **inherited,
    )
    return status or exit_codes.ExitCode.OK


def run_standin(arguments: argparse.Namespace) -> int:
    """Run a stand-in until it is told to stop."""
    from twisted.internet import reactor

    from shallothinge.standin import process

    settings = load.read(
        path=arguments.settings, file_type=STANDIN_TYPES[arguments.kind]
    )
    logs.configure(
        role=f'standin-{arguments.kind}',
        process_id=arguments.listen,
        zone='',
        host='',
    )
    process.run(settings=settings, address=arguments.listen, reactor=reactor)
    return exit_codes.ExitCode.OK


def run_load(arguments: argparse.Namespace) -> int:
    """Run the load tool, whose libraries no other command needs."""
    from shallothinge.load import main as load_tool

    parser = argparse.ArgumentParser(
        prog='shallothinge load', description=load_tool.__doc__
    )
    load_tool.add_arguments(parser)
    return load_tool.run(parser.parse_args(arguments.rest))
