#!/usr/bin/env python3
"""Compares docs/OPERATIONS.md, and the list of modules in docs/design.md, with the sources.

Guards against an outdated manual: settings, counters, log events or refusal codes that are missing
or no longer exist, and changed defaults, columns of configuration rows, counter types, HTTP
statuses, log fields and time bounds.
"""
import glob
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = "docs/OPERATIONS.md"
DESIGN = "docs/design.md"
STRING = re.compile(r'"((?:[^"\\]|\\.)*)"')


def read(name):
    with open(os.path.join(ROOT, name), encoding="utf-8") as f:
        return f.read()


def sources():
    names = sorted(glob.glob(os.path.join(ROOT, "src/*.[ch]")))
    return {n: read(n) for n in names if "wire.pb-c" not in n}


def source_settings(text):
    """Returns {"section.key": text of the default, or None}."""
    rows = re.findall(r'\{"(\w+)", "(\w+)",\s*(FIELD_|INTEGER\(|WEIGHT\()([^{}]*)\}', text)
    found = {}
    for section, key, kind, rest in rows:
        words = STRING.findall(rest)
        found[f"{section}.{key}"] = "1.0" if kind == "WEIGHT(" else words[-1] if words else None
    return found


def source_counters(text):
    """Returns {name: type}."""
    return dict(re.findall(r'X\(\w+, "(\w+)", "(\w+)"', text))


def source_codes(text):
    """Returns {code: HTTP status}."""
    codes = dict(re.findall(r'\[TLB_\w+\] = \{"(\w+)", (\d+)\}', text))
    codes.pop("ok")
    return codes


def source_columns(text):
    """Returns {kind: names of the columns of its rows}."""
    blocks = re.findall(r"struct column (\w+)_columns\[\] = \{(.*?)\n\};", text, re.S)
    return {kind: re.findall(r'\{"(\w+)",', block) for kind, block in blocks}


def call_text(text, start):
    """Returns the arguments of the call whose opening parenthesis is at `start`."""
    depth, i = 0, start
    while True:
        if text[i] == '"':
            i = STRING.match(text, i).end()
            continue
        depth += {"(": 1, ")": -1}.get(text[i], 0)
        i += 1
        if depth == 0:
            return text[start + 1:i - 1]


def first_format(arguments):
    """Returns the joined string literals of the first argument, and the remaining arguments."""
    m = re.match(r'\s*(?:"(?:[^"\\]|\\.)*"|PRI\w+|\s)+', arguments)
    return "".join(STRING.findall(m.group())), arguments[m.end():]


def passed_names(text, position):
    """Returns the event names that callers pass to the function that contains `position`."""
    function = re.findall(r"^\w[\w \*]*?(\w+)\([^;{}]*\)\n\{", text[:position], re.M)[-1]
    names = []
    for m in re.finditer(rf"\b{function}\(", text):
        names += STRING.findall(call_text(text, m.end() - 1))
    return names


def source_events(files):
    """Returns {event: set of fields}; a log line without event= is named after its first word."""
    events = {}
    for text in files.values():
        for m in re.finditer(r"\btlb_log_(?:error|warn|info|debug)\(", text):
            if text[text.rfind("\n", 0, m.start()) + 1] == "#":
                continue
            fmt, rest = first_format(call_text(text, m.end() - 1))
            name = re.match(r"event=(\S+)|(\w+)", fmt)
            names = [name.group(1) or name.group(2)]
            if names == ["%s"]:
                names = STRING.findall(rest) or passed_names(text, m.start())
            for n in names:
                events.setdefault(n, set()).update(re.findall(r"\b(\w+)=", fmt)[bool(name[1]):])
    return events


def page_section(page, number):
    return re.search(rf"^## {number}\. .*?(?=^## |\Z)", page, re.M | re.S).group()


def table_rows(section):
    """Returns {name in the first column: rest of the row}."""
    return dict(re.findall(r"^\| `([\w.]+)` \| (.*)$", section, re.M))


def page_events(section):
    """Returns {event: its paragraph}."""
    found = {}
    for paragraph in re.split(r"\n(?=\*\*`|#)", section):
        head = re.match(r"(\*\*`\w+`\*\*(?:, )?)+", paragraph)
        if head:
            found.update((n, paragraph) for n in re.findall(r"`(\w+)`", head.group()))
    return found


def example_events(page):
    """Returns the events in the example log lines."""
    return set(re.findall(r"^ +\S+Z [A-Z]+ (?:event=)?(\w+)", page, re.M))


def differences(kind, source, described):
    if not source:
        yield f"no {kind} found in the sources: this test no longer reads their form"
    for name in sorted(set(source) - set(described)):
        yield f"{kind} {name} is missing"
    for name in sorted(set(described) - set(source)):
        yield f"{kind} {name} does not exist"


def check_settings(page):
    source = source_settings(read("src/settings.c"))
    rows = table_rows(page_section(page, 1))
    yield from differences("setting", source, rows)
    for name in set(source) & set(rows):
        default = source[name]
        if default and not re.search(rf"default `?{re.escape(default)}`?[ ;|]", rows[name]):
            yield f"setting {name}: default {default} is not stated"
    sections = {name.split(".")[0] for name in source}
    for name in set(re.findall(r"`(\w+\.\w+)`", page)) - set(source):
        if name.split(".")[0] in sections:
            yield f"setting {name} does not exist"


def check_columns(page):
    source = source_columns(read("src/row_schema.c"))
    rows = dict(re.findall(r"^\| (\w+) \| (.*)", page_section(page, 2), re.M))
    rows.pop("kind", None)
    yield from differences("row kind", source, rows)
    for kind in set(source) & set(rows):
        for column in source[kind]:
            if not re.search(rf"\b{column}\b", rows[kind]):
                yield f"row kind {kind}: column {column} is missing"


def check_counters(page):
    source = source_counters(read("src/counter.h"))
    rows = table_rows(page_section(page, 4))
    yield from differences("counter", source, rows)
    for name in set(re.findall(r"\btoucanlb_\w+", page)) - set(source):
        yield f"counter {name} does not exist"
    for name in set(source) & set(rows):
        if rows[name].split(" |")[0] != source[name]:
            yield f"counter {name} is a {source[name]}"


def check_codes(page):
    source = source_codes(read("src/error.c"))
    rows = table_rows(page_section(page, 6))
    yield from differences("refusal code", source, rows)
    for name in set(re.findall(r"\bcode=(\w+)", page)) - set(source) - {"ok"}:
        yield f"refusal code {name} does not exist"
    for name in set(source) & set(rows):
        if rows[name].split(" |")[0] != source[name]:
            yield f"refusal code {name} has HTTP status {source[name]}"


def check_events(page, files):
    source = source_events(files)
    described = page_events(page_section(page, 5))
    examples = example_events(page)
    yield from differences("log event", source, described)
    yield from differences("example of log event", source, examples)
    for name in set(re.findall(r"\bevent=(\w+)", page)) - set(source):
        yield f"log event {name} does not exist"
    for name in sorted(set(source) & set(described)):
        words = set(re.findall(r"\w+", described[name]))
        for field in sorted(source[name] - words):
            yield f"log event {name}: field {field} is missing"


def check_bounds(page, files):
    """Time bounds must state the values of the constants that they name."""
    text = "\n".join(files.values())
    units = {"TLB_MS": 0.001, "TLB_SECOND": 1}
    for row in re.findall(r"^\|.*\|$", page_section(page, 7), re.M):
        for name in re.findall(r"`([A-Z_]+)`", row):
            value = re.search(rf"#define {name} \(?(\d+) \* (TLB_\w+)\)?", text)
            if value and not re.search(rf"\b{int(value[1]) * units[value[2]]:g} s\b", row):
                yield f"time bound {name}: not {value[1]} * {value[2]}"


def check_names(page, files):
    """All other names in the form of identifiers must occur in the sources."""
    text = "\n".join(files.values())
    for name in sorted(set(re.findall(r"`([A-Za-z]+(?:_[A-Za-z0-9]+)+)`", page))):
        if not re.search(rf"\b{name}\b", text):
            yield f"name {name} does not occur in the sources"


def check_modules(design, files):
    """Guards against modules missing from the list, and listed modules that no longer exist."""
    section = page_section(design, 9)
    described = [name for first in re.findall(r"^\| (`[^|]*)\|", section, re.M)
                 for name in re.findall(r"`([^`]+)`", first)]
    source = {os.path.splitext(os.path.basename(name))[0] for name in files} | {"wire.pb-c"}
    return differences("module", source, described)


def main():
    files = sources()
    page = read(PAGE)
    faults = [*check_settings(page), *check_columns(page), *check_counters(page),
              *check_codes(page), *check_events(page, files), *check_bounds(page, files),
              *check_names(page, files)]
    for fault in faults:
        print(f"{PAGE}: {fault}")
    missing = list(check_modules(read(DESIGN), files))
    for fault in missing:
        print(f"{DESIGN}: {fault}")
    faults += missing
    print(f"docs: {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
