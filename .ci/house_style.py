"""Checks the rules of the house style that a script can check."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DERIVE = re.compile(r"#\[derive\(([^)]*)\)\]")


def findings_of(path: pathlib.Path) -> list[str]:
    """Returns the findings of one source file, each with its line."""
    found = []
    is_test = "tests" in path.relative_to(ROOT).parts
    for number, line in enumerate(path.read_text().splitlines(), 1):
        place = f"{path.relative_to(ROOT)}:{number}"
        if re.match(r"\s*(pub(\(\w+\))? )?use [^;]*\{", line):
            found.append(f"{place}: more than one import on a line")
        if re.search(r"\bdyn\b", line) and not is_test and not line.lstrip().startswith("//"):
            found.append(f"{place}: `dyn` outside of tests")
        derive = DERIVE.search(line)
        if derive:
            names = [name.strip() for name in derive.group(1).split(",")]
            if names != sorted(names):
                found.append(f"{place}: derives are not in alphabetical order")
        if "io_uring" in line and not is_test and not line.lstrip().startswith("//"):
            found.append(f"{place}: io_uring is ruled out")
        if not is_test and re.search(r"cfg\(test\)", line):
            found.append(f"{place}: tests live in test files")
    return found


def main() -> int:
    """Prints all findings and returns the exit code."""
    sources = [p for p in ROOT.rglob("*.rs") if "target" not in p.parts]
    findings = [finding for path in sorted(sources) for finding in findings_of(path)]
    print("\n".join(findings) if findings else f"house style: {len(sources)} files are clean")
    return 1 if findings else 0


sys.exit(main())
