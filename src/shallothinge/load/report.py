"""Results as JSON and as an HTML page with plots."""

import base64
import html
import io
import json
import pathlib

import attrs
import matplotlib.figure

from shallothinge.load import result

FIGURE_INCHES = (7, 3.5)
PLOTTED_PERCENTILES = tuple(f'p{value}' for value in result.PERCENTILES)


@attrs.frozen(kw_only=True)
class Run:
    """One run of an experiment under a label such as a policy's name."""

    label: str
    command: str
    seed: int
    summaries: tuple[result.Summary, ...]
    notes: dict[str, str] = attrs.field(factory=dict)


def write_json(*, path: pathlib.Path, runs: tuple[Run, ...]) -> None:
    """Write the runs as one JSON document."""
    document = [attrs.asdict(run) for run in runs]
    path.write_text(json.dumps(document, indent=2), encoding='utf-8')


def write_html(
    *, path: pathlib.Path, title: str, runs: tuple[Run, ...]
) -> None:
    """Write one self-contained page with the runs side by side."""
    parts = [
        '<!doctype html><meta charset="utf-8">',
        f'<title>{html.escape(title)}</title>',
        '<style>body{font-family:sans-serif;margin:2em}'
        'td,th{padding:.2em .8em;text-align:right}'
        'td:first-child,th:first-child{text-align:left}</style>',
        f'<h1>{html.escape(title)}</h1>',
        _plot(runs),
    ]
    parts.extend(_section(run) for run in runs)
    path.write_text('\n'.join(parts), encoding='utf-8')


def _plot(runs: tuple[Run, ...]) -> str:
    figure = matplotlib.figure.Figure(
        figsize=FIGURE_INCHES, layout='constrained'
    )
    axes = figure.subplots()
    for run in runs:
        for summary in run.summaries:
            if summary.kind_name == 'all' or not summary.first_token_ms:
                continue
            values = [
                summary.first_token_ms[name] for name in PLOTTED_PERCENTILES
            ]
            axes.plot(
                PLOTTED_PERCENTILES,
                values,
                marker='o',
                label=f'{run.label}, {summary.kind_name}',
            )
    axes.set_yscale('log')
    axes.set_ylabel('time to first token (ms)')
    axes.legend(fontsize='x-small')
    stream = io.BytesIO()
    figure.savefig(stream, format='png')
    data = base64.b64encode(stream.getvalue()).decode()
    return (
        f'<img alt="time to first token" src="data:image/png;base64,{data}">'
    )


def _section(run: Run) -> str:
    rows = [_row(summary) for summary in run.summaries]
    notes = ''.join(
        f'<li>{html.escape(name)}: {html.escape(value)}</li>'
        for name, value in run.notes.items()
    )
    return (
        f'<h2>{html.escape(run.label)}</h2>'
        f'<p>Seed {run.seed}, command <code>{html.escape(run.command)}'
        f'</code></p><ul>{notes}</ul><table><tr><th>class</th><th>sent</th>'
        '<th>in time %</th><th>first token p50 ms</th><th>p99 ms</th>'
        '<th>verdicts</th><th>errors</th></tr>' + ''.join(rows) + '</table>'
    )


def _row(summary: result.Summary) -> str:
    cells = (
        summary.kind_name,
        summary.sent,
        summary.in_time_percent,
        summary.first_token_ms.get('p50', ''),
        summary.first_token_ms.get('p99', ''),
        json.dumps(summary.verdicts),
        json.dumps(summary.error_codes),
    )
    inner = ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in cells)
    return f'<tr>{inner}</tr>'
