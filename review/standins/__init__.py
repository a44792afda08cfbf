"""Stand-ins for the users' clients, instances and platform."""
