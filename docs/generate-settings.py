#!/usr/bin/env python3
"""Writes SETTINGS.md from the schemas; with --check only compares."""

import json
import pathlib
import sys

DOCS = pathlib.Path(__file__).resolve().parent
SCHEMAS = DOCS.parent / "src" / "libs" / "schema"
DOCUMENTS = [
    ("processsettings", "Settings of a daemon", "The file that `cassiarelayd --settings FILE` reads."),
    ("gatewaysettings", "Settings of a gateway", "The file that `cassiarelayd --gateway --settings FILE` reads, at start and on SIGHUP."),
    ("fleetconfiguration", "Fleet configuration", "Published at `cassiarelay/config`. It is accepted or refused as a whole."),
    ("vmlist", "VM list", "Published by the platform at `cassiarelay/vms`."),
    ("targetlist", "Target list", "Published by the platform at `cassiarelay/targets`."),
]


def type_text(field):
    if "$ref" in field:
        name = field["$ref"].rsplit("/", 1)[1]
        return f"[{name}](#{name.lower()})"
    if field["type"] == "array":
        return "list of " + type_text(field["items"])
    if "enum" in field:
        return " or ".join(f"`{value}`" for value in field["enum"])
    return field["type"]


def limits_text(field):
    parts = []
    if "maximum" in field:
        parts.append(f"{field['minimum']} to {field['maximum']}")
    elif "minimum" in field:
        parts.append(f"at least {field['minimum']}")
    if "minLength" in field:
        parts.append(f"at least {field['minLength']} characters")
    if "minItems" in field:
        parts.append(f"at least {field['minItems']}")
    if "maxItems" in field:
        parts.append(f"at most {field['maxItems']}")
    if "pattern" in field:
        parts.append("matches `" + field["pattern"].replace("|", "\\|") + "`")
    return ", ".join(parts)


def table(definition):
    lines = ["| Field | Type | Required | Limits | Meaning |", "| --- | --- | --- | --- | --- |"]
    for name, field in definition["properties"].items():
        required = "yes" if name in definition.get("required", []) else "no"
        cells = [f"`{name}`", type_text(field), required, limits_text(field), field.get("description", "")]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def document(schema_name, title, introduction):
    schema = json.loads((SCHEMAS / f"{schema_name}.schema.json").read_text())
    lines = [f"## {title}", "", introduction, ""] + table(schema) + [""]
    for name, definition in schema["definitions"].items():
        lines += [f"### {name}", ""] + table(definition) + [""]
    return lines


def main():
    lines = [
        "# Settings",
        "",
        "Generated from the schemas by `./run settings-doc`. All documents are JSON; comments are allowed.",
        "Check a fleet configuration with `cassiarelay config check FILE`, a daemon's file with",
        "`cassiarelayd --settings FILE --check`. Fields that are not listed here are refused in the first two documents.",
        "",
    ]
    for entry in DOCUMENTS:
        lines += document(*entry)
    text = "\n".join(lines).rstrip("\n") + "\n"
    path = DOCS / "SETTINGS.md"
    if sys.argv[1:] == ["--check"]:
        if not path.exists() or path.read_text() != text:
            sys.exit("docs/SETTINGS.md is older than the schemas: run ./run settings-doc and commit the result")
        return
    path.write_text(text)


main()
