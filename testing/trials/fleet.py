"""Actions on a running deployment that trials are put together from."""

import itertools
import json
import pathlib
import shutil
import subprocess
import time

from shallothinge.standin import model as standin
from testing import deployment
from testing import plan as plans

ENGINES = 6
WORKSPACES = 10
REPAIR_S = 20
ELECTION_S = 3
ENGINE = standin.EngineOptions(
    models=(plans.MODEL_ID,),
    memory_tokens=150_000,
    prefill_tokens_per_s=200_000,
    step_ms=10,
)


def trial_plan(*, engines: int = ENGINES, entries: int = 2) -> plans.Plan:
    """Return engines and services over three zones, ten workspaces."""
    zones = ('zone-1', 'zone-2', 'zone-3')
    cycle = itertools.cycle(zones)
    return plans.small_plan(
        zones=zones,
        entries=entries,
        engines=tuple(
            plans.EnginePlan(zone=next(cycle), options=ENGINE)
            for _ in range(engines)
        ),
        services=tuple(
            plans.ServicePlan(zone=zone, name='jobs') for zone in zones
        ),
        workspaces=tuple(
            plans.WorkspacePlan(name=f'workspace-{number}')
            for number in range(WORKSPACES)
        ),
    )


class Fleet(deployment.Deployment):
    """A deployment with the faults and loads of trials."""

    def write_api_keys(self) -> pathlib.Path:
        """Write the workspaces' API keys for the load tool."""
        path = self.folder / 'api-keys'
        lines = [
            self.api_keys[workspace.name].key
            for workspace in self.plan.workspaces
        ]
        path.write_text('\n'.join(lines), encoding='utf-8')
        return path

    def start_load(self, *, name: str, arguments: tuple[str, ...]):
        """Start the load tool as a process of its own.

        :returns: the process and the path of its JSON results.
        """
        output = self.folder / f'{name}.json'
        entries = []
        for url in self.entry_urls:
            entries += ['--entry', url]
        command = (
            *deployment.SOURCE_PROGRAM,
            'load',
            *entries,
            '--keys',
            str(self.write_api_keys()),
            '--model',
            plans.MODEL_NAME,
            '--output',
            str(output),
            *arguments,
        )
        log = (self.folder / 'logs' / f'{name}.log').open('wb')
        return subprocess.Popen(command, stdout=log, stderr=log), output

    def kill_leader(self) -> str:
        """Kill the control host that leads and return its name."""
        name = self.find_leader().name
        self.kill(name)
        return name

    def repair(self, name: str) -> None:
        """Let a control host without a disk join again, with a vote."""
        settings = self.folder / f'{name}.toml'
        command = (
            *deployment.SOURCE_PROGRAM,
            'control',
            'repair',
            '--settings',
            str(settings),
        )
        subprocess.run(command, check=True, capture_output=True)
        self.start_part(name)
        ends_s = time.monotonic() + REPAIR_S
        while not self._has_vote(name):
            if time.monotonic() > ends_s:
                raise deployment.DeploymentError(f'{name} got no vote')
            time.sleep(deployment.POLL_S)

    def _has_vote(self, name: str) -> bool:
        done = self.run_command('dump', self.parts[name].address)
        if done.returncode != 0:
            return False
        replica = json.loads(done.stdout)['replica']
        return replica['replica_id'] in replica['voters']

    def config_version(self) -> int:
        """Return the version of the configuration at the leader."""
        status = json.loads(self.operate('bundle', 'status'))
        return status['state_version']

    def restart_controls(self) -> None:
        """Kill every control host and start them again.

        :raises DeploymentError: if the configuration went back.
        """
        before = self.config_version()
        parts = self.by_role('control')
        for part in parts:
            self.kill(part.name)
        for part in parts:
            self.start_part(part.name)
        time.sleep(ELECTION_S)
        after = self.config_version()
        if after < before:
            raise deployment.DeploymentError(
                f'the configuration went back from {before} to {after}'
            )

    def lose_disk(self, name: str) -> None:
        """Kill a control host and delete its data folder."""
        self.kill(name)
        shutil.rmtree(self.parts[name].data_folder)
