#!/usr/bin/env python3
"""Compares variants of the gateway on days of a deployment, paired by seed.

    experiment.py --bench PATH --site FILE --day NAME [--day NAME ...]
                  [--seeds N] [--first SEED] [--jobs N] [--vary]
                  VARIANT VARIANT [VARIANT ...]

A VARIANT is NAME[@CHECKOUT][:KEY=VALUE,...]. CHECKOUT is a repository in which
`target/release/mimosaledge-edge` is built (default: this one); KEY is a key of
`policy:` in deploy/gateway.yaml. The first variant is the baseline.

The bench is any program with the verb `run SITE DAY --seed N --report FILE`.
Processor time is not charged, so that a day differs only by its seed and its
variant. Each variant runs in a copy beside this repository; the journal entries
of all runs are copied back.
"""

import argparse
import json
import math
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = Path("target/release/mimosaledge-edge")
INERT_POLICY = {"quarantine": "true"}
# Length of the settings template of every variant.
SETTINGS_BYTES = 2_000


@dataclass
class Variant:
    """One variant: a program and changes to its policy settings."""

    name: str
    checkout: Path
    policy: dict[str, str] = field(default_factory=dict)

    @staticmethod
    def parse(text: str) -> "Variant":
        head, _, settings = text.partition(":")
        name, _, checkout = head.partition("@")
        pairs = [pair.split("=", 1) for pair in settings.split(",") if pair]
        return Variant(name, Path(checkout).resolve() if checkout else ROOT, dict(pairs))


@dataclass(frozen=True)
class Run:
    """The figures of one day."""

    worth: float
    in_time: float
    served: float
    worst_window: float
    worst_class: float
    broken: tuple[str, ...]


def prepare(variant: Variant, directory: Path) -> Path:
    """Copies what the bench needs of a variant's checkout."""
    copy = directory / variant.name
    subprocess.run(["git", "clone", "-q", "--shared", str(variant.checkout), str(copy)], check=True)
    shutil.rmtree(copy / "deploy")
    shutil.copytree(variant.checkout / "deploy", copy / "deploy")
    (copy / PROGRAM).parent.mkdir(parents=True)
    shutil.copy2(variant.checkout / PROGRAM, copy / PROGRAM)
    shutil.rmtree(copy / "journal", ignore_errors=True)
    deploy = copy / "deploy/system.toml"
    lines = deploy.read_text().splitlines()
    lines = ['build = "true"' if line.startswith("build =") else line for line in lines]
    deploy.write_text("\n".join(lines) + "\n")
    settings = copy / "deploy/gateway.yaml"
    text = settings.read_text().rstrip("\n") + "\n"
    # A file with another number of keys or another length shifts the start of a process,
    # and with it the day; so a variant without changes gets a key with its default.
    policy = variant.policy or INERT_POLICY
    text += "policy:\n" + "".join(f"  {key}: {value}\n" for key, value in policy.items())
    text += "#" * (SETTINGS_BYTES - len(text) - 1) + "\n"
    settings.write_text(text)
    return copy


def play(args: argparse.Namespace, copy: Path, variant: Variant, day: str, seed: int) -> Run:
    """Plays one day and returns its figures."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        why = f"trial: {variant.name}"
        if variant.policy:
            why += " " + ", ".join(f"{key}={value}" for key, value in variant.policy.items())
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--no-cpu"]
        command += ["--report", report.name, "--why", why]
        if args.vary:
            command.append("--vary")
        done = subprocess.run(command, cwd=copy, capture_output=True, text=True)
        try:
            figures = json.load(open(report.name))
        except json.JSONDecodeError:
            sys.exit(f"{variant.name} {day} --seed {seed} failed:\n{done.stdout}{done.stderr}")
    parts = {name: value for name, _, value in figures["parts"]}
    owed = figures["all"]["n"] - figures["all"]["not_owed"]
    broken = list(figures["breaks"])
    if figures["fault"]:
        broken.append("fault")
    return Run(
        worth=figures["G"],
        in_time=figures["all"]["in_aim"] / max(owed, 1),
        served=figures["served"],
        worst_window=parts.get("worst windows", math.nan),
        worst_class=parts.get("worst class", math.nan),
        broken=tuple(broken),
    )


def spread(values: list[float]) -> str:
    """Returns the mean with its standard error."""
    error = statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.nan
    return f"{statistics.mean(values):+.4f} ± {error:.4f}"


def print_table(args: argparse.Namespace, variants: list[Variant], runs: dict) -> None:
    """Prints the means of the baseline and the paired differences to it."""
    baseline = variants[0].name
    print(f"\n{Path(args.site).stem}, {args.seeds} seeds a day; differences to {baseline}")
    print("| day | variant | worth | in time | worst windows | worst class | rules broken |")
    print("|---|---|---|---|---|---|---|")
    for day in [*args.day, "all"]:
        keys = [key for key in runs[baseline] if day in ("all", key[0])]
        for variant in variants:
            cells = []
            for name in ("worth", "in_time", "worst_window", "worst_class"):
                own = [getattr(runs[variant.name][key], name) for key in keys]
                base = [getattr(runs[baseline][key], name) for key in keys]
                if variant.name == baseline:
                    cells.append(f"{statistics.mean(own):.4f}")
                else:
                    cells.append(spread([a - b for a, b in zip(own, base)]))
            broken = [f"{rule} ({key[0]} {key[1]})" for key in keys
                      for rule in runs[variant.name][key].broken]
            cells.append(", ".join(broken) or "none")
            print(f"| {day} | {variant.name} | " + " | ".join(cells) + " |")


def parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--vary", action="store_true")
    parser.add_argument("variants", nargs="+", type=Variant.parse)
    args = parser.parse_args()
    args.bench, args.site = str(Path(args.bench).resolve()), str(Path(args.site).resolve())
    args.day = [str(Path(day).resolve()) if day.endswith(".toml") else day for day in args.day]
    return args


def main() -> None:
    args = parse_args()
    # The bench gives its processes a private /tmp, so the copies are elsewhere.
    directory = Path(tempfile.mkdtemp(prefix="experiment-", dir=ROOT.parent))
    try:
        copies = {it.name: prepare(it, directory) for it in args.variants}
        plan = [(day, args.first + at, it)
                for day in args.day for at in range(args.seeds) for it in args.variants]
        with ThreadPoolExecutor(args.jobs) as pool:
            played = list(pool.map(
                lambda it: play(args, copies[it[2].name], it[2], it[0], it[1]), plan))
        runs: dict = {it.name: {} for it in args.variants}
        for (day, seed, variant), run in zip(plan, played):
            runs[variant.name][(day, seed)] = run
        for copy in copies.values():
            shutil.copytree(copy / "journal", ROOT / "journal", dirs_exist_ok=True)
        print_table(args, args.variants, runs)
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    main()
