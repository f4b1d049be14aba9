"""Links between entry instances, and what they exchange."""
