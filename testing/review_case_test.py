#!/usr/bin/env python3
"""Runs a case of review/ with a program that was built elsewhere, so that the
cases still start when what they share with the repository changes."""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
# What the cases read of the repository.
PARTS = ("review", "testing/soak", "deploy/system.toml",
         "platform/settings.template.json")


def lay_out(root, program):
    for it in PARTS:
        source, target = REPOSITORY / it, root / it
        target.parent.mkdir(parents=True, exist_ok=True)
        if source.is_dir():
            shutil.copytree(source, target)
        else:
            shutil.copy(source, target)
    deployed = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
    role, = deployed["roles"].values()
    path = root / role["run"].split()[0]
    path.parent.mkdir(parents=True)
    path.symlink_to(pathlib.Path(program).resolve())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    parser.add_argument("--case", required=True, help="number of the case")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        lay_out(root, options.program)
        ended = subprocess.run(["sh", f"review/{options.case}/run.sh"],
                               cwd=root, check=False)
    sys.exit(ended.returncode)


if __name__ == "__main__":
    main()
