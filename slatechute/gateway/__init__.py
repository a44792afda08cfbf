"""Gateway entry: forwards requests by host and path to targets."""
