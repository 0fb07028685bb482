"""The node program."""
