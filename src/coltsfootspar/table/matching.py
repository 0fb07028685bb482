"""Matching of requests to the rows of the table."""

import re

import attrs

from coltsfootspar.table.rows import Row, Table

__all__ = ["RowMatcher", "create_matcher"]

# A placeholder such as {id} after re.escape.
_ESCAPED_PLACEHOLDER = re.compile(r"\\\{[^/{}]*\\\}")


@attrs.frozen
class _MatchRule:
    method: str
    path_regex: re.Pattern[str]
    row: Row


@attrs.frozen
class RowMatcher:
    """Matches requests to the rows of one table version.

    :param rules: compiled rows of each service, the most specific first.
    """

    _rules: dict[str, tuple[_MatchRule, ...]]

    def has_service(self, service: str) -> bool:
        """Tells whether the table has a row for the service."""
        return service in self._rules

    def find(self, service: str, method: str, path: str) -> Row | None:
        """Finds the most specific row that matches a request.

        :param service: name of the service.
        :param method: HTTP method, upper case.
        :param path: path; a query string is ignored.
        :returns: the row, or None when no row matches.
        """
        path_without_query = path.partition("?")[0]
        for rule in self._rules.get(service, ()):
            if rule.method in ("*", method) and rule.path_regex.fullmatch(
                path_without_query
            ):
                return rule.row
        return None


def create_matcher(table: Table) -> RowMatcher:
    """Compiles the rows of a table for matching.

    Patterns without a trailing ``*`` are tried first, then those with more segments,
    then literal segments before placeholders, then a named method before ``*``.
    """
    rules: dict[str, list[_MatchRule]] = {}
    for row in sorted(table.rows.values(), key=_get_match_order):
        rule = _MatchRule(row.key.method, _compile_pattern(row.key.pattern), row)
        rules.setdefault(row.key.service, []).append(rule)
    return RowMatcher(
        {service: tuple(service_rules) for service, service_rules in rules.items()}
    )


def _get_match_order(row: Row) -> tuple:
    segments = row.key.pattern.split("/")
    segment_ranks = tuple(
        2 if segment == "*" else 1 if segment.startswith("{") else 0
        for segment in segments
    )
    return (
        segments[-1] == "*",
        -len(segments),
        segment_ranks,
        row.key.method == "*",
        row.name,
    )


def _compile_pattern(pattern: str) -> re.Pattern[str]:
    text = _ESCAPED_PLACEHOLDER.sub("[^/]+", re.escape(pattern))
    if text.endswith(r"/\*"):
        text = text[:-2] + ".*"
    return re.compile(text)
