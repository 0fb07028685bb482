"""Programs for hosts that find each other through seeds."""
