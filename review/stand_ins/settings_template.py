"""Fills in the settings template of the deploy file, as the platform does."""

import json
import re

TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def look_up(name, scopes):
    """The value of a dotted name in the innermost scope that has it."""
    first, *rest = name.split(".")
    for scope in reversed(scopes):
        if isinstance(scope, dict) and first in scope:
            value = scope[first]
            for part in rest:
                if isinstance(value, list):
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(to_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def find_end(text, start, name):
    """The section's closing tag: where it begins and where it ends."""
    depth = 1
    for tag in TAG.finditer(text, start):
        if tag.group(2) != name:
            continue
        depth += {"#": 1, "^": 1, "/": -1}.get(tag.group(1), 0)
        if depth == 0:
            return tag.start(), tag.end()
    raise ValueError("section without an end: " + name)


def render(text, scopes, key="", is_last=True, current=None):
    result = []
    position = 0
    while True:
        tag = TAG.search(text, position)
        if tag is None:
            result.append(text[position:])
            return "".join(result)
        result.append(text[position:tag.start()])
        mark, name = tag.groups()
        position = tag.end()
        if mark == "":
            if name == "@":
                result.append(str(key))
            elif name == ",":
                result.append("" if is_last else ",")
            elif name == ".":
                result.append(to_text(current))
            else:
                result.append(to_text(look_up(name, scopes)))
            continue
        inner_end, position_after = find_end(text, position, name)
        inner = text[position:inner_end]
        position = position_after
        value = look_up(name, scopes)
        if mark == "^":
            if value is None or value is False:
                result.append(render(inner, scopes))
        elif isinstance(value, (dict, list)):
            entries = (list(value.items()) if isinstance(value, dict)
                       else list(enumerate(value)))
            for index, (entry_key, entry) in enumerate(entries):
                result.append(render(inner, scopes + [entry], entry_key,
                                     index + 1 == len(entries), entry))
        elif value is not None and value is not False:
            result.append(render(inner, scopes, current=value))
