# Sourced by the other scripts: makes the virtual environment with the pinned
# versions and puts its programs first on PATH. COLTSFOOTSPAR_VENV names an
# existing environment that is used as it is.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ -z "${COLTSFOOTSPAR_VENV:-}" ]; then
    COLTSFOOTSPAR_VENV="$PWD/.venv"
    stamp="$COLTSFOOTSPAR_VENV/installed.txt"
    if ! cmp -s requirements.txt "$stamp"; then
        python3.11 -m venv "$COLTSFOOTSPAR_VENV"
        "$COLTSFOOTSPAR_VENV/bin/pip" install --quiet --disable-pip-version-check -r requirements.txt
        "$COLTSFOOTSPAR_VENV/bin/pip" install --quiet --disable-pip-version-check --no-deps -e .
        cp requirements.txt "$stamp"
    fi
fi
export PATH="$COLTSFOOTSPAR_VENV/bin:$PATH" PYTHONPATH="$PWD/src"
