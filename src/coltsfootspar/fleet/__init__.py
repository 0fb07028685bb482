"""Node and replica processes of a deployment whose hosts join through seeds."""
