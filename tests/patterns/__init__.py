"""Patterns of load against the balancer, without a network."""
