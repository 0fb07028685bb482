"""The replica program."""
