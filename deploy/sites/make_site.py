#!/usr/bin/env python3
"""Writes a variant of a site file from a small file of changes.

Usage: make_site.py SITE VALUES [--out FOLDER]

SITE is the site file of an operator, VALUES a file that names only what the variant changes. The finished variant and
copies of the files that belong to a site are written to FOLDER (target/sites/NAME by default). A key or a value that
can't be used is named in one line, nothing is written, and the exit code is 2. README.md describes the values file.
"""

import argparse
import copy
import json
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any, NoReturn

Table = dict[str, Any]

REPOSITORY = Path(__file__).resolve().parents[2]
DEFAULT_FOLDER = REPOSITORY / "target" / "sites"
REQUIRED_COMPANIONS = ("real.json", "wire.json", "unlock.txt")
OPTIONAL_COMPANIONS = ("design.json", "ops.json")
VALUES_KEYS = {"name", "set", "class"}
CLASS_KEYS = {"copy", "name", "set", "objects"}
EXIT_BAD_INPUT = 2


class BadInput(Exception):
    """A file, key or value that can't be used; the message names it."""


def kind_of(value: Any) -> str:
    """Returns the kind of a single value: flag, number, text or something else."""
    if isinstance(value, bool):
        return "flag"
    if isinstance(value, (int, float)):
        return "number"
    if isinstance(value, str):
        return "text"
    return "something else"


def kinds_of(value: Any) -> set[str]:
    """Returns the kinds that a value or the elements of a list have."""
    elements = value if isinstance(value, list) else [value]
    return {kind_of(element) for element in elements}


def check_value(path: str, old: Any, new: Any) -> None:
    """Checks that a new value is of the kind of the old one; a number may take the place of a range, and back."""
    if isinstance(new, dict):
        raise BadInput(f"{path}: a value is expected here, not a table")
    expected = kinds_of(old) or {"text"}
    found = kinds_of(new)
    if found != expected:
        raise BadInput(f"{path}: {' or '.join(sorted(expected))} expected, found {json.dumps(new)}")
    if expected == {"number"}:
        check_numbers(path, new)


def check_numbers(path: str, value: Any) -> None:
    """Checks that a number is not negative, and that a range has two ends."""
    if isinstance(value, list) and len(value) != 2:
        raise BadInput(f"{path}: a range has two numbers, found {json.dumps(value)}")
    numbers = value if isinstance(value, list) else [value]
    if not all(0 <= number < float("inf") for number in numbers):
        raise BadInput(f"{path}: numbers from 0 up expected, found {json.dumps(value)}")


def element(path: str, elements: list[Table], number: str) -> Table:
    """Returns the table of a list that a number, counted from 1, names."""
    if not number.isdecimal() or not 1 <= int(number) <= len(elements):
        raise BadInput(f"{path}: a number from 1 to {len(elements)} expected, found {number}")
    return elements[int(number) - 1]


def is_list_of_tables(value: Any) -> bool:
    """Tells whether a value is a list of tables, such as the classes."""
    return isinstance(value, list) and bool(value) and all(isinstance(entry, dict) for entry in value)


def apply_changes(target: Any, changes: Table, path: str = "") -> None:
    """Puts changes into a table, or into a list of tables whose places are numbered from 1."""
    for key, new in changes.items():
        here = f"{path}.{key}" if path else key
        if is_list_of_tables(target):
            if not isinstance(new, dict):
                raise BadInput(f"{here}: a table is expected here")
            apply_changes(element(here, target, key), new, here)
            continue
        if key not in target:
            raise BadInput(f"{here}: unknown key")
        old = target[key]
        if not isinstance(old, dict) and not is_list_of_tables(old):
            check_value(here, old, new)
            target[key] = new
        elif isinstance(new, dict):
            apply_changes(old, new, here)
        else:
            raise BadInput(f"{here}: a table is expected here")


def change_class_table(table: Table, all_tables: list[Table], changes: Table, path: str) -> None:
    """Changes a table of a class; every key that some class of the source has is allowed."""
    if "name" in changes:
        raise BadInput(f"{path}.name: is given with the class")
    for key, new in changes.items():
        known = [other[key] for other in [table, *all_tables] if key in other]
        if not known:
            raise BadInput(f"{path}.{key}: unknown key")
        check_value(f"{path}.{key}", known[0], new)
        table[key] = new


def build_classes(site: Table, wanted: list[Table]) -> None:
    """Replaces the classes of a site, and the tables on their objects, by those that the values file lists."""
    classes, objects = site["class"], site["fam"]["class"]
    if len(classes) != len(objects):
        raise BadInput("fam.class: the site has not as many of these tables as classes")
    new_classes, new_objects = [], []
    for number, entry in enumerate(wanted, start=1):
        path = f"class {number}"
        for key in entry:
            if key not in CLASS_KEYS:
                raise BadInput(f"{path}.{key}: unknown key")
        name = required_text(entry, "name", f"{path}.")
        if name in [other["name"] for other in new_classes]:
            raise BadInput(f"{path}.name: {name} is taken")
        source = str(entry.get("copy", ""))
        one_class = copy.deepcopy(element(f"{path}.copy", classes, source))
        one_object = copy.deepcopy(objects[int(source) - 1])
        change_class_table(one_class, classes, table_of(entry, "set", path), f"{path}.set")
        change_class_table(one_object, objects, table_of(entry, "objects", path), f"{path}.objects")
        one_class["name"] = name
        new_classes.append(one_class)
        new_objects.append(one_object)
    site["class"], site["fam"]["class"] = new_classes, new_objects


def table_of(values: Table, key: str, path: str) -> Table:
    """Returns a table of the values file, empty where it is absent."""
    table = values.get(key, {})
    if not isinstance(table, dict):
        raise BadInput(f"{path}.{key}: a table is expected here")
    return table


def required_text(values: Table, key: str, path: str = "") -> str:
    """Returns a text of the values file that has to be there: lower-case letters, digits and hyphens."""
    text = values.get(key)
    if not isinstance(text, str) or not text.replace("-", "").isalnum() or text != text.lower():
        raise BadInput(f"{path}{key}: lower-case letters, digits and hyphens expected, found {json.dumps(text)}")
    return text


def build_variant(site: Table, values: Table) -> Table:
    """Returns a copy of a site with the changes of a values file applied."""
    for key in values:
        if key not in VALUES_KEYS:
            raise BadInput(f"{key}: unknown key")
    name = required_text(values, "name")
    changes = table_of(values, "set", "values")
    for owned in ("name", "class"):
        if owned in changes:
            raise BadInput(f"set.{owned}: is given at the top of the file")
    if "class" in table_of(changes, "fam", "set"):
        raise BadInput("set.fam.class: is given with the class, under objects")
    wanted = values.get("class", [])
    if wanted and not is_list_of_tables(wanted):
        raise BadInput("class: a list of tables is expected here")
    variant = copy.deepcopy(site)
    apply_changes(variant, changes)
    if wanted:
        build_classes(variant, wanted)
    variant["name"] = name
    return variant


def toml_value(value: Any) -> str:
    """Returns a single value or a list as TOML."""
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(entry) for entry in value) + "]"
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return repr(value)


def toml_lines(table: Table, path: str = "") -> list[str]:
    """Returns the lines of a table: its values first, then its tables and lists of tables."""
    lines = []
    nested = {key: value for key, value in table.items() if isinstance(value, dict) or is_list_of_tables(value)}
    for key, value in table.items():
        if key not in nested:
            lines.append(f"{key} = {toml_value(value)}")
    for key, value in nested.items():
        here = f"{path}.{key}" if path else key
        single = isinstance(value, dict)
        for entry in [value] if single else value:
            lines += ["", f"[{here}]" if single else f"[[{here}]]"]
            lines += toml_lines(entry, here)
    return lines


def read_toml(path: Path) -> Table:
    """Reads a TOML file."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        raise BadInput(f"{path}: {problem}") from problem


def companions_of(site_path: Path) -> list[Path]:
    """Returns the files that belong to a site and stand beside it."""
    required = [site_path.with_name(name) for name in REQUIRED_COMPANIONS]
    for path in required:
        if not path.is_file():
            raise BadInput(f"{path}: missing beside the site file")
    optional = [site_path.with_name(name) for name in OPTIONAL_COMPANIONS]
    return required + [path for path in optional if path.is_file()]


def write_variant(variant: Table, companions: list[Path], folder: Path) -> Path:
    """Writes a variant and copies of its companions to a folder; returns the path of its site file."""
    text = "\n".join(toml_lines(variant)) + "\n"
    if tomllib.loads(text) != variant:
        raise BadInput("the site file holds something that this script can't write")
    folder.mkdir(parents=True, exist_ok=True)
    for path in companions:
        shutil.copyfile(path, folder / path.name)
    site_path = folder / f"{variant['name']}.toml"
    site_path.write_text(text, encoding="utf-8")
    return site_path


def fail(message: str) -> NoReturn:
    """Prints one line on what is wrong, and exits."""
    print(f"make_site: {message}", file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)


def main() -> None:
    """Reads the command line, builds the variant and prints the path of its site file."""
    parser = argparse.ArgumentParser(description="Writes a variant of a site file.")
    parser.add_argument("site", type=Path, help="the operator's site file")
    parser.add_argument("values", type=Path, help="the file of changes, such as variant-a.toml")
    parser.add_argument("--out", type=Path, help="the folder to write to; target/sites/NAME by default")
    arguments = parser.parse_args()
    try:
        variant = build_variant(read_toml(arguments.site), read_toml(arguments.values))
        companions = companions_of(arguments.site)
        folder = arguments.out or DEFAULT_FOLDER / variant["name"]
        print(write_variant(variant, companions, folder))
    except (BadInput, OSError) as problem:
        fail(str(problem))


if __name__ == "__main__":
    main()
