"""Finding the row of a request."""

import re

import attrs

from coltsfootspar.table.rows import Row, Table

__all__ = ["RowMatcher", "create_matcher"]

_PLACEHOLDER = re.compile(r"\\\{[^/{}]*\\\}")


@attrs.frozen
class _Rule:
    method: str
    form: re.Pattern[str]
    row: Row


@attrs.frozen
class RowMatcher:
    """Rows of one table version, ready for matching."""

    _rules: dict[str, tuple[_Rule, ...]]

    def has_service(self, service: str) -> bool:
        """Tells whether any row names the service."""
        return service in self._rules

    def find(self, service: str, method: str, path: str) -> Row | None:
        """Finds the most specific row of a request.

        :param path: path; a query string is ignored.
        :returns: the row, or None when none applies.
        """
        plain = path.partition("?")[0]
        for rule in self._rules.get(service, ()):
            if rule.method in ("*", method) and rule.form.fullmatch(plain):
                return rule.row
        return None


def create_matcher(table: Table) -> RowMatcher:
    """Prepares the rows of a table for matching.

    Fixed segments go before placeholders, longer patterns before shorter ones,
    a named method before ``*``.
    """
    rules: dict[str, list[_Rule]] = {}
    for row in sorted(table.rows.values(), key=_rank_specificity):
        rule = _Rule(row.key.method, _compile_pattern(row.key.pattern), row)
        rules.setdefault(row.key.service, []).append(rule)
    return RowMatcher({service: tuple(found) for service, found in rules.items()})


def _rank_specificity(row: Row) -> tuple:
    segments = row.key.pattern.split("/")
    ranks = tuple(
        2 if segment == "*" else 1 if segment.startswith("{") else 0
        for segment in segments
    )
    return (
        segments[-1] == "*",
        -len(segments),
        ranks,
        row.key.method == "*",
        row.name,
    )


def _compile_pattern(pattern: str) -> re.Pattern[str]:
    text = _PLACEHOLDER.sub("[^/]+", re.escape(pattern))
    if text.endswith(r"/\*"):
        text = text[:-2] + ".*"
    return re.compile(text)
