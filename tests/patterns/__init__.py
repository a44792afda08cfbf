"""Load patterns against the balancer, without a network."""
