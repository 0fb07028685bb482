"""Pages must not name tests or files that do not exist."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]


def test_failures_page_names_existing_tests():
    page = (ROOT / "docs" / "failures.md").read_text()
    named = set(re.findall(r"`(test_\w+)`", page))
    sources = ROOT.glob("src/coltsfootspar/**/tests/test_*.py")
    existing = {
        name
        for path in sources
        for name in re.findall(r"def (test_\w+)\(", path.read_text())
    }
    assert len(named) > 40
    assert sorted(named - existing) == []


def test_links_between_pages_lead_somewhere():
    pages = [
        ROOT / "README.md",
        *ROOT.glob("docs/**/*.md"),
        *ROOT.glob("examples/*.md"),
    ]
    broken = [
        (page.name, target)
        for page in pages
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
        if not (page.parent / target).exists()
    ]
    assert broken == []
