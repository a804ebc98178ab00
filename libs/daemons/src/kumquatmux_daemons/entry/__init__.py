"""The entry daemon: packets in, decisions, packets out."""
