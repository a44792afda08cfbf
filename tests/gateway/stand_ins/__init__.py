"""Stand-ins for libraries of earlier builds that are not installed."""
